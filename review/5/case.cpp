// An item is listed as dead after a single failure, because the late second
// copy of the failure is taken for the answer to its next run.
#include "harness.h"

using namespace review;

int
main(int argc, char** argv)
{
  Deployment deployment(argc, argv);
  auto& store = deployment.store();
  constexpr int kMaxAttempts = 2;
  constexpr long kAnswersOfCopy = 50;
  std::mutex mutex;
  std::map<std::string, int> runs;
  std::map<std::string, int> failures;
  std::atomic<long> answers = 0;
  std::atomic<long> copies = 0;

  // One of two samplers is in trouble. It sends a second copy of at most 1 of
  // 50 of its answers, late, where the next answer is expected.
  const auto answerItem = [&](Connection& c,
                              const Message& request,
                              Sampler& self,
                              bool isInTrouble) {
    static thread_local std::string lateCopy;
    const auto id = request.header("x-request-id");
    if (!lateCopy.empty()) {
      record("sampler " + self.id() + ": sends the second copy, then answers " +
             id);
      c.send(std::exchange(lateCopy, ""));
    }
    answers += isInTrouble ? 1 : 0;
    const std::lock_guard lock(mutex);
    const bool fails = id.starts_with("lot") && ++runs[id] == 1;
    if (!fails) {
      record("sampler " + self.id() + ": runs " + id);
      return false;
    }
    ++failures[id];
    const auto failure = responseText(
      500,
      { { "X-Request-Id", id }, { "X-Server-Stamp", self.stamp() } },
      "out of order");
    record("sampler " + self.id() + ": runs " + id + ", which fails: 500");
    c.send(failure);
    if (isInTrouble && deployment.hasTrouble() &&
        answers >= kAnswersOfCopy * (copies + 1)) {
      ++copies;
      lateCopy = failure;
    }
    return true;
  };
  std::vector<std::unique_ptr<Sampler>> samplers(2);
  for (std::size_t i = 0; i < samplers.size(); ++i) {
    auto& self = samplers[i];
    self = std::make_unique<Sampler>(
      store,
      "i-model" + std::to_string(i),
      "model-servers",
      [&, i](Connection& c, const Message& request) {
        if (request.path() == "/api/report") {
          return answerReport(c, *self, 0, false);
        }
        return answerItem(c, request, *self, i == 0) ||
               answerEvents(c, request, *self, "m0", 3, 10);
      },
      12);
    self->setVersion("m0", 1);
  }
  std::unique_ptr<Sampler> plain;
  plain = std::make_unique<Sampler>(
    store, "i-plain1", "order-desk", [&](Connection& c, const Message& m) {
      return answerPlain(c, m, *plain);
    });
  deployment.start(
    2,
    { batchRoute("model-servers", kMaxAttempts),
      plainRoute("reward", "idempotent", "order-desk", 2000, 4) },
    { modelService("model-servers", "m0"), plainService("order-desk") });

  const auto& gateway = *deployment.gateways()[0];
  std::string broken;
  for (int i = 0; i < 24 && broken.empty(); ++i) {
    // Further answers, and then a batch of one item whose first run fails.
    const auto number = std::to_string(i);
    const auto step = "step" + number;
    submitBatch(gateway, step, batchBody(step, "m0", 120));
    sleepMs(1500);
    const auto id = "lot" + number;
    if (submitBatch(gateway, id, batchBody(id, "m0", 1)).status != 202) {
      deployment.finish(2, "a batch was not accepted");
    }
    sleepMs(1000);
    const auto answer = readBatch(gateway, id);
    const std::lock_guard lock(mutex);
    const auto item = id + "-0";
    record("trainer: result " + answer.body +
           ", answers of 500: " + std::to_string(failures[item]));
    const auto results =
      Json::parse(answer.body, nullptr, false).value("results", Json::array());
    const bool isDead = !results.empty() && results[0].at("state") == "dead";
    if (isDead && failures[item] < kMaxAttempts) {
      broken = item;
    }
  }
  record("answers of the sampler in trouble: " + std::to_string(answers) +
         ", second copies: " + std::to_string(copies));
  if (!broken.empty()) {
    deployment.finish(1,
                      "MIXED is broken: " + broken +
                        " is dead after one answer of 500, max_attempts is 2");
  }
  deployment.finish(deployment.hasTrouble() && copies == 0 ? 2 : 0,
                    "MIXED holds");
}
