#pragma once

#include "core/time.h"
#include "core/work.h"

#include <cstdint>
#include <vector>

namespace lentilrack::core {

struct SlotPolicyOptions
{
  /// Work counts as long above this multiple of its target's typical cost.
  double longWorkFactor = 4;
  /// Fraction of a server's slots that long work may hold.
  double longSlotFraction = 0.75;
  /// Maximum number of preemptions of one rollout. Without this limit, a steady
  /// load of urgent work could keep the rollout from ever ending.
  int maxPreemptions = 3;
  /// A run is not preempted before it has lasted this long, since its prefill
  /// would be wasted.
  Millis minRunTime{ 200 };
  /// Urgent work waits this long for a free slot before it preempts other work.
  Millis preemptionDelay{ 20 };
};

/// Running work, as a candidate for preemption.
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

/// Queued work for which no slot is free.
struct WaitingWork
{
  WorkType type = WorkType::Order;
  std::int64_t priority = 5;
  bool isLong = false;
  TimePoint queuedAt;
};

/// Keeps short work from waiting behind long work: reserves slots for short
/// work and decides which running work is preempted.
class SlotPolicy
{
public:
  explicit SlotPolicy(SlotPolicyOptions options = {});

  /// Whether work with this estimated number of tokens counts as long. Always
  /// false while the typical number is unknown (0).
  bool isLong(double tokens, double typicalTokens) const;
  /// Returns how many of a server's slots long work may hold: at least one, and
  /// fewer than all if the server has more than one.
  std::int64_t maxLongSlots(std::int64_t slots) const;
  /// Whether the waiting work may preempt the running work now.
  bool canPreempt(const WaitingWork& waiting,
                  const RunningWork& running,
                  TimePoint now) const;
  /// Returns the preemptible work with the most remaining tokens, or null if no
  /// work may be preempted.
  const RunningWork* chooseVictim(const WaitingWork& waiting,
                                  const std::vector<RunningWork>& running,
                                  TimePoint now) const;

private:
  SlotPolicyOptions mOptions;
};

} // namespace lentilrack::core
