#pragma once

#include "core/sample.h"
#include "core/time.h"

#include <functional>
#include <optional>
#include <vector>

namespace lentilrack::core {

/// Properties of a slot from which the rules of StepPolicy decide which slot
/// starts first and which gets an extra copy.
struct SlotView
{
  Slot slot;
  std::int64_t quorum = 1;
  /// Samples of the group that are ready or received by the trainer.
  std::int64_t groupReady = 0;
  /// Copies of the group in progress.
  std::int64_t groupRunning = 0;
  /// Copies of this slot in progress.
  std::int64_t running = 0;
  /// Estimated length in tokens.
  double estimate = 0;
  /// Running time of the slot's first copy.
  Millis runningFor{ 0 };
};

/// Observed sample lengths, from which the length of a slot is estimated.
struct LengthStats
{
  /// Number of scored samples of the slot's group, and their tokens.
  std::int64_t groupCount = 0;
  double groupTokens = 0;
  /// Number of scored samples of the step, and their tokens.
  std::int64_t stepCount = 0;
  double stepTokens = 0;
  std::int64_t maxTokens = 0;
};

/// Figures that limit the number of extra copies.
struct ExtraCopyBudget
{
  /// Slots of the step.
  std::int64_t slots = 0;
  /// Extra copies started so far.
  std::int64_t started = 0;
  /// Server slots without work.
  std::int64_t idleSlots = 0;
};

/// How an interrupted rollout continues.
enum class ResumeChoice
{
  /// Continue after the received tokens, on the last segment's version only.
  SameVersion,
  /// Continue after the received tokens, on any version.
  AnyVersion,
  /// Drop the received tokens and start from the beginning.
  Restart,
};

/// Properties of an interrupted rollout on which its resumption depends.
struct PartialView
{
  /// Oldest and last weight version of the received tokens.
  std::int64_t oldestVersion = 0;
  std::int64_t lastVersion = 0;
  /// Newest known weight version.
  std::int64_t newestVersion = 0;
  std::int64_t stalenessBound = 0;
  /// Consecutive attempts to resume that produced no token.
  std::int64_t failures = 0;
};

/// Replaceable rules of a step. They affect the order and cost of the rollouts,
/// but not the guarantees of Step.
struct StepPolicy
{
  /// Whether the first slot starts before the second one.
  std::function<bool(const SlotView&, const SlotView&)> startsBefore;
  /// Returns the estimated length of a slot's sample, in tokens.
  std::function<double(const LengthStats&)> estimate;
  /// Returns the slot that gets an extra copy, if any. Called when all slots
  /// that are needed are in progress.
  std::function<std::optional<Slot>(const std::vector<SlotView>&,
                                    const ExtraCopyBudget&)>
    extraCopy;
  /// Decides how an interrupted rollout continues.
  std::function<ResumeChoice(const PartialView&)> resume;
  /// Returns the delay before a slot runs again after `failures` consecutive
  /// failures; `random` is in [0, 1).
  std::function<Millis(std::int64_t failures, double random)> backoff;
};

/// Orders slots of nearly complete groups first, then by descending estimate.
bool
orderByUrgency(const SlotView& first, const SlotView& second);
/// Orders slots by group and index. Baseline for comparisons.
bool
orderByIndex(const SlotView& first, const SlotView& second);

/// Returns the mean length in the group; without samples, the mean in the step
/// or else the token limit.
double
meanLength(const LengthStats& stats);

/// Chooses the slot that has run longest, while servers are idle and there are
/// fewer extra copies than a tenth of the step's slots.
std::optional<Slot>
copyLongestRunning(const std::vector<SlotView>& running,
                   const ExtraCopyBudget& budget);
/// Chooses no slot. Baseline for comparisons.
std::optional<Slot>
noExtraCopies(const std::vector<SlotView>& running,
              const ExtraCopyBudget& budget);

/// Resumes on the same version while it is the newest, and on any version while
/// the received tokens are within the staleness bound. Restarts otherwise.
ResumeChoice
resumeWithinBound(const PartialView& partial);
/// Always restarts. Baseline for comparisons.
ResumeChoice
alwaysRestart(const PartialView& partial);

/// Returns an exponential backoff with jitter: 50 ms, doubled after each
/// failure up to 5 s, and then reduced by up to one half at random.
Millis
stepBackoff(std::int64_t failures, double random);

/// Returns the rules that are used in production.
StepPolicy
defaultStepPolicy();
/// Returns rules that run the slots in index order, without extra copies and
/// without resuming interrupted rollouts. Baseline for comparisons.
StepPolicy
baselineStepPolicy();

} // namespace lentilrack::core
