#pragma once

#include "core/fair_queue.h"
#include "core/server_choice.h"
#include "core/slot_policy.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::core {

/// The decisions of the scheduler that depend on the scheduling policy.
struct SchedulerHooks
{
  /// Takes the next eligible work from a target's queue.
  std::function<std::optional<QueueItem>(FairQueue&,
                                         TimePoint,
                                         const FairQueue::EligibilityTest&)>
    takeNext;
  /// Returns the index of the server that is to run the work, or nothing if no
  /// server may start it now.
  std::function<
    std::optional<std::size_t>(const ChoiceRequest&, const ServerView&, pcg32&)>
    chooseServer;
  /// Whether work with this estimated number of tokens counts as long, given
  /// the typical number for its target.
  std::function<bool(double tokens, double typicalTokens)> isLong;
  /// Returns how many of a server's slots long work may hold.
  std::function<std::int64_t(std::int64_t slots)> maxLongSlots;
  /// Returns the running work that should be preempted for the waiting work, or
  /// null if none should.
  std::function<const RunningWork*(const WaitingWork&,
                                   const std::vector<RunningWork>&,
                                   TimePoint)>
    chooseVictim;
  /// Returns the wait that admission compares with the deadline, given the
  /// estimated wait.
  std::function<Millis(Millis estimated)> admissionWait;
  /// Compares the servers of one target and updates their shares of the load.
  std::function<
    void(ServerHealth&, const std::vector<std::string>& servers, TimePoint)>
    compareServers;
};

/// Returns the normal policy: fair queue, best server, slots reserved for short
/// work, preemption, and refusal of work that would miss its deadline.
SchedulerHooks
defaultHooks(ServerChoiceOptions choice = {}, SlotPolicyOptions slots = {});

/// Returns the baseline policy for comparisons: FIFO queue, random server, no
/// reserved slots, no preemption, no refusal for estimated waits and no reduced
/// load on slow servers.
SchedulerHooks
baselineHooks();

} // namespace lentilrack::core
