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

/// Identifies one copy of a slot's rollout inside a step; never reused.
using CopyId = std::uint64_t;

/// A rollout to be run.
struct CopyStart
{
  CopyId id = 0;
  Slot slot;
  /// Tokens that are already there; generation resumes behind them.
  std::int64_t offset = 0;
  /// The only version on which it may run, if it is bound to one.
  std::optional<std::int64_t> version;
  /// A further copy of a slot that is already in progress.
  bool extra = false;
};

enum class CopyOutcome
{
  /// Whole and fresh; wants a score.
  NeedsScore,
  /// No usable sample; the slot runs again.
  Retry,
  /// Nobody wants the result any more.
  Discarded,
};

/// What a pull hands over.
struct PulledSamples
{
  std::vector<Sample> samples;
  /// With these samples the trainer has the quorum of every group.
  bool complete = false;
};

struct StepCounters
{
  /// Samples dropped for their age, at hand-over and before.
  std::int64_t stale = 0;
  /// Whole answers dropped because a token's version is unknown.
  std::int64_t unknownVersion = 0;
  /// Answers whose length is not what the engine reported.
  std::int64_t wrongLength = 0;
  /// Results that came after their slot or group was complete.
  std::int64_t unwanted = 0;
  std::int64_t extraCopies = 0;
  std::int64_t resumed = 0;
  /// Copies that failed or were cut off.
  std::int64_t failed = 0;
  std::int64_t handedOver = 0;
};

/// One step of a trainer at its home. Enforces that every sample names the
/// versions that produced it, that none is older than the bound at hand-over,
/// and that each slot's sample reaches the trainer once: what the trainer lists
/// as received is never sent again, and what it does not list is sent again
/// unchanged as long as it is fresh.
class Step
{
public:
  struct Limits
  {
    std::int64_t slots = 100'000;
    /// Text in one hand-over; at least one group is handed over.
    std::size_t handOverBytes = 8UL * 1024 * 1024;
  };

  /// Errors: BadInput.
  static Result<Step, StepError> open(StepSpec spec,
                                      std::int64_t opening,
                                      const std::vector<Slot>& have,
                                      StepPolicy policy,
                                      Limits limits);
  static Result<Step, StepError> open(StepSpec spec,
                                      std::int64_t opening,
                                      const std::vector<Slot>& have)
  {
    return open(std::move(spec), opening, have, defaultStepPolicy(), Limits());
  }

  /// The same step is opened again. A higher opening makes `have` the whole
  /// truth about what the trainer has; the same opening is a repetition.
  /// Errors: BadInput, DifferentStep, OldOpening, NeverSent.
  Result<void, StepError> reopen(const StepSpec& spec,
                                 std::int64_t opening,
                                 const std::vector<Slot>& have);

  /// Error BadInput for a negative bound.
  Result<void, StepError> setStalenessBound(std::int64_t versions);
  /// A version that is known to exist; an older one than before is ignored.
  void observeVersion(std::int64_t version);

  /// The next rollout to run; nothing if none can start now. `idleSlots` is the
  /// number of server slots without work, for extra copies.
  std::optional<CopyStart> startNext(TimePoint now, std::int64_t idleSlots);
  /// The earliest time at which a slot that waits after a failure may start.
  std::optional<TimePoint> nextStartTime() const;

  /// Takes tokens of a copy. False if the copy should be cancelled: it is not
  /// wanted, or already too old to be handed over.
  bool addChunk(CopyId copy, const Chunk& chunk);
  /// `random` in [0, 1) spreads the next attempt.
  CopyOutcome finish(CopyId copy,
                     const Outcome& outcome,
                     TimePoint now,
                     double random);
  /// Text of a copy that wants a score; null once it is not wanted.
  const std::string* answerText(CopyId copy) const;
  /// Fixes the slot. False if the sample is no longer wanted.
  bool recordScore(CopyId copy, double score);
  /// Copies in progress whose result is no longer wanted, since the last call.
  std::vector<CopyId> takeCancelled();

  /// Errors: BadInput, OldOpening, UnknownOpening, NeverSent; an error changes
  /// nothing.
  Result<PulledSamples, StepError> pull(std::int64_t opening,
                                        const std::vector<Slot>& have,
                                        std::int64_t version);
  Result<void, StepError> acknowledge(std::int64_t opening,
                                      const std::vector<Slot>& have);
  /// Drops stale samples; whether a pull would now hand over anything or
  /// report the step complete.
  bool isReadyForPull();

  const StepSpec& spec() const { return mSpec; }
  std::int64_t opening() const { return mOpening; }
  std::int64_t newestVersion() const { return mNewest; }
  const StepCounters& counters() const { return mCounters; }
  /// Copies that run or wait for a score.
  std::int64_t inFlight() const;
  /// Copies that run.
  std::int64_t running() const { return mRunning; }
  /// Samples that are ready and not acknowledged.
  std::int64_t unacknowledged() const;
  /// Every group has its quorum, at the trainer or ready for it.
  bool isComplete() const;

private:
  struct Copy
  {
    CopyId id = 0;
    bool scoring = false;
    bool extra = false;
    bool unknownVersion = false;
    TimePoint started;
    std::int64_t offset = 0;
    std::string text;
    std::int64_t tokens = 0;
    std::vector<Segment> segments;
  };

  /// Tokens of a copy that was cut off.
  struct Partial
  {
    std::string text;
    std::int64_t tokens = 0;
    std::vector<Segment> segments;
    std::int64_t failures = 0;
  };

  struct SlotState
  {
    /// The trainer listed it.
    bool acknowledged = false;
    /// Some pull of this opening handed it over.
    bool handedOver = false;
    std::optional<Sample> fixed;
    std::optional<Partial> partial;
    std::vector<Copy> copies;
    std::int64_t failures = 0;
    TimePoint notBefore;

    bool ready() const { return acknowledged || fixed.has_value(); }
  };

  struct Group
  {
    std::vector<SlotState> slots;
    std::int64_t lengthCount = 0;
    double lengthSum = 0;
  };

  Step(StepSpec spec, std::int64_t opening, StepPolicy policy, Limits limits);

  static std::optional<StepError> checkSpec(const StepSpec& spec,
                                            std::int64_t opening,
                                            const Limits& limits);
  std::optional<StepError> checkSlots(const std::vector<Slot>& have) const;
  std::optional<StepError> checkMessage(std::int64_t opening,
                                        const std::vector<Slot>& have) const;
  void applyHave(const std::vector<Slot>& have);
  SlotState& at(Slot slot);
  const SlotState& at(Slot slot) const;
  Copy* findCopy(CopyId id);
  const Copy* findCopy(CopyId id) const;
  SlotView groupView(std::int64_t group) const;
  bool isGroupComplete(const Group& group) const;
  bool isFresh(const std::vector<Segment>& segments) const;
  void dropStale(bool handedOverToo);
  /// Drops answers that wait for a score and are too old by now.
  void dropStaleAnswers(SlotState& slot);
  void cancelCopies(SlotState& slot);
  void cancelGroupIfComplete(std::int64_t group);
  Copy removeCopy(CopyId id);
  CopyStart startSlot(Slot slot, TimePoint now, bool extra);
  std::optional<CopyStart> startExtra(TimePoint now, std::int64_t idleSlots);
  void keepPartial(SlotState& slot, Copy&& copy);
  void delay(SlotState& slot, TimePoint now, double random);

  StepSpec mSpec;
  std::int64_t mOpening;
  StepPolicy mPolicy;
  Limits mLimits;
  std::int64_t mBound = 0;
  std::int64_t mNewest = 0;
  std::vector<Group> mGroups;
  /// Slot of each copy that runs or waits for a score.
  std::map<CopyId, Slot> mCopies;
  std::vector<CopyId> mCancelled;
  CopyId mLastCopy = 0;
  std::int64_t mRunning = 0;
  std::int64_t mLengthCount = 0;
  double mLengthSum = 0;
  StepCounters mCounters;
};

} // namespace lentilrack::core
