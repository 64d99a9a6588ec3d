#include "cases.h"
#include "deployment.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <map>

namespace lentilrack::review {

namespace {

using Json = nlohmann::json;

constexpr const char* kBatch = "5e07b9d2c3a1f846";
constexpr int kGroups = 4;
constexpr int kGroupSize = 2;
constexpr std::size_t kItems = kGroups * kGroupSize;
/// Reads go on for this long after all results were read, and those of the last
/// part decide.
constexpr Millis kReadTime{ 50'000 };
constexpr Millis kLastPart{ 12'000 };
constexpr Millis kReadInterval{ 500 };

std::string
submission()
{
  auto body = Json::parse(batchBody(kBatch, kGroups, kGroupSize, kGroups));
  for (auto& item : body["items"]) {
    item["headers"]["X-Length-Hint"] = "8";
  }
  if (!isCalm()) {
    body["items"][0]["headers"]["X-Length-Hint"] = "nan";
  }
  return body.dump();
}

net::Awaitable<net::HttpResult>
callBatch(Deployment& deployment, std::size_t gateway, std::string method)
{
  net::HttpClient client(deployment.io);
  net::HttpCall call;
  call.endpoint = deployment.gateways[gateway]->front();
  call.useNewConnection = true;
  call.request.method = std::move(method);
  call.request.target = fmt::format(
    "/api/lots/{}{}", kBatch, call.request.method == "GET" ? "?after=0" : "");
  call.request.headers = { { "Host", kHost } };
  if (call.request.method == "GET") {
    call.request.headers.emplace_back("X-Wait-Ms", "1000");
  }
  co_return co_await client.call(std::move(call));
}

/// Returns the results in the answer by position.
std::vector<std::string>
resultsIn(const net::HttpResult& result)
{
  std::vector<std::string> results;
  if (!result.error && result.response.status == 200) {
    const auto page = Json::parse(result.response.body);
    for (const auto& entry : page.at("results")) {
      results.push_back(entry.dump());
    }
  }
  return results;
}

} // namespace

net::Awaitable<int>
runUnreadableBatch(Deployment& deployment)
{
  auto& record = deployment.record;
  constexpr int kGateways = 3;
  deployment.addGateways(kGateways);
  for (int i = 0; i < 3; ++i) {
    deployment.addSampler("engines", kModel);
    deployment.addSampler("desk", "");
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
  call.request.body = submission();
  const auto accepted = co_await client.call(std::move(call));
  record.line(fmt::format("batch submitted: status {}",
                          accepted.response.status));
  if (accepted.response.status != 202) {
    // A submission that is not accepted is none that must be kept.
    co_return accepted.response.status == 400 ? kHeld : kNotRun;
  }
  std::vector<std::string> read;
  const auto end = Clock::now() + kReadTime;
  std::size_t lastReads = 0;
  std::size_t lastComplete = 0;
  for (std::size_t turn = 0; Clock::now() < end; ++turn) {
    const auto gateway = turn % kGateways;
    const auto result = co_await callBatch(deployment, gateway, "GET");
    const auto results = resultsIn(result);
    record.line(fmt::format("read at {}: status {}, {} results",
                            deployment.gateways[gateway]->name(),
                            result.response.status,
                            results.size()));
    if (results.size() > read.size()) {
      read = results;
    }
    if (end - Clock::now() < kLastPart) {
      ++lastReads;
      lastComplete += results == read ? 1 : 0;
    }
    co_await net::sleepFor(kReadInterval);
  }
  for (std::size_t i = 0; i < kGateways; ++i) {
    const auto result = co_await callBatch(deployment, i, "DELETE");
    record.line(fmt::format("end at {}: status {}",
                            deployment.gateways[i]->name(),
                            result.response.status));
  }
  record.line(fmt::format("{} results were read; {} of the last {} reads gave "
                          "them again",
                          read.size(),
                          lastComplete,
                          lastReads));
  if (read.empty()) {
    co_return kNotRun;
  }
  co_return lastComplete == 0 ? kBroken : kHeld;
}

} // namespace lentilrack::review
