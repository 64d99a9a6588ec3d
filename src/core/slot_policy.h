#pragma once

#include "core/time.h"
#include "core/work.h"

#include <cstdint>
#include <vector>

namespace lentilrack::core {

struct SlotPolicyOptions
{
  /// Work with more than this multiple of the typical cost of its target is
  /// long.
  double longWorkFactor = 4;
  /// Part of a server's slots that long work may hold.
  double longSlotFraction = 0.75;
  /// A preempted rollout is not preempted again too often, or it would never
  /// end under steady urgent load.
  int maxPreemptions = 3;
  /// A run shorter than this is not preempted, since its prefill would be
  /// wasted.
  Millis minRunTime{ 200 };
  /// Urgent work waits this long for a slot before it preempts.
  Millis preemptionDelay{ 20 };
};

/// Running work that might be preempted.
struct RunningWork
{
  std::uint64_t id = 0;
  WorkType type = WorkType::Order;
  std::int64_t priority = 5;
  bool isLong = false;
  int preemptions = 0;
  TimePoint startedAt;
  double remainingTokens = 0;
};

/// Waiting work that has found no slot.
struct WaitingWork
{
  WorkType type = WorkType::Order;
  std::int64_t priority = 5;
  bool isLong = false;
  TimePoint queuedAt;
};

/// Keeps short work from waiting behind long work.
class SlotPolicy
{
public:
  explicit SlotPolicy(SlotPolicyOptions options = {});

  bool isLong(double tokens, double typicalTokens) const;
  /// Slots of a server that long work may hold: at least one, and at least one
  /// less than all if there are several.
  std::int64_t maxLongSlots(std::int64_t slots) const;
  /// Whether waiting work may take the slot of running work now.
  bool canPreempt(const WaitingWork& waiting,
                  const RunningWork& running,
                  TimePoint now) const;
  /// The best of the candidates to preempt, the one with the most left to do;
  /// null if there is none.
  const RunningWork* chooseVictim(const WaitingWork& waiting,
                            const std::vector<RunningWork>& running,
                            TimePoint now) const;

private:
  SlotPolicyOptions mOptions;
};

} // namespace lentilrack::core
