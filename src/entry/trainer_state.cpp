// Capacity, scorers and weight versions for the open steps.
#include "entry/trainer_state.h"

#include <algorithm>

namespace lentilrack::entry {

using core::Clock;
using core::Millis;
using net::Awaitable;
using wire::Json;

namespace {

/// A step is closed if its trainer sends nothing for this long (15 minutes).
/// The trainer can open the step again.
constexpr Millis kTrainerSilenceLimit{ 15 * 60'000 };
constexpr Millis kVersionPollTimeout{ 20'000 };
constexpr Millis kVersionRetryDelay{ 1'000 };
/// Limits the request rate if the store answers "nothing new" at once instead
/// of waiting for a new version.
constexpr Millis kMinVersionPollInterval{ 100 };
constexpr Millis kAbandonedCheckPeriod{ 10'000 };

} // namespace

TrainerApi::State::State(node::Node& owner, TrainerHooks stepHooks)
  : node(owner)
  , hooks(std::move(stepHooks))
  , log(owner.log().child("steps"))
  , weightStore(owner.http())
  , versions(std::make_shared<core::VersionTracker>())
  , scorerRates(std::make_shared<ScorerRates>(owner))
  , services(std::make_shared<StepServices>())
{
  scorerRates->addHandler();
  SampleScorerOptions options;
  options.endpoints = [this] { return scorerEndpoints(); };
  options.takePermit = [rates = scorerRates](core::Endpoint scorer) {
    return rates->takePermit(std::move(scorer));
  };
  options.onRate = [rates = scorerRates](const core::Endpoint& scorer,
                                         std::optional<double> rate) {
    rates->recordStatedRate(scorer, rate);
  };
  services->io = &owner.io();
  services->metrics = &owner.metrics();
  services->scorer = std::make_shared<SampleScorer>(owner.io(),
                                                    owner.http(),
                                                    owner.metrics(),
                                                    log.child("scorer"),
                                                    std::move(options));
  services->versions = versions;
  services->run = hooks.run;
  services->capacity = [this](const std::string& model) {
    return modelCapacity(model);
  };
  services->row = [this](const core::StepSpec& spec) {
    return node.table().table().findRow(spec.trainer, spec.kind);
  };
}

ModelCapacity
TrainerApi::State::modelCapacity(const std::string& model) const
{
  ModelCapacity result;
  for (const auto& member :
       node.members().liveMembers(core::MemberRole::Dispatch)) {
    const auto load = member.load.find(model);
    if (load == member.load.end()) {
      continue;
    }
    result.slots += load->second.slots;
    if (load->second.queuedTokens <= 0) {
      result.idleSlots +=
        std::max<std::int64_t>(0, load->second.slots - load->second.running);
    }
  }
  return result;
}

std::vector<core::Endpoint>
TrainerApi::State::scorerEndpoints() const
{
  std::vector<core::Endpoint> live;
  std::vector<core::Endpoint> leaving;
  for (const auto& server : hooks.servers()) {
    if (server.role == core::ServerRole::Scorer) {
      (server.leaving ? leaving : live).push_back(server.endpoint);
    }
  }
  return scorerRates->preferred(live.empty() ? std::move(leaving)
                                             : std::move(live));
}

Json
TrainerApi::State::otherAddresses() const
{
  auto addresses = Json::array();
  for (const auto& member :
       node.members().liveMembers(core::MemberRole::Entry)) {
    if (member.http && member.id.name != node.self().name) {
      addresses.push_back({ { "endpoint", member.http->text() },
                            { "failure_domain", member.failureDomain } });
    }
  }
  return addresses;
}

bool
TrainerApi::State::isKnownModel(const std::string& model) const
{
  // Until the first list of servers arrives, every model counts as known.
  const auto servers = hooks.servers();
  return servers.empty() || std::ranges::any_of(servers, [&](const auto& s) {
           return std::ranges::find(s.models, model) != s.models.end();
         });
}

bool
TrainerApi::State::hasOpenSteps(const std::string& model) const
{
  return std::ranges::any_of(steps, [&](const auto& entry) {
    return entry.second->step().spec().model == model;
  });
}

void
TrainerApi::State::watchVersions(const std::string& model)
{
  if (watchedModels.insert(model).second) {
    net::spawn(node.io(), versionWatchLoop(model), shared_from_this());
  }
}

Awaitable<void>
TrainerApi::State::versionWatchLoop(std::string model)
{
  while (hasOpenSteps(model)) {
    const auto after = versions->newest(model).value_or(0);
    const auto store = node.settings().weightStore;
    const auto newest = co_await weightStore.waitForNewerVersion(
      store, model, after, kVersionPollTimeout);
    if (!newest) {
      co_await net::sleepFor(kVersionRetryDelay);
      continue;
    }
    if (newest.value()) {
      versions->observe(model, newest.value()->version);
      for (const auto& [key, runner] : steps) {
        runner->onVersionsChanged();
      }
    } else {
      co_await net::sleepFor(kMinVersionPollInterval);
    }
  }
  watchedModels.erase(model);
}

Awaitable<void>
TrainerApi::State::closeAbandonedStepsLoop()
{
  for (;;) {
    co_await net::sleepFor(kAbandonedCheckPeriod);
    const auto now = Clock::now();
    std::erase_if(steps, [&](const auto& entry) {
      const bool isAbandoned =
        now - entry.second->lastMessageAt() > kTrainerSilenceLimit;
      if (isAbandoned) {
        log.warning("Closing step {} of trainer {}: the trainer is inactive.",
                    entry.first.second,
                    entry.first.first);
        entry.second->close();
      }
      return isAbandoned;
    });
  }
}

Json
TrainerApi::State::dump() const
{
  auto list = Json::array();
  for (const auto& [key, runner] : steps) {
    const auto& step = runner->step();
    const auto& counters = step.counters();
    list.push_back({ { "trainer", key.first },
                     { "step", key.second },
                     { "opening", step.opening() },
                     { "in_flight", step.inFlight() },
                     { "unacknowledged", step.unacknowledged() },
                     { "complete", step.isComplete() },
                     { "newest_version", step.newestVersion() },
                     { "stale", counters.stale },
                     { "unknown_version", counters.unknownVersion },
                     { "wrong_length", counters.wrongLength },
                     { "unwanted", counters.unwanted },
                     { "extra_copies", counters.extraCopies },
                     { "resumed", counters.resumed },
                     { "failed", counters.failed },
                     { "handed_over", counters.handedOver } });
  }
  return list;
}

} // namespace lentilrack::entry
