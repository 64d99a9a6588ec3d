#pragma once

#include "core/fair_queue.h"
#include "core/server_choice.h"
#include "core/slot_policy.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::core {

/// The rules of the scheduler that vary between policies.
struct SchedulerHooks
{
  /// Takes the next work from a target's queue.
  std::function<std::optional<QueueItem>(FairQueue&,
                                         TimePoint,
                                         const FairQueue::EligibilityTest&)>
    takeNext;
  /// Index of the server for the work; nothing if none may start it.
  std::function<
    std::optional<std::size_t>(const ChoiceRequest&, const ServerView&, pcg32&)>
    chooseServer;
  /// Whether work of this estimated size is long, given the target's typical
  /// size.
  std::function<bool(double tokens, double typicalTokens)> isLong;
  /// Slots of a server that long work may hold.
  std::function<std::int64_t(std::int64_t slots)> maxLongSlots;
  /// Running work that should make room for waiting work; null for none.
  std::function<const RunningWork*(const WaitingWork&,
                                   const std::vector<RunningWork>&,
                                   TimePoint)>
    chooseVictim;
  /// The wait to compare with the deadline, from the estimated one.
  std::function<Millis(Millis estimated)> admissionWait;
  /// Updates the shares of the servers of one target.
  std::function<
    void(ServerHealth&, const std::vector<std::string>& servers, TimePoint)>
    compareServers;
};

/// Fair queue, best server, reserved slots, preemption and early refusal.
SchedulerHooks
defaultHooks(ServerChoiceOptions choice = {}, SlotPolicyOptions slots = {});

/// FIFO queue, random server, no reserved slots, no preemption, no early
/// refusal and no regard to slow servers.
SchedulerHooks
baselineHooks();

} // namespace lentilrack::core
