#include "core/server_choice.h"

#include <algorithm>
#include <cmath>

namespace lentilrack::core {

namespace {

std::vector<std::size_t>
sampleCandidates(const ChoiceRequest& request,
                 const ServerView& view,
                 const std::vector<std::size_t>& targetServers,
                 pcg32& random,
                 std::size_t sampleSize)
{
  std::vector<std::size_t> candidates;
  const auto size = static_cast<std::uint32_t>(targetServers.size());
  for (std::size_t tries = 0; tries < 4 * sampleSize; ++tries) {
    const auto index = targetServers[random(size)];
    if (std::ranges::find(candidates, index) == candidates.end() &&
        canPlace(request, view, index)) {
      candidates.push_back(index);
      if (candidates.size() == sampleSize) {
        return candidates;
      }
    }
  }
  if (!candidates.empty()) {
    return candidates;
  }
  // The random draws found no server that may start the work, so nearly all
  // servers are busy, and all are scanned. The scan starts at a random
  // position, so that the first servers are not preferred.
  const auto start = random(size);
  for (std::uint32_t i = 0; i < size; ++i) {
    const auto index = targetServers[(start + i) % size];
    if (canPlace(request, view, index)) {
      candidates.push_back(index);
      if (candidates.size() == sampleSize) {
        break;
      }
    }
  }
  return candidates;
}

std::vector<std::size_t>
findCandidates(const ChoiceRequest& request,
               const ServerView& view,
               pcg32& random,
               const ServerChoiceOptions& options)
{
  const auto& targetServers = view.servers.serving(request.target);
  std::vector<std::size_t> candidates;
  if (targetServers.size() <= options.compareAllLimit) {
    std::ranges::copy_if(
      targetServers, std::back_inserter(candidates), [&](std::size_t index) {
        return canPlace(request, view, index);
      });
    return candidates;
  }
  candidates =
    sampleCandidates(request, view, targetServers, random, options.sampleSize);
  if (request.prefix.empty()) {
    return candidates;
  }
  std::size_t holders = 0;
  for (const auto& name : view.prefixes.holders(request.prefix)) {
    const auto index = view.servers.indexOf(name);
    if (index && view.servers.at(*index).serves(request.target) &&
        canPlace(request, view, *index) &&
        std::ranges::find(candidates, *index) == candidates.end()) {
      candidates.push_back(*index);
    }
    if (++holders == options.maxPrefixHolders) {
      break;
    }
  }
  return candidates;
}

/// Returns how many of the server's requests, according to its last load
/// report, were not sent by this dispatcher. The result decays exponentially
/// with the report's age.
double
externalLoad(const ServerState& state,
             TimePoint now,
             const ServerChoiceOptions& options)
{
  if (!state.report) {
    return 0;
  }
  const auto& report = *state.report;
  const auto others = static_cast<double>(
    std::max<std::int64_t>(report.running + report.queued - state.running, 0));
  const double age = std::max(
    0.0, std::chrono::duration<double>(now - report.observedAt).count());
  return others *
         std::exp(
           -age /
           std::chrono::duration<double>(options.reportDecayTime).count());
}

} // namespace

bool
canPlace(const ChoiceRequest& request,
         const ServerView& view,
         std::size_t index)
{
  const auto& slots = view.servers.slots(index);
  if (!slots.hasFreeSlot(view.now) ||
      (request.isLong && slots.runningLong >= view.maxLongSlots(slots.limit))) {
    return false;
  }
  const auto& state = view.servers.at(index);
  if (request.version) {
    const auto version = state.versions.find(request.target);
    if (version == state.versions.end() ||
        version->second != *request.version) {
      return false;
    }
  }
  const auto& id = state.server.id;
  return view.health.isAvailable(id, view.now) &&
         slots.running < view.health.usableSlots(id, slots.limit, view.now) &&
         !request.excludedServers.contains(id);
}

bool
canPlaceAnywhere(const ChoiceRequest& request, const ServerView& view)
{
  return std::ranges::any_of(
    view.servers.serving(request.target),
    [&](std::size_t index) { return canPlace(request, view, index); });
}

double
expectedSeconds(const ChoiceRequest& request,
                const ServerView& view,
                std::size_t index,
                bool usePrefix,
                const ServerChoiceOptions& options)
{
  const auto& state = view.servers.at(index);
  const auto& id = state.server.id;
  double rate = view.health.streamRate(id, view.now);
  if (rate <= 0) {
    rate = view.health.peerRate(id) * view.health.share(id);
  }
  if (rate <= 0) {
    rate = options.defaultTokenRate;
  }
  const bool cached = usePrefix && !request.prefix.empty() &&
                      view.prefixes.holds(id, request.prefix);
  const double prefill = static_cast<double>(request.promptChars) *
                         options.prefillSecondsPerChar *
                         (cached ? options.cachedPrefillFraction : 1);
  const auto slots = static_cast<double>(state.server.slots);
  const double load =
    static_cast<double>(state.running) + externalLoad(state, view.now, options);
  const double run = request.tokens / rate;
  // Requests beyond the number of slots wait in the server's queue.
  const double queue = std::max(0.0, load + 1 - slots) / slots * run;
  return prefill + run * (1 + options.fullLoadSlowdown * load / slots) + queue;
}

std::optional<std::size_t>
chooseBestServer(const ChoiceRequest& request,
                 const ServerView& view,
                 pcg32& random,
                 const ServerChoiceOptions& options)
{
  auto candidates = findCandidates(request, view, random, options);
  if (candidates.empty()) {
    return std::nullopt;
  }
  // Servers that state a request rate are used only if no other one has a slot.
  const auto isLimited = [&](std::size_t index) {
    const auto& server = view.servers.at(index);
    return server.statedRate &&
           view.now - server.rateStatedAt < kStatedRateRecheckTime;
  };
  if (!std::ranges::all_of(candidates, isLimited)) {
    std::erase_if(candidates, isLimited);
  }
  double running = 0;
  for (const auto index : candidates) {
    running += view.servers.slots(index).running;
  }
  const double bound = std::ceil(options.loadBoundFactor * (running + 1) /
                                 static_cast<double>(candidates.size()));
  std::optional<std::size_t> best;
  double bestSeconds = 0;
  // The comparison starts at a random candidate. Otherwise the first of several
  // idle servers would get all work.
  const auto start = random(static_cast<std::uint32_t>(candidates.size()));
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto index = candidates[(start + i) % candidates.size()];
    const bool usePrefix = view.servers.slots(index).running + 1 <= bound;
    const double seconds =
      expectedSeconds(request, view, index, usePrefix, options);
    if (!best || seconds < bestSeconds) {
      best = index;
      bestSeconds = seconds;
    }
  }
  return best;
}

std::optional<std::size_t>
chooseRandomServer(const ChoiceRequest& request,
                   const ServerView& view,
                   pcg32& random)
{
  const auto& targetServers = view.servers.serving(request.target);
  if (targetServers.empty()) {
    return std::nullopt;
  }
  const auto candidates =
    sampleCandidates(request, view, targetServers, random, 1);
  return candidates.empty() ? std::nullopt
                            : std::optional<std::size_t>(candidates.front());
}

} // namespace lentilrack::core
