// An order whose answer is a stream, on a route that may not be resumed, runs
// twice, and is answered 503 although it has run. A sampler spoils the first
// event of its stream.
#include "harness.h"

using namespace review;

int
main(int argc, char** argv)
{
  Deployment deployment(argc, argv);
  std::mutex mutex;
  std::map<std::string, int> runs;
  std::map<std::string, int> answers;
  std::map<std::string, int> spoiled;
  std::string inTrouble;
  std::vector<std::unique_ptr<Sampler>> samplers(3);
  // The first sampler that gives 50 answers is in trouble. It spoils one answer
  // on each route, at most 1 of 50 of its answers so far.
  const auto isSpoiled = [&](const std::string& id, const std::string& route) {
    const std::lock_guard lock(mutex);
    const int count = ++answers[id];
    if (inTrouble.empty() && count >= 50) {
      inTrouble = id;
    }
    const int total = spoiled["/pay"] + spoiled["/once"];
    const bool spoils = deployment.hasTrouble() && inTrouble == id &&
                        spoiled[route] == 0 && count >= 50 * (total + 1);
    spoiled[route] += spoils ? 1 : 0;
    return spoils;
  };
  for (std::size_t i = 0; i < samplers.size(); ++i) {
    auto& self = samplers[i];
    self = std::make_unique<Sampler>(
      deployment.store(),
      "i-stream" + std::to_string(i),
      "stream-servers",
      [&](Connection& c, const Message& request) {
        const auto id = request.header("x-request-id");
        const auto path = request.path();
        const auto route = path.substr(0, path.find('/', 1));
        const bool spoils = isSpoiled(self->id(), route);
        {
          const std::lock_guard lock(mutex);
          ++runs[id];
        }
        record("sampler " + self->id() + ": runs " + id +
               (spoils ? ", spoils the first event" : ""));
        if (!spoils) {
          return answerEvents(c, request, *self, "m0", 2, 2);
        }
        // The receipt is right, the bytes of the first event are not.
        c.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
               "Transfer-Encoding: chunked\r\nX-Request-Id: " +
               id + "\r\nX-Server-Stamp: " + self->stamp() + "\r\n\r\n");
        const std::string event = "i\x7f: 1\nd#ta: p\x01rt 1\n\n";
        std::stringstream chunk;
        chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
        c.send(chunk.str());
        while (!c.isClosedByPeer()) {
          sleepMs(5);
        }
        return false;
      });
  }
  deployment.start(2,
                   { plainRoute("pay", "stream", "stream-servers", 4000, 2),
                     plainRoute("once", "stream", "stream-servers", 4000, 1) },
                   Json::array({ plainService("stream-servers") }));

  bool isTwice = false;
  bool isRefused = false;
  constexpr int kOrdersOfRoute = 300;
  for (int i = 0; i < 2 * kOrdersOfRoute; ++i) {
    const auto& gateway =
      *deployment.gateways()[static_cast<std::size_t>(i % 2)];
    const std::string route = i < kOrdersOfRoute ? "/pay/" : "/once/";
    const auto id = "order" + std::to_string(i);
    const auto answer = exchange(gateway.ip(),
                                 gateway.front(),
                                 "POST",
                                 route + id,
                                 { { "Host", "orders.example" },
                                   { "X-Request-Id", id },
                                   { "X-Deadline-Ms", "4000" } },
                                 "one crate",
                                 5'000);
    const std::lock_guard lock(mutex);
    record("consumer: " + route + id + " -> " + std::to_string(answer.status) +
           (answer.isComplete ? ", complete" : ", incomplete") + ", ran " +
           std::to_string(runs[id]) + " times");
    isTwice = isTwice || runs[id] > 1;
    isRefused = isRefused || (answer.status == 503 && runs[id] > 0);
  }
  const std::lock_guard lock(mutex);
  for (const auto& [name, count] : answers) {
    record("answers of sampler " + name + ": " + std::to_string(count));
  }
  if (deployment.hasTrouble() &&
      (spoiled["/pay"] == 0 || spoiled["/once"] == 0)) {
    deployment.finish(2, "the sampler in trouble gave too few answers");
  }
  if (isTwice || isRefused) {
    deployment.finish(
      1,
      std::string(isTwice ? "TWICE is broken: one attempt ran twice. " : "") +
        (isRefused ? "REFUSED is broken: 503 for a request that has run."
                   : ""));
  }
  deployment.finish(0, "TWICE and REFUSED hold");
}
