#include "cases.h"
#include "deployment.h"

#include <fmt/format.h>
#include <pcg_random.hpp>

#include <map>
#include <random>
#include <set>

namespace lentilrack::review {

namespace {

constexpr int kGateways = 2;
constexpr int kSamplers = 4;
constexpr int kClients = 8;
constexpr Millis kBetweenRequests{ 120 };
constexpr Millis kRunTime{ 45'000 };
/// The disruption: for 4 s in every 6 s, half of the samplers lose the answers
/// of one in twenty of the requests that they ran.
constexpr Millis kPeriod{ 6'000 };
constexpr Millis kLossTime{ 4'000 };
constexpr double kLossShare = 0.05;
/// The rule allows this many requests that run on too many samplers.
constexpr int kAllowedRequests = 3;
constexpr int kMaxAttempts = 1;

net::Awaitable<void>
callRepeatedly(Deployment& deployment, int number, const bool& isEnding)
{
  auto& record = deployment.record;
  auto& gateway = *deployment.gateways[number % kGateways];
  net::HttpClient client(deployment.io);
  for (int i = 0; !isEnding; ++i) {
    const auto id = fmt::format("c{}-{}", number, i);
    net::HttpCall call;
    call.endpoint = gateway.front();
    call.timeout = Millis(2'000);
    call.request.method = "POST";
    call.request.target = "/lookup/" + id;
    call.request.headers = callerHeaders(id);
    call.request.body = "stock?";
    const auto result = co_await client.call(std::move(call));
    record.line(fmt::format("{} at {}: status {}",
                            id,
                            gateway.name(),
                            result.error ? 0 : result.response.status));
    co_await net::sleepFor(kBetweenRequests);
  }
}

} // namespace

net::Awaitable<int>
runAttemptLimit(Deployment& deployment)
{
  auto& record = deployment.record;
  deployment.addGateways(kGateways);
  pcg64 random(20261206);
  const auto start = Clock::now();
  for (int i = 0; i < kSamplers; ++i) {
    auto& sampler = deployment.addSampler("desk", "");
    sampler.work = Millis(21);
    const bool isAffected = i < kSamplers / 2 && !isCalm();
    if (isAffected) {
      sampler.losesAnswer = [&random, start] {
        const auto time = (Clock::now() - start) % kPeriod;
        return time < kLossTime &&
               std::uniform_real_distribution<double>(0, 1)(random) <
                 kLossShare;
      };
    }
  }
  deployment.writeDesiredState(kMaxAttempts);
  const bool isReady = co_await deployment.start();
  if (!isReady) {
    co_return kNotRun;
  }
  bool isEnding = false;
  for (int i = 0; i < kClients; ++i) {
    net::spawn(deployment.io, callRepeatedly(deployment, i, isEnding));
  }
  co_await net::sleepFor(kRunTime);
  isEnding = true;
  co_await net::sleepFor(Millis(2'500));
  std::map<std::string, std::set<std::string>> samplersByRequest;
  for (const auto& run : deployment.runs) {
    samplersByRequest[run.request].insert(run.sampler);
  }
  int violations = 0;
  for (const auto& [request, samplers] : samplersByRequest) {
    if (samplers.size() > kMaxAttempts) {
      ++violations;
      record.line(fmt::format("{} ran on {} samplers, max_attempts is {}",
                              request,
                              samplers.size(),
                              kMaxAttempts));
    }
  }
  record.line(fmt::format("{} requests ran, {} of them on more samplers than "
                          "max_attempts",
                          samplersByRequest.size(),
                          violations));
  if (samplersByRequest.empty()) {
    co_return kNotRun;
  }
  co_return violations > kAllowedRequests ? kBroken : kHeld;
}

} // namespace lentilrack::review
