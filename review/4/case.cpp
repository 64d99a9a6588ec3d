// A new leader that is killed and restarted while it waits for lease_ms gives
// orders at once. The leader before it was killed, too.
#include "orders.h"

using namespace review;

int
main(int argc, char** argv)
{
  Deployment deployment(argc, argv);
  auto& store = deployment.store();
  ModelSampler sampler(store, "i-model1");
  deployment.start(3,
                   Json::array({ batchRoute("model-servers", 3) }),
                   Json::array({ modelService("model-servers", "m0") }));
  const auto first = leaderOf(store);
  if (first.empty()) {
    deployment.finish(2, "there is no leader");
  }
  record("the leader is " + first);

  std::mutex mutex;
  std::condition_variable changed;
  long firstOrderAt = 0;
  std::string second;
  sampler.onOrder = [&](const Order& order) {
    const std::lock_guard lock(mutex);
    firstOrderAt = firstOrderAt == 0 ? order.at : firstOrderAt;
    changed.notify_all();
  };

  waitForLeaseAge(store, 350);
  nameVersion(store, 2);
  {
    std::unique_lock lock(mutex);
    changed.wait_for(lock, Millis(3000), [&] { return firstOrderAt != 0; });
  }
  if (firstOrderAt == 0) {
    deployment.finish(2, "no order was given");
  }
  std::thread([&] {
    sleepMs(1500);
    nameVersion(store, 3);
  }).detach();
  if (deployment.hasTrouble()) {
    deployment.gateway(first).kill();
    // The second leader is killed as soon as it leads, and started again after
    // 0.1 s.
    for (int i = 0; i < 4000; ++i) {
      second = leaderOf(store);
      if (!second.empty() && second != first) {
        break;
      }
      sleepMs(1);
    }
    if (second.empty() || second == first) {
      deployment.finish(2, "no other process became the leader");
    }
    record("the leader is " + second);
    if (std::getenv("KILL_ONE") == nullptr) {
      sleepMs(20);
      deployment.gateway(second).kill();
      sleepMs(100);
      deployment.gateway(second).start();
    }
    sleepMs(firstOrderAt + 3500 - nowMs());
    deployment.gateway(first).start();
  }
  sleepMs(firstOrderAt + 9000 - nowMs());
  const auto turns = findTurns(sampler.orders());
  if (!turns.empty()) {
    deployment.finish(1, "ONE is broken: " + turns);
  }
  deployment.finish(sampler.orders().size() >= 2 ? 0 : 2, "ONE holds");
}
