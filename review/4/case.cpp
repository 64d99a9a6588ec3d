// A process that shuts down goes on taking orders until it ends, and cuts those
// that are still running when it ends, 7 s after SIGTERM.
#include "harness.h"

using namespace review;

int
main(int argc, char** argv)
{
  Deployment deployment(argc, argv);
  constexpr long kWorkMs = 1600;
  std::unique_ptr<Sampler> sampler;
  std::mutex mutex;
  std::map<std::string, int> runs;
  sampler = std::make_unique<Sampler>(
    deployment.store(),
    "i-plain1",
    "order-desk",
    [&](Connection& c, const Message& request) {
      const auto id = request.header("x-request-id");
      record("sampler: runs " + id);
      {
        const std::lock_guard lock(mutex);
        ++runs[id];
      }
      sleepMs(kWorkMs);
      record("sampler: answers " + id);
      return answerPlain(c, request, *sampler);
    },
    6);
  deployment.start(
    2,
    Json::array({ plainRoute("pay", "non_idempotent", "order-desk", 5000, 2) }),
    Json::array({ plainService("order-desk") }));
  auto& leaving = *deployment.gateways()[0];

  // A consumer asks for the addresses just before the shutdown, and keeps the
  // answer for three times its time to live.
  const auto addresses =
    exchange(leaving.ip(),
             leaving.directory(),
             "GET",
             "/api/resolve?name=orders.example&region=sicilia-est&zone=etna",
             { { "Host", leaving.ip() } });
  record("consumer: addresses " + addresses.body);
  const auto known = Json::parse(addresses.body);
  const auto front = leaving.ip() + ":" + std::to_string(leaving.front());
  const long keptMs = 3000 * known.at("ttl_s").get<long>();
  bool isListed = false;
  for (const auto& address : known.at("addresses")) {
    isListed = isListed || address == front;
  }
  if (!isListed) {
    deployment.finish(2, "the address is not in the answer");
  }
  const long start = nowMs();
  if (deployment.hasTrouble()) {
    leaving.signal(SIGTERM);
  }
  std::atomic<int> cut = 0;
  std::string firstCut;
  std::vector<std::thread> consumers;
  for (long at = 500; at < keptMs; at += 450) {
    consumers.emplace_back([&, at] {
      sleepMs(start + at - nowMs());
      const auto id = "order-" + std::to_string(at);
      const auto answer = exchange(leaving.ip(),
                                   leaving.front(),
                                   "POST",
                                   "/pay/" + id,
                                   { { "Host", "orders.example" },
                                     { "X-Request-Id", id },
                                     { "X-Deadline-Ms", "4500" } },
                                   "one crate",
                                   4'500);
      const auto took = nowMs() - start - at;
      const std::lock_guard lock(mutex);
      record("consumer: " + id + " -> " + std::to_string(answer.status) +
             " after " + std::to_string(took) + " ms");
      // Requests that were sent up to 3 s after SIGTERM may be excused, and
      // those that reached their time budget.
      if (answer.status == 0 && runs[id] > 0 && at > 3000 && took < 4300) {
        ++cut;
        firstCut = firstCut.empty() ? id : firstCut;
      }
    });
  }
  for (auto& consumer : consumers) {
    consumer.join();
  }
  sleepMs(1000);
  leaving.hasEnded();
  if (cut > 0) {
    deployment.finish(1,
                      "LOST is broken: " + std::to_string(cut) +
                        " requests that had been passed on got no answer, "
                        "the first is " +
                        firstCut);
  }
  deployment.finish(0, "LOST holds");
}
