#include "core/dispatcher_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <tuple>
#include <vector>

namespace lentilrack::core {

namespace {

/// A candidate counts as overloaded above this multiple of the mean utilisation
/// (consistent hashing with bounded loads). With 1.25, most requests with the
/// same prefix still go to the same dispatcher.
constexpr double kLoadBound = 1.25;
/// Assumed tokens per second of a slot if its dispatcher has not observed a
/// rate yet.
constexpr double kAssumedSlotRate = 50;

std::uint64_t
rendezvousWeight(std::string_view prefix, const ProcessId& id)
{
  // Only the name is hashed, not the incarnation, so that prefixes stay with a
  // dispatcher that restarts.
  const auto seed = XXH3_64bits(prefix.data(), prefix.size());
  return XXH3_64bits_withSeed(id.name.data(), id.name.size(), seed);
}

auto
rankOf(const DispatcherCandidate& candidate)
{
  return std::tuple(candidate.expectedWaitSeconds(), candidate.utilisation());
}

double
freeSlotWeight(const DispatcherCandidate& candidate)
{
  if (candidate.expectedWaitSeconds() > 0) {
    return 0;
  }
  return static_cast<double>(candidate.load.slots - candidate.load.running -
                             candidate.unreportedLoad.requests);
}

double
slotWeight(const DispatcherCandidate& candidate)
{
  return static_cast<double>(std::max<std::int64_t>(candidate.load.slots, 1));
}

/// Returns a random index with probabilities proportional to the weights, or
/// nothing if all weights are zero.
std::optional<std::size_t>
drawByWeight(std::span<const double> weights, const RandomBelow& random)
{
  const auto total = std::accumulate(weights.begin(), weights.end(), 0.0);
  if (total <= 0) {
    return std::nullopt;
  }
  constexpr std::uint64_t kResolution = 1'000'000;
  auto left = total * static_cast<double>(random(kResolution)) /
              static_cast<double>(kResolution);
  std::optional<std::size_t> last;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    if (weights[i] <= 0) {
      continue;
    }
    last = i;
    left -= weights[i];
    if (left < 0) {
      break;
    }
  }
  return last;
}

std::vector<double>
weightsOf(std::span<const DispatcherCandidate> candidates,
          double (*weight)(const DispatcherCandidate&))
{
  std::vector<double> weights;
  std::ranges::transform(candidates, std::back_inserter(weights), weight);
  return weights;
}

std::size_t
betterOfTwo(std::span<const DispatcherCandidate> candidates,
            const RandomBelow& random)
{
  auto weights = weightsOf(candidates, slotWeight);
  const auto first = *drawByWeight(weights, random);
  // The second candidate is sampled without replacement, so that it differs
  // from the first.
  weights[first] = 0;
  const auto second = drawByWeight(weights, random).value_or(first);
  return rankOf(candidates[second]) < rankOf(candidates[first]) ? second
                                                                : first;
}

std::optional<std::size_t>
affineCandidate(std::span<const DispatcherCandidate> candidates,
                std::string_view prefix)
{
  const auto total = std::accumulate(
    candidates.begin(),
    candidates.end(),
    0.0,
    [](double sum, const auto& each) { return sum + each.utilisation(); });
  const auto mean = total / static_cast<double>(candidates.size());
  std::optional<std::size_t> best;
  std::uint64_t bestWeight = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto slots = std::max<std::int64_t>(candidates[i].load.slots, 1);
    // One request more than the bound is allowed. Otherwise affinity would not
    // work while the dispatchers are nearly idle, since a single running
    // request would exceed the bound.
    const auto bound = mean * kLoadBound + 1.0 / static_cast<double>(slots);
    const auto weight = rendezvousWeight(prefix, candidates[i].id);
    if (candidates[i].utilisation() <= bound &&
        (!best || weight > bestWeight)) {
      best = i;
      bestWeight = weight;
    }
  }
  return best;
}

} // namespace

std::uint64_t
SentRequests::started(const ProcessId& dispatcher,
                      std::uint64_t report,
                      double tokens)
{
  auto& sum = mByDispatcher[dispatcher][report];
  ++sum.requests;
  sum.tokens += tokens;
  mRequests[++mLastRequest] = { dispatcher, report, tokens };
  return mLastRequest;
}

void
SentRequests::finished(std::uint64_t request)
{
  const auto found = mRequests.find(request);
  if (found == mRequests.end()) {
    return;
  }
  const auto& ended = found->second;
  auto& reports = mByDispatcher[ended.dispatcher];
  auto& sum = reports[ended.report];
  sum.tokens -= ended.tokens;
  if (--sum.requests == 0) {
    reports.erase(ended.report);
  }
  if (reports.empty()) {
    mByDispatcher.erase(ended.dispatcher);
  }
  mRequests.erase(found);
}

SentRequests::UnreportedLoad
SentRequests::unreportedSince(const ProcessId& dispatcher,
                              std::uint64_t report) const
{
  UnreportedLoad sum;
  const auto found = mByDispatcher.find(dispatcher);
  if (found == mByDispatcher.end()) {
    return sum;
  }
  for (auto next = found->second.lower_bound(report);
       next != found->second.end();
       ++next) {
    sum.requests += next->second.requests;
    sum.tokens += next->second.tokens;
  }
  return sum;
}

double
DispatcherCandidate::expectedWaitSeconds() const
{
  const auto slots = static_cast<double>(std::max<std::int64_t>(load.slots, 1));
  const auto busy = static_cast<double>(load.running + unreportedLoad.requests);
  if (busy < slots && load.queuedTokens <= 0) {
    return 0;
  }
  const auto rate =
    load.tokenRate > 0 ? load.tokenRate : slots * kAssumedSlotRate;
  // Requests that the last report does not include take the free slots first.
  // Only the rest lengthen the queue.
  const auto free = std::max(0.0, slots - static_cast<double>(load.running));
  const auto unreported = static_cast<double>(unreportedLoad.requests);
  const auto waiting =
    unreported > 0 ? std::max(0.0, unreported - free) / unreported : 0;
  return (load.queuedTokens + unreportedLoad.tokens * waiting) / rate;
}

double
DispatcherCandidate::utilisation() const
{
  const auto slots = static_cast<double>(std::max<std::int64_t>(load.slots, 1));
  const auto busy = static_cast<double>(load.running + unreportedLoad.requests);
  // The queued tokens count as busy slots: as many as would generate these
  // tokens in one second.
  const auto slotRate =
    load.tokenRate > 0 ? load.tokenRate / slots : kAssumedSlotRate;
  return (busy + load.queuedTokens / slotRate) / slots;
}

DispatcherLoads::LoadView&
DispatcherLoads::updatedView(const Member& dispatcher)
{
  auto& view = mLoadViews[dispatcher.id];
  if (dispatcher.reportNumber > view.report) {
    view.report = dispatcher.reportNumber;
    view.answeredLoads.clear();
    ++view.loadUpdates;
  }
  return view;
}

DispatcherCandidate
DispatcherLoads::candidate(const Member& dispatcher, const std::string& target)
{
  const auto& view = updatedView(dispatcher);
  const auto answeredLoad = view.answeredLoads.find(target);
  return { dispatcher.id,
           answeredLoad == view.answeredLoads.end() ? dispatcher.load.at(target)
                                                    : answeredLoad->second,
           mSentRequests.unreportedSince(dispatcher.id, view.loadUpdates) };
}

std::uint64_t
DispatcherLoads::started(const Member& dispatcher, double tokens)
{
  return mSentRequests.started(
    dispatcher.id, updatedView(dispatcher).loadUpdates, tokens);
}

void
DispatcherLoads::recordAnsweredLoad(const ProcessId& dispatcher,
                                    const std::string& target,
                                    const TargetLoad& load)
{
  const auto found = mLoadViews.find(dispatcher);
  if (found != mLoadViews.end()) {
    found->second.answeredLoads[target] = load;
    ++found->second.loadUpdates;
  }
}

std::size_t
chooseDispatcher(std::span<const DispatcherCandidate> candidates,
                 std::string_view prefix,
                 const RandomBelow& random)
{
  if (!prefix.empty()) {
    if (const auto affine = affineCandidate(candidates, prefix)) {
      return *affine;
    }
  }
  const auto free = drawByWeight(weightsOf(candidates, freeSlotWeight), random);
  return free ? *free : betterOfTwo(candidates, random);
}

std::size_t
chooseRandomDispatcher(std::span<const DispatcherCandidate> candidates,
                       std::string_view /*prefix*/,
                       const RandomBelow& random)
{
  return random(candidates.size());
}

} // namespace lentilrack::core
