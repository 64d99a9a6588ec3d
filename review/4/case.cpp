// A batch submission that was refused with 503 at each attempt runs later. The
// store goes down just after it has stored the batch.
#include "harness.h"

using namespace review;

int
main(int argc, char** argv)
{
  Deployment deployment(argc, argv);
  auto& store = deployment.store();
  std::atomic<int> runs = 0;
  std::unique_ptr<Sampler> model;
  model = std::make_unique<Sampler>(
    store,
    "i-model1",
    "model-servers",
    [&](Connection& c, const Message& request) {
      if (request.path() == "/api/report") {
        return answerReport(c, *model, 0, false);
      }
      const auto id = request.header("x-request-id");
      record("sampler: runs item " + id);
      if (id.starts_with("lot7")) {
        ++runs;
      }
      return answerEvents(c, request, *model, "m0", 3, 20);
    },
    12);
  model->setVersion("m0", 1);
  std::unique_ptr<Sampler> plain;
  plain = std::make_unique<Sampler>(
    store, "i-plain1", "order-desk", [&](Connection& c, const Message& m) {
      return answerPlain(c, m, *plain);
    });
  deployment.start(
    4,
    { batchRoute("model-servers", 3),
      plainRoute("reward", "idempotent", "order-desk", 2000, 4) },
    { modelService("model-servers", "m0"), plainService("order-desk") });

  const auto& owner = deployment.findBatchOwner("m0");
  std::vector<Gateway*> others;
  for (const auto& gateway : deployment.gateways()) {
    if (gateway.get() != &owner) {
      others.push_back(gateway.get());
    }
  }
  sleepMs(1000);
  std::atomic<bool> hasFailed = false;
  store.onCommit = [&](const std::vector<std::string>& keys) {
    const bool storesBatch =
      std::any_of(keys.begin(), keys.end(), [](const std::string& key) {
        return key.find("lot7") != std::string::npos;
      });
    if (!storesBatch || !deployment.hasTrouble() || hasFailed.exchange(true)) {
      return Store::Fate::Answered;
    }
    record("store: has stored the batch and fails before it answers");
    return Store::Fate::StoreFails;
  };
  std::thread([&] {
    while (!hasFailed) {
      sleepMs(10);
    }
    sleepMs(4500);
    store.setDown(false);
  }).detach();

  // A trainer has one retry; it goes to another node.
  const auto body = batchBody("lot7", "m0", 4);
  int refusals = 0;
  int attempts = 0;
  for (auto* gateway : { others[0], others[1] }) {
    ++attempts;
    const auto answer = submitBatch(*gateway, "lot7", body);
    refusals += answer.status == 503 || answer.status == 429 ? 1 : 0;
    if (answer.status == 202) {
      break;
    }
    sleepMs(250);
  }
  sleepMs(12'000);
  record("runs of items of the batch: " + std::to_string(runs));
  if (deployment.hasTrouble() && !hasFailed) {
    deployment.finish(2, "the store did not see the batch");
  }
  if (refusals == attempts && runs > 0) {
    deployment.finish(1,
                      "REFUSED is broken: the batch was answered 503 at each "
                      "of " +
                        std::to_string(attempts) +
                        " attempts, and its items ran");
  }
  deployment.finish(0, "REFUSED holds");
}
