// One sampler that sends a report without end makes one leader after the other
// use more memory than its machine has.
#include "orders.h"

using namespace review;

int
main(int argc, char** argv)
{
  Deployment deployment(argc, argv);
  auto& store = deployment.store();
  std::vector<std::unique_ptr<ModelSampler>> samplers;
  for (int i = 1; i <= 3; ++i) {
    samplers.push_back(
      std::make_unique<ModelSampler>(store, "i-model" + std::to_string(i)));
  }
  std::unique_ptr<Sampler> plain;
  plain = std::make_unique<Sampler>(
    store, "i-plain1", "order-desk", [&](Connection& c, const Message& m) {
      return answerPlain(c, m, *plain);
    });
  // One of three samplers is in trouble. At most 0.02 of its answers have no
  // end: the list of a report goes on until the caller closes the connection.
  auto& inTrouble = *samplers[0];
  std::atomic<long> endless = 0;
  inTrouble.onReport = [&](Connection& c) {
    if (!deployment.hasTrouble() ||
        static_cast<double>(endless + 1) >
          0.02 * static_cast<double>(inTrouble.answers())) {
      return false;
    }
    ++endless;
    record("sampler " + inTrouble.id() + ": sends a report without end, " +
           std::to_string(endless) + " of " +
           std::to_string(inTrouble.answers()) + " answers");
    c.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
           "{\"stage\":\"both\",\"models\":[");
    std::string entries;
    while (entries.size() < 60'000) {
      entries += R"({"name":"m0","version":1,"adapters":[]},)";
    }
    // At the rate of a link of 1,000 Mbit/s.
    while (c.send(entries)) {
      std::this_thread::sleep_for(std::chrono::microseconds(480));
    }
    return true;
  };
  deployment.start(
    3,
    { batchRoute("model-servers", 3),
      plainRoute("reward", "idempotent", "order-desk", 2000, 4) },
    { modelService("model-servers", "m0"), plainService("order-desk") });

  // The platform kills a process that uses more memory than its machine has,
  // and starts it again after a short delay.
  std::map<std::string, int> ends;
  const auto watchMemory = [&](Gateway& gateway) {
    const auto used = gateway.memoryMb();
    if (used > Gateway::kMemoryMb) {
      ++ends[gateway.name()];
      record(gateway.name() + ": uses " + std::to_string(used) + " MB");
      gateway.kill();
      std::thread([&gateway] {
        sleepMs(500);
        gateway.start();
      }).detach();
    }
  };
  // The core of a machine runs until its share is used up, and then not at all
  // for the rest of that tenth of a second.
  for (const auto& gateway : deployment.gateways()) {
    std::thread([&gateway = *gateway] {
      gateway.limitProcessor(0.25);
    }).detach();
  }
  // A trainer submits a batch each second and names a version each 4 s.
  std::thread([&] {
    for (int i = 0; i < 85; ++i) {
      const auto id = "step" + std::to_string(i);
      const auto body = batchBody(id, "m0", 40);
      for (const auto& gateway : deployment.gateways()) {
        if (submitBatch(*gateway, id, body).status == 202) {
          break;
        }
      }
      if (i % 4 == 3) {
        nameVersion(store, 2 + i / 4);
      }
      sleepMs(1000);
    }
  }).detach();
  int machines = 0;
  const long end = nowMs() + 90'000;
  while (nowMs() < end && machines < 2) {
    for (const auto& gateway : deployment.gateways()) {
      watchMemory(*gateway);
    }
    machines = 0;
    for (const auto& [name, count] : ends) {
      machines += count >= 3 ? 1 : 0;
    }
    sleepMs(10);
  }
  sleepMs(700);
  for (const auto& [name, count] : ends) {
    record(name + ": ended by itself " + std::to_string(count) + " times");
  }
  if (machines >= 2) {
    deployment.finish(1,
                      "Fault: on 2 of 3 machines the process went over its "
                      "memory limit three times");
  }
  deployment.finish(0, "no Fault");
}
