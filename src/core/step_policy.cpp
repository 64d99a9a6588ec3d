#include "core/step_policy.h"

#include <algorithm>

namespace lentilrack::core {

namespace {

// A group counts as nearly complete when at most this share of its quorum is
// missing.
constexpr std::int64_t kNearlyCompleteDivisor = 4;
constexpr std::int64_t kExtraCopyDivisor = 10;
constexpr std::int64_t kCopiesPerSlot = 2;
// After this many resumptions without a token, the version is taken to be gone
// from the engines.
constexpr std::int64_t kSameVersionTries = 3;
constexpr Millis kFirstBackoff{ 50 };
constexpr Millis kLongestBackoff{ 5000 };

bool
nearlyComplete(const SlotView& view)
{
  const auto missing = view.quorum - view.groupReady;
  return view.groupReady > 0 &&
         missing <=
           std::max<std::int64_t>(1, view.quorum / kNearlyCompleteDivisor);
}

} // namespace

bool
orderByUrgency(const SlotView& first, const SlotView& second)
{
  const bool firstNear = nearlyComplete(first);
  if (firstNear != nearlyComplete(second)) {
    return firstNear;
  }
  if (first.estimate != second.estimate) {
    return first.estimate > second.estimate;
  }
  return first.slot < second.slot;
}

bool
orderByIndex(const SlotView& first, const SlotView& second)
{
  return first.slot < second.slot;
}

double
meanLength(const LengthStats& stats)
{
  if (stats.groupCount > 0) {
    return stats.groupTokens / static_cast<double>(stats.groupCount);
  }
  if (stats.stepCount > 0) {
    return stats.stepTokens / static_cast<double>(stats.stepCount);
  }
  return static_cast<double>(stats.maxTokens);
}

std::optional<Slot>
copyLongestRunning(const std::vector<SlotView>& running,
                   const ExtraCopyBudget& budget)
{
  const auto most = std::max<std::int64_t>(1, budget.slots / kExtraCopyDivisor);
  if (budget.idleSlots <= 0 || budget.started >= most) {
    return std::nullopt;
  }
  const SlotView* longest = nullptr;
  for (const auto& view : running) {
    const auto missing = view.quorum - view.groupReady;
    const bool useful = view.running < kCopiesPerSlot &&
                        view.groupRunning < kCopiesPerSlot * missing;
    if (useful &&
        (longest == nullptr || view.runningFor > longest->runningFor)) {
      longest = &view;
    }
  }
  return longest == nullptr ? std::nullopt : std::optional(longest->slot);
}

std::optional<Slot>
noExtraCopies(const std::vector<SlotView>& /*running*/,
              const ExtraCopyBudget& /*budget*/)
{
  return std::nullopt;
}

ResumeChoice
resumeWithinBound(const PartialView& partial)
{
  if (partial.newestVersion - partial.oldestVersion > partial.stalenessBound) {
    return ResumeChoice::Restart;
  }
  if (partial.lastVersion >= partial.newestVersion &&
      partial.failures < kSameVersionTries) {
    return ResumeChoice::SameVersion;
  }
  return ResumeChoice::AnyVersion;
}

ResumeChoice
alwaysRestart(const PartialView& /*partial*/)
{
  return ResumeChoice::Restart;
}

Millis
stepBackoff(std::int64_t failures, double random)
{
  const auto doublings = std::clamp<std::int64_t>(failures - 1, 0, 10);
  const auto full = std::min(kLongestBackoff, kFirstBackoff * (1 << doublings));
  return Millis(static_cast<std::int64_t>(static_cast<double>(full.count()) *
                                          (0.5 + random / 2)));
}

StepPolicy
defaultStepPolicy()
{
  return { orderByUrgency,
           meanLength,
           copyLongestRunning,
           resumeWithinBound,
           stepBackoff };
}

StepPolicy
baselineStepPolicy()
{
  return {
    orderByIndex, meanLength, noExtraCopies, alwaysRestart, stepBackoff
  };
}

} // namespace lentilrack::core
