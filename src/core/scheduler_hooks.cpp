#include "core/scheduler_hooks.h"

namespace lentilrack::core {

SchedulerHooks
defaultHooks(ServerChoiceOptions choice, SlotPolicyOptions slots)
{
  const SlotPolicy policy(slots);
  SchedulerHooks hooks;
  hooks.takeNext = [](FairQueue& queue,
                      TimePoint now,
                      const FairQueue::EligibilityTest& eligible) {
    return queue.pop(now, eligible);
  };
  hooks.chooseServer = [choice](const ChoiceRequest& request,
                                const ServerView& view,
                                pcg32& random) {
    return chooseBestServer(request, view, random, choice);
  };
  hooks.isLong = [policy](double tokens, double typicalTokens) {
    return policy.isLong(tokens, typicalTokens);
  };
  hooks.maxLongSlots = [policy](std::int64_t count) {
    return policy.maxLongSlots(count);
  };
  hooks.chooseVictim = [policy](const WaitingWork& waiting,
                                const std::vector<RunningWork>& running,
                                TimePoint now) {
    return policy.chooseVictim(waiting, running, now);
  };
  hooks.admissionWait = [](Millis estimated) { return estimated; };
  hooks.compareServers = [](ServerHealth& health,
                            const std::vector<std::string>& servers,
                            TimePoint now) { health.compare(servers, now); };
  return hooks;
}

SchedulerHooks
baselineHooks()
{
  SchedulerHooks hooks;
  hooks.takeNext = [](FairQueue& queue,
                      TimePoint /*now*/,
                      const FairQueue::EligibilityTest& eligible) {
    return queue.popOldest(eligible);
  };
  hooks.chooseServer = chooseRandomServer;
  hooks.isLong = [](double /*tokens*/, double /*typicalTokens*/) {
    return false;
  };
  hooks.maxLongSlots = [](std::int64_t count) { return count; };
  hooks.chooseVictim = [](const WaitingWork& /*waiting*/,
                          const std::vector<RunningWork>& /*running*/,
                          TimePoint /*now*/) -> const RunningWork* {
    return nullptr;
  };
  hooks.admissionWait = [](Millis /*estimated*/) { return Millis(0); };
  hooks.compareServers = [](ServerHealth& health,
                            const std::vector<std::string>& servers,
                            TimePoint now) {
    health.compare(servers, now, false);
  };
  return hooks;
}

} // namespace lentilrack::core
