#pragma once

#include "core/result.h"
#include "core/sample.h"
#include "core/step_policy.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilrack::core {

/// Identifies one copy of a slot's rollout inside a step. Never reused.
using CopyId = std::uint64_t;

/// A copy of a slot's rollout that the caller must run.
struct CopyStart
{
  CopyId id = 0;
  Slot slot;
  /// Number of tokens kept from an interrupted copy; generation resumes after
  /// them.
  std::int64_t offset = 0;
  /// The only weight version on which the copy may run; any version if unset.
  std::optional<std::int64_t> version;
  /// Whether another copy of the slot is already in progress.
  bool extra = false;
};

/// What happens to a copy that has finished.
enum class CopyOutcome
{
  /// The answer is complete and fresh, and must be scored.
  NeedsScore,
  /// The copy gave no usable sample; the slot runs again.
  Retry,
  /// The result is no longer needed.
  Discarded,
};

/// Result of Step::pull().
struct PulledSamples
{
  std::vector<Sample> samples;
  /// Whether the trainer, once it has these samples, has the quorum of every
  /// group.
  bool complete = false;
};

/// Event counts of one step.
struct StepCounters
{
  /// Samples and answers dropped because they were older than the staleness
  /// bound.
  std::int64_t stale = 0;
  /// Complete answers dropped because a token's weight version is unknown.
  std::int64_t unknownVersion = 0;
  /// Answers whose length differs from the length that the engine reported.
  std::int64_t wrongLength = 0;
  /// Results that arrived after their slot or group was complete.
  std::int64_t unwanted = 0;
  std::int64_t extraCopies = 0;
  std::int64_t resumed = 0;
  /// Copies that failed or were interrupted.
  std::int64_t failed = 0;
  std::int64_t handedOver = 0;
};

/// One step of a trainer, at its home (the instance that keeps the state of the
/// step). Guarantees that every sample names the weight versions that produced
/// it, that no sample is older than the staleness bound when it is handed over,
/// and that the trainer gets one sample per slot: a sample that the trainer
/// lists as received is never sent again, and any other is sent again unchanged
/// until it exceeds the staleness bound.
///
/// Each time the trainer opens the step, at this or another instance, it passes
/// a higher opening number. Messages of earlier openings are refused.
class Step
{
public:
  struct Limits
  {
    /// Maximum number of slots, which is the number of groups times their size.
    std::int64_t maxSlots = 100'000;
    /// Limits the size of a pull. Once the texts of the samples that a pull has
    /// collected reach this many bytes, it adds no further group. A pull may
    /// exceed the limit by its last group.
    std::size_t maxPullBytes = 8UL * 1024 * 1024;
  };

  /// Opens a step. `received` lists the slots whose samples the trainer has.
  /// Errors: BadInput.
  static Result<Step, StepError> open(StepSpec spec,
                                      std::int64_t opening,
                                      const std::vector<Slot>& received,
                                      StepPolicy policy,
                                      Limits limits);
  static Result<Step, StepError> open(StepSpec spec,
                                      std::int64_t opening,
                                      const std::vector<Slot>& received)
  {
    return open(
      std::move(spec), opening, received, defaultStepPolicy(), Limits());
  }

  /// Opens the step again. With a higher opening number, `received` replaces
  /// everything that is known about the trainer's samples. With the same
  /// number, the call is a repetition and acts like acknowledge(). Errors:
  /// BadInput, DifferentStep, OldOpening, NeverSent.
  Result<void, StepError> reopen(const StepSpec& spec,
                                 std::int64_t opening,
                                 const std::vector<Slot>& received);

  /// Sets the largest age of a sample at hand-over, in weight versions.
  /// Errors: BadInput for a negative bound.
  Result<void, StepError> setStalenessBound(std::int64_t versions);
  /// Records that a weight version exists. Versions older than the newest known
  /// one are ignored.
  void observeVersion(std::int64_t version);

  /// Starts the next copy and returns it, or nothing if none can start now.
  /// Extra copies are started only if `idleSlots`, the number of server slots
  /// without work, allows it.
  std::optional<CopyStart> startNext(TimePoint now, std::int64_t idleSlots);
  /// Returns the earliest time at which a slot without a copy in progress may
  /// start, or nothing if there is no such slot.
  std::optional<TimePoint> nextStartTime() const;

  /// Appends tokens to a copy. Returns false if the copy should be cancelled
  /// because it is no longer needed or is older than the staleness bound.
  bool addChunk(CopyId copy, const Chunk& chunk);
  /// Ends a copy with the outcome of its run. `random` in [0, 1) spreads the
  /// delay before the slot runs again.
  CopyOutcome finish(CopyId copy,
                     const Outcome& outcome,
                     TimePoint now,
                     double random);
  /// Returns the answer of a copy that waits for a score, or null if the copy
  /// does not wait for one or is no longer needed.
  const std::string* answerText(CopyId copy) const;
  /// Scores a copy and makes it the sample of its slot. Returns false if the
  /// sample is no longer needed or is older than the staleness bound.
  bool recordScore(CopyId copy, double score);
  /// Returns the copies that were cancelled since the last call while they were
  /// running or waiting for a score.
  std::vector<CopyId> takeCancelled();

  /// Acknowledges the slots in `received` and returns all other samples of the
  /// complete groups. `version` is the newest weight version of the trainer.
  /// Errors: BadInput, OldOpening, UnknownOpening, NeverSent. An error leaves
  /// the step unchanged.
  Result<PulledSamples, StepError> pull(std::int64_t opening,
                                        const std::vector<Slot>& received,
                                        std::int64_t version);
  /// Marks samples as received by the trainer. Errors: as for pull().
  Result<void, StepError> acknowledge(std::int64_t opening,
                                      const std::vector<Slot>& received);
  /// Whether a pull would hand over any sample or report the step as complete.
  /// First drops stale samples that were not handed over in this opening.
  bool isReadyForPull();

  const StepSpec& spec() const { return mSpec; }
  std::int64_t opening() const { return mOpening; }
  std::int64_t newestVersion() const { return mNewestVersion; }
  const StepCounters& counters() const { return mCounters; }
  /// Returns the number of copies that are running or waiting for a score.
  std::int64_t inFlight() const;
  /// Returns the number of running copies.
  std::int64_t running() const { return mRunning; }
  /// Returns the number of samples that are ready but not acknowledged.
  std::int64_t unacknowledged() const;
  /// Whether every group has its quorum of samples, received or ready.
  bool isComplete() const;

private:
  struct Copy
  {
    CopyId id = 0;
    /// Whether the answer is complete and waits for its score.
    bool isAwaitingScore = false;
    /// Whether another copy of the slot was in progress at the start.
    bool extra = false;
    /// Whether tokens arrived without their weight version.
    bool unknownVersion = false;
    TimePoint startedAt;
    /// Number of tokens taken over from an interrupted copy.
    std::int64_t offset = 0;
    /// Text, tokens and segments of the answer so far, with those taken over.
    std::string text;
    std::int64_t tokens = 0;
    std::vector<Segment> segments;
  };

  /// Tokens of an interrupted copy.
  struct Partial
  {
    std::string text;
    std::int64_t tokens = 0;
    std::vector<Segment> segments;
    /// Consecutive attempts to resume that produced no token.
    std::int64_t failures = 0;
  };

  struct SlotState
  {
    /// The trainer has listed the sample as received.
    bool acknowledged = false;
    /// A pull of the current opening has handed over the sample.
    bool handedOver = false;
    std::optional<Sample> sample;
    std::optional<Partial> partial;
    /// Copies that are running or waiting for a score.
    std::vector<Copy> copies;
    /// Number of consecutive failures, which determines the backoff.
    std::int64_t failures = 0;
    /// The slot does not run again before this time.
    TimePoint earliestStart;

    /// Whether a sample is ready here or has been received by the trainer.
    bool hasSample() const { return acknowledged || sample.has_value(); }
  };

  struct Group
  {
    std::vector<SlotState> slots;
    /// Number of scored samples, and the sum of their lengths in tokens.
    std::int64_t lengthCount = 0;
    double lengthSum = 0;
  };

  Step(StepSpec spec, std::int64_t opening, StepPolicy policy, Limits limits);

  static std::optional<StepError> validateSpec(const StepSpec& spec,
                                               std::int64_t opening,
                                               const Limits& limits);
  std::optional<StepError> validateSlots(
    const std::vector<Slot>& received) const;
  std::optional<StepError> validateMessage(
    std::int64_t opening,
    const std::vector<Slot>& received) const;
  void applyReceived(const std::vector<Slot>& received);
  SlotState& at(Slot slot);
  const SlotState& at(Slot slot) const;
  Copy* findCopy(CopyId id);
  const Copy* findCopy(CopyId id) const;
  SlotView viewOfGroup(std::int64_t group) const;
  bool isGroupComplete(const Group& group) const;
  /// Whether the segments are within the staleness bound.
  bool isFresh(const std::vector<Segment>& segments) const;
  /// Drops samples older than the staleness bound. Samples that were handed
  /// over in this opening are dropped only if `handedOverToo` is set.
  void dropStale(bool handedOverToo);
  /// Drops stale answers that wait for a score.
  void dropStaleAnswers(SlotState& slot);
  void cancelCopies(SlotState& slot);
  void cancelGroupIfComplete(std::int64_t group);
  Copy removeCopy(CopyId id);
  CopyStart startCopy(Slot slot, TimePoint now, bool extra);
  std::optional<CopyStart> startExtraCopy(TimePoint now,
                                          std::int64_t idleSlots);
  /// Keeps the tokens of an interrupted copy for resumption, if it has more
  /// than the slot has kept so far.
  void storePartial(SlotState& slot, Copy&& copy);
  void scheduleRetry(SlotState& slot, TimePoint now, double random);

  StepSpec mSpec;
  std::int64_t mOpening;
  StepPolicy mPolicy;
  Limits mLimits;
  std::int64_t mStalenessBound = 0;
  std::int64_t mNewestVersion = 0;
  std::vector<Group> mGroups;
  /// Slot of each copy that is running or waiting for a score.
  std::map<CopyId, Slot> mCopies;
  /// Copies that the next call of takeCancelled() returns.
  std::vector<CopyId> mCancelled;
  CopyId mLastCopyId = 0;
  std::int64_t mRunning = 0;
  /// Number of scored samples of all groups, and the sum of their lengths in
  /// tokens.
  std::int64_t mLengthCount = 0;
  double mLengthSum = 0;
  StepCounters mCounters;
};

} // namespace lentilrack::core
