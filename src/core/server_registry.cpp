#include "core/server_registry.h"

#include "core/statistics/median.h"

#include <fmt/format.h>

#include <algorithm>
#include <ranges>

namespace lentilrack::core {

namespace {

/// Weight of a new observation in the moving average of the time per unit of
/// work.
constexpr double kObservationWeight = 0.2;
/// Shortest and longest time for which a failing server is avoided.
constexpr Millis kInitialAvoidTime{ 400 };
constexpr Millis kMaxAvoidTime{ 4'000 };
/// A server that refused a request because it was full is avoided for this
/// time.
constexpr Millis kRefusalAvoidTime{ 60 };
/// Cost of using a server in another failure domain, as a fraction of the load
/// of a fully used server.
constexpr double kRemoteDomainCost = 0.05;
/// Advantage of a server to which there is an idle connection, as a fraction of
/// the load of a fully used server. It is less than the cost of another failure
/// domain, and less than that of one request to a server of up to 12 slots at
/// half the usual time, so that neither traffic between domains nor the load of
/// a server grows for the sake of a connection.
constexpr double kIdleConnectionAdvantage = 0.04;
/// Bounds of a server's time per unit of work, as a multiple of the median of
/// its service. Slower servers are penalised in proportion up to the upper
/// bound; times below the lower bound are within the usual variation between
/// requests.
constexpr double kMinRelativeTime = 0.5;
constexpr double kMaxRelativeTime = 20;
/// No further question for a permit of a server is asked for this time, unless
/// the first one is answered earlier.
constexpr Millis kPermitQuestionTime{ 250 };
/// Fraction of a server's slots that requests of little use may fill. The rest
/// stays free for the items of the next batch, which is submitted while the
/// last groups of the one before it still run.
constexpr double kSpareSlotShare = 2.0 / 3;

/// Returns how many slots of the server requests of the given kind may fill.
int
usableSlots(const ServerEntry& server, const ServerRequirements& requirements)
{
  return requirements.leavesSlotsFree
           ? std::max(1, static_cast<int>(kSpareSlotShare * server.slots))
           : server.slots;
}

} // namespace

std::vector<std::string>
ServerRegistry::apply(std::vector<ServerEntry> entries, TimePoint now)
{
  std::vector<std::string> changes;
  std::set<std::string> listed;
  for (auto& entry : entries) {
    listed.insert(entry.id);
    mMissingSince.erase(entry.id);
    auto& server = mServers[entry.id];
    const bool isNew = server.entry.id.empty() ||
                       server.entry.startedAt != entry.startedAt ||
                       server.entry.endpoint != entry.endpoint;
    if (isNew) {
      changes.push_back(fmt::format("{} added at {} for {}",
                                    entry.id,
                                    entry.endpoint.text(),
                                    entry.service));
      server = RegisteredServer{};
      server.entry = std::move(entry);
      continue;
    }
    if (entry.draining && !server.entry.draining) {
      changes.push_back(fmt::format("{} is draining", entry.id));
    }
    // The list may be older than the versions that the server itself reported,
    // so the newer version of each model is kept.
    for (const auto& [model, version] : server.entry.versions) {
      auto& known = entry.versions[model];
      known = std::max(known, version);
    }
    server.entry = std::move(entry);
  }
  const bool isWithinGrace =
    mLastFailure && now - *mLastFailure < kDirectoryRecoveryGrace;
  std::erase_if(mServers, [&](auto& item) {
    if (listed.contains(item.first)) {
      return false;
    }
    const auto since = mMissingSince.try_emplace(item.first, now).first->second;
    if (isWithinGrace && now - since < kDirectoryRecoveryGrace) {
      return false;
    }
    mMissingSince.erase(item.first);
    changes.push_back(fmt::format("{} removed", item.first));
    return true;
  });
  return changes;
}

bool
ServerRegistry::canServe(const RegisteredServer& server,
                         const ServerRequirements& requirements,
                         TimePoint now) const
{
  const auto& entry = server.entry;
  const auto missing = mMissingSince.find(entry.id);
  if (missing != mMissingSince.end() &&
      now - missing->second >= kDirectoryRecoveryGrace) {
    return false;
  }
  if (entry.service != requirements.service || entry.draining ||
      server.leaving || requirements.exclude.contains(entry.id)) {
    return false;
  }
  if (requirements.freeSlotOnly &&
      (server.running >= usableSlots(entry, requirements) ||
       now < server.avoidUntil)) {
    return false;
  }
  if (requirements.model.empty()) {
    return true;
  }
  const auto version = entry.versions.find(requirements.model);
  return version != entry.versions.end() &&
         version->second >= requirements.minVersion &&
         now >= server.loadingUntil;
}

bool
ServerRegistry::isFirstChoice(const RegisteredServer& server, TimePoint now)
{
  const bool isOutdated = now - server.rateStatedAt >= kStatedRateRecheckTime;
  return now >= server.avoidUntil && server.running < server.entry.slots &&
         (!server.statedRate || isOutdated);
}

double
ServerRegistry::cost(const RegisteredServer& server,
                     const ServerRequirements& requirements,
                     double median) const
{
  const double relative = server.millisPerUnit > 0 && median > 0
                            ? std::clamp(server.millisPerUnit / median,
                                         kMinRelativeTime,
                                         kMaxRelativeTime)
                            : 1.0;
  const double load = (server.running + 1.0) / std::max(1, server.entry.slots);
  const bool isRemoteDomain =
    !requirements.preferredDomain.empty() &&
    server.entry.failureDomain != requirements.preferredDomain;
  const bool hasIdleConnection = !requirements.needsNewConnection &&
                                 mHasIdleConnection &&
                                 mHasIdleConnection(server.entry.endpoint);
  return load * relative + (isRemoteDomain ? kRemoteDomainCost : 0) -
         (hasIdleConnection ? kIdleConnectionAdvantage : 0);
}

RegisteredServer*
ServerRegistry::choose(const ServerRequirements& requirements,
                       TimePoint now,
                       double random)
{
  std::vector<RegisteredServer*> candidates;
  for (auto& [id, server] : mServers) {
    const bool hasPermit =
      !server.statedRate ||
      (!requirements.excludesRateLimited &&
       now >= server.nextPermitAt(requirements.permitPriority));
    const bool hasRoom =
      !requirements.isDeferrable || server.deferrable.hasRoom(now);
    if (hasPermit && hasRoom && canServe(server, requirements, now)) {
      candidates.push_back(&server);
    }
  }
  if (candidates.empty()) {
    return nullptr;
  }
  const bool hasFirstChoice =
    std::ranges::any_of(candidates, [&](const RegisteredServer* s) {
      return isFirstChoice(*s, now);
    });
  if (hasFirstChoice) {
    std::erase_if(candidates, [&](const RegisteredServer* s) {
      return s->statedRate && !isFirstChoice(*s, now);
    });
  }
  auto* chosen =
    chooseCandidate(std::move(candidates), requirements, now, random);
  if (chosen->statedRate) {
    chosen->nextPermitAt(requirements.permitPriority) =
      now + kPermitQuestionTime;
  }
  return chosen;
}

RegisteredServer*
ServerRegistry::chooseCandidate(std::vector<RegisteredServer*> candidates,
                                const ServerRequirements& requirements,
                                TimePoint now,
                                double random) const
{
  const auto preferred =
    std::ranges::find_if(candidates, [&](const RegisteredServer* server) {
      return server->entry.id == requirements.preferredServer;
    });
  if (preferred != candidates.end() && now >= (*preferred)->avoidUntil) {
    return *preferred;
  }
  // Servers that are avoided after a failure or refusal are used only if no
  // other server can serve the request.
  const bool hasHealthy =
    std::ranges::any_of(candidates, [&](const RegisteredServer* s) {
      return now >= s->avoidUntil;
    });
  if (hasHealthy) {
    std::erase_if(candidates, [&](const RegisteredServer* s) {
      return now < s->avoidUntil;
    });
  }
  // A random start spreads the requests of many processes over equally good
  // servers.
  const auto first = static_cast<std::ptrdiff_t>(
    random * static_cast<double>(candidates.size()));
  std::ranges::rotate(candidates, candidates.begin() + first);
  const double median = medianMillisPerUnit(requirements.service);
  return *std::ranges::min_element(
    candidates, {}, [&](const RegisteredServer* s) {
      return requirements.cost ? requirements.cost(*s, median)
                               : cost(*s, requirements, median);
    });
}

RegisteredServer*
ServerRegistry::find(const std::string& id, std::int64_t startedAt)
{
  const auto found = mServers.find(id);
  const bool isSame =
    found != mServers.end() && found->second.entry.startedAt == startedAt;
  return isSame ? &found->second : nullptr;
}

std::vector<const RegisteredServer*>
ServerRegistry::serving(const std::string& service) const
{
  std::vector<const RegisteredServer*> result;
  for (const auto& [id, server] : mServers) {
    if (server.entry.service == service && !server.entry.draining &&
        !server.leaving) {
      result.push_back(&server);
    }
  }
  return result;
}

std::vector<const RegisteredServer*>
ServerRegistry::all() const
{
  std::vector<const RegisteredServer*> result;
  for (const auto& [id, server] : mServers) {
    result.push_back(&server);
  }
  return result;
}

void
ServerRegistry::requestStarted(const ServerEntry& server)
{
  if (auto* state = find(server.id, server.startedAt)) {
    ++state->running;
  }
}

void
ServerRegistry::requestEnded(const ServerEntry& server)
{
  if (auto* state = find(server.id, server.startedAt)) {
    --state->running;
  }
}

void
ServerRegistry::succeeded(const ServerEntry& server, double millisPerUnit)
{
  if (auto* state = find(server.id, server.startedAt)) {
    state->failures = 0;
    state->avoidUntil = {};
    state->millisPerUnit =
      state->millisPerUnit == 0
        ? millisPerUnit
        : state->millisPerUnit +
            kObservationWeight * (millisPerUnit - state->millisPerUnit);
  }
}

void
ServerRegistry::cancelled(const ServerEntry& server, double elapsedMillis)
{
  auto* state = find(server.id, server.startedAt);
  if (state != nullptr && elapsedMillis > state->millisPerUnit) {
    state->millisPerUnit =
      state->millisPerUnit == 0
        ? elapsedMillis
        : state->millisPerUnit +
            kObservationWeight * (elapsedMillis - state->millisPerUnit);
  }
}

void
ServerRegistry::failed(const ServerEntry& server, TimePoint now)
{
  if (auto* state = find(server.id, server.startedAt)) {
    const int doublings = std::min(state->failures, 4);
    const auto pause =
      std::min(kInitialAvoidTime * (1 << doublings), kMaxAvoidTime);
    // Requests that fail at the same time count as one failure of the server.
    if (now >= state->avoidUntil) {
      ++state->failures;
      state->avoidUntil = now + pause;
    }
  }
}

void
ServerRegistry::refused(const ServerEntry& server, TimePoint now)
{
  if (auto* state = find(server.id, server.startedAt)) {
    state->avoidUntil = std::max(state->avoidUntil, now + kRefusalAvoidTime);
  }
}

void
ServerRegistry::markLeaving(const ServerEntry& server)
{
  if (auto* state = find(server.id, server.startedAt)) {
    state->leaving = true;
  }
}

void
ServerRegistry::recordVersion(const ServerEntry& server,
                              const std::string& model,
                              std::int64_t version)
{
  if (auto* state = find(server.id, server.startedAt)) {
    auto& known = state->entry.versions[model];
    known = std::max(known, version);
  }
}

bool
ServerRegistry::recordStatedRate(const std::string& id,
                                 std::int64_t startedAt,
                                 std::optional<double> rate,
                                 TimePoint respondedAt)
{
  auto* state = find(id, startedAt);
  if (state == nullptr || respondedAt < state->rateStatedAt) {
    return false;
  }
  state->rateStatedAt = respondedAt;
  const bool isChanged = state->statedRate != rate;
  state->statedRate = rate;
  return isChanged;
}

std::optional<TimePoint>
ServerRegistry::nextPermitTime(const ServerRequirements& requirements,
                               TimePoint now) const
{
  std::optional<TimePoint> earliest;
  for (const auto& [id, server] : mServers) {
    if (server.statedRate && canServe(server, requirements, now)) {
      const auto at = server.nextPermitAt(requirements.permitPriority);
      earliest = earliest ? std::min(*earliest, at) : at;
    }
  }
  return earliest;
}

void
ServerRegistry::recordPermitDecision(const ServerEntry& server,
                                     const PermitDecision& decision,
                                     TimePoint now)
{
  if (auto* state = find(server.id, server.startedAt)) {
    state->nextInteractivePermitAt = now + decision.nextInteractive;
    state->nextBackgroundPermitAt = now + decision.nextBackground;
  }
}

void
ServerRegistry::markLoading(const std::string& id,
                            std::int64_t startedAt,
                            TimePoint until)
{
  if (auto* state = find(id, startedAt)) {
    state->loadingUntil = until;
  }
}

double
ServerRegistry::medianMillisPerUnit(const std::string& service) const
{
  std::vector<double> values;
  for (const auto& [id, server] : mServers) {
    if (server.entry.service == service && server.millisPerUnit > 0) {
      values.push_back(server.millisPerUnit);
    }
  }
  return medianOf(std::move(values));
}

} // namespace lentilrack::core
