#pragma once

#include "core/sample.h"
#include "core/time.h"

#include <functional>
#include <optional>
#include <vector>

namespace lentilrack::core {

/// What ordering rules see of a slot.
struct SlotView
{
  Slot slot;
  std::int64_t quorum = 1;
  /// Samples that the group has, at the trainer or ready for it.
  std::int64_t groupReady = 0;
  /// Copies in progress in the group.
  std::int64_t groupRunning = 0;
  /// Copies of this slot in progress.
  std::int64_t running = 0;
  /// Estimated length in tokens.
  double estimate = 0;
  /// How long the first copy has been running.
  Millis runningFor{ 0 };
};

/// Observed lengths, for estimates.
struct LengthStats
{
  std::int64_t groupCount = 0;
  double groupTokens = 0;
  std::int64_t stepCount = 0;
  double stepTokens = 0;
  std::int64_t maxTokens = 0;
};

/// State of the budget for extra copies.
struct ExtraCopyBudget
{
  std::int64_t slots = 0;
  std::int64_t started = 0;
  std::int64_t idleSlots = 0;
};

enum class ResumeChoice
{
  /// Continue behind the received tokens, on the last segment's version only.
  SameVersion,
  /// Continue behind the received tokens on any version.
  AnyVersion,
  Restart,
};

/// A rollout that was cut off in the middle.
struct PartialView
{
  std::int64_t oldestVersion = 0;
  std::int64_t lastVersion = 0;
  /// Largest version that is known.
  std::int64_t newestVersion = 0;
  std::int64_t stalenessBound = 0;
  /// Attempts to resume since the cut that gave no token.
  std::int64_t failures = 0;
};

/// Rules of a step that may vary. They affect order and cost only, never the
/// guarantees.
struct StepPolicy
{
  /// Whether the first slot starts before the second one.
  std::function<bool(const SlotView&, const SlotView&)> startsBefore;
  std::function<double(const LengthStats&)> estimate;
  /// The slot that gets another copy, if any; called when every slot that is
  /// needed is in progress.
  std::function<std::optional<Slot>(const std::vector<SlotView>&,
                                    const ExtraCopyBudget&)>
    extraCopy;
  std::function<ResumeChoice(const PartialView&)> resume;
  /// Wait before a slot runs again after `failures` failures in a row;
  /// `random` is in [0, 1).
  std::function<Millis(std::int64_t failures, double random)> backoff;
};

/// Nearly complete groups first, then the longest estimate.
bool
orderByUrgency(const SlotView& first, const SlotView& second);
/// Baseline: by group and index.
bool
orderByIndex(const SlotView& first, const SlotView& second);

/// Mean length of the group, else of the step, else the limit.
double
meanLength(const LengthStats& stats);

/// Copies the slot that has run longest, while servers are idle and the copies
/// stay under a tenth of the step's slots.
std::optional<Slot>
copyLongestRunning(const std::vector<SlotView>& running,
                   const ExtraCopyBudget& budget);
/// Baseline: never.
std::optional<Slot>
noExtraCopies(const std::vector<SlotView>& running,
              const ExtraCopyBudget& budget);

/// Same version while it is the newest, any version while the received tokens
/// are within the bound, else a restart.
ResumeChoice
resumeWithinBound(const PartialView& partial);
/// Baseline.
ResumeChoice
alwaysRestart(const PartialView& partial);

/// 50 ms doubling up to 5 s, half of it random.
Millis
stepBackoff(std::int64_t failures, double random);

StepPolicy
defaultStepPolicy();
/// No extra copies, index order, no resumption.
StepPolicy
baselineStepPolicy();

} // namespace lentilrack::core
