#include "cases.h"
#include "deployment.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <optional>

namespace lentilrack::review {

namespace {

using Json = nlohmann::json;

constexpr const char* kBatch = "7c41e09b52d6a3f8";
constexpr int kGroups = 12;
constexpr int kGroupSize = 2;
constexpr int kDesired = 11;
constexpr Millis kFreeze{ 4'000 };
constexpr Millis kSettleTime{ 1'000 };
constexpr Millis kReadInterval{ 25 };

/// Reads the batch at one gateway, which nothing disturbs, from the position up
/// to which it has read.
class Reader
{
public:
  Reader(Deployment& deployment, Gateway& gateway)
    : mDeployment(deployment)
    , mGateway(gateway)
    , mClient(deployment.io)
  {
  }

  net::Awaitable<void> read(std::map<std::size_t, Millis>& firstReadAt,
                            int& violations)
  {
    // Each call reads the last known position again, and what follows it.
    const auto after = firstReadAt.empty() ? 0 : firstReadAt.rbegin()->first;
    net::HttpCall call;
    call.endpoint = mGateway.front();
    call.timeout = Millis(2'500);
    call.useNewConnection = true;
    call.request.target = fmt::format("/api/lots/{}?after={}", kBatch, after);
    call.request.headers = { { "Host", kHost } };
    auto& record = mDeployment.record;
    const auto sentAt = record.now();
    const auto result = co_await mClient.call(std::move(call));
    const auto status = result.error ? 0 : result.response.status;
    std::size_t count = 0;
    if (status == 200) {
      count = Json::parse(result.response.body).at("results").size();
    }
    const auto known = firstReadAt.find(after);
    const bool isSettled =
      known != firstReadAt.end() && sentAt > known->second + kSettleTime;
    const bool isGone = status == 404 || status == 410;
    const bool isLost = isSettled && (isGone || (status == 200 && count == 0));
    for (std::size_t i = after; i < after + count; ++i) {
      firstReadAt.try_emplace(i, record.now());
    }
    record.line(fmt::format("read at {} from position {}: status {}, {} results{}",
                            mGateway.name(),
                            after,
                            status,
                            count,
                            isLost ? "  LOST" : ""));
    violations += isLost ? 1 : 0;
  }

private:
  Deployment& mDeployment;
  Gateway& mGateway;
  net::HttpClient mClient;
};

} // namespace

net::Awaitable<int>
runFormerOwner(Deployment& deployment)
{
  auto& record = deployment.record;
  constexpr int kGateways = 4;
  deployment.addGateways(kGateways);
  for (int i = 0; i < 3; ++i) {
    auto& engine = deployment.addSampler("engines", kModel);
    engine.events = 8;
    engine.pause = Millis(80);
    auto& desk = deployment.addSampler("desk", "");
    desk.work = Millis(80);
  }
  deployment.writeDesiredState();
  const bool isReady = co_await deployment.start();
  if (!isReady) {
    co_return kNotRun;
  }
  net::HttpClient client(deployment.io);
  net::HttpCall call;
  call.endpoint = deployment.gateways[0]->front();
  call.request.method = "POST";
  call.request.target = fmt::format("/batch/{}", kBatch);
  call.request.headers = callerHeaders(kBatch);
  call.request.body = batchBody(kBatch, kGroups, kGroupSize, kDesired);
  const auto accepted = co_await client.call(std::move(call));
  record.line(fmt::format("batch submitted at edge-1: status {}",
                          accepted.response.status));
  auto* owner = deployment.ownerOf(kBatch);
  if (accepted.response.status != 202 || owner == nullptr) {
    co_return kNotRun;
  }
  co_await net::sleepFor(Millis(100));
  if (!isCalm()) {
    owner->signal(SIGSTOP);
    record.line(owner->name() + " is frozen");
  }
  const auto thawAt = Clock::now() + kFreeze;
  bool isFrozen = true;
  int violations = 0;
  std::map<std::size_t, Millis> firstReadAt;
  std::vector<std::unique_ptr<Reader>> readers;
  for (auto& gateway : deployment.gateways) {
    if (gateway.get() != owner) {
      readers.push_back(std::make_unique<Reader>(deployment, *gateway));
    }
  }
  const auto end = Clock::now() + kFreeze + std::chrono::seconds(6);
  for (std::size_t turn = 0; Clock::now() < end; ++turn) {
    co_await readers[turn % readers.size()]->read(firstReadAt, violations);
    if (isFrozen && Clock::now() >= thawAt) {
      isFrozen = false;
      owner->signal(SIGCONT);
      record.line(owner->name() + " is thawed");
    }
    co_await net::sleepFor(kReadInterval);
  }
  record.line(fmt::format("{} positions read, {} answers without a position "
                          "that was read more than 1 s before",
                          firstReadAt.size(),
                          violations));
  if (firstReadAt.size() != kGroups * kGroupSize) {
    co_return violations > 0 ? kBroken : kNotRun;
  }
  co_return violations > 0 ? kBroken : kHeld;
}

} // namespace lentilrack::review
