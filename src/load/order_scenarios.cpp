#include "load/load_generator.h"
#include "load/scenarios.h"

#include <algorithm>

namespace lentilrack::load {

using net::Awaitable;
using wire::Json;

namespace {

constexpr const char* kModel = "desk";
constexpr std::int64_t kShortTokens = 20;
constexpr std::int64_t kLongFactor = 30;
constexpr double kLongShare = 0.1;
// Dispatchers raise the window of a new server, which limits its concurrent
// requests, over 5 s. The warm-up is longer, so that the ramp is not measured.
constexpr core::Millis kWarmUp{ 6000 };

OrderSource
orderSource(const std::string& principal,
            const std::string& kind,
            std::int64_t tokens,
            double rate)
{
  OrderSource newSource;
  newSource.principal = principal;
  newSource.spec = { kind, kModel, tokens, false };
  newSource.rate = rate;
  return newSource;
}

/// Returns sources of short and long orders whose tokens together use the
/// fraction `load` of the capacity.
std::vector<OrderSource>
mixedLengths(const Context& context, double load)
{
  const double capacity = context.deployment.capacity.at(kModel);
  const double meanTokens =
    kShortTokens * (1 - kLongShare + kLongShare * kLongFactor);
  const double rate = load * capacity / meanTokens;
  auto shortOrders =
    orderSource("desk", "short", kShortTokens, rate * (1 - kLongShare));
  auto longOrders =
    orderSource("desk", "long", kShortTokens * kLongFactor, rate * kLongShare);
  longOrders.isLong = true;
  return { shortOrders, longOrders };
}

std::vector<OrderSource>
shortOnly(const Context& context, double load)
{
  const double capacity = context.deployment.capacity.at(kModel);
  return { orderSource(
    "desk", "short", kShortTokens, load * capacity / kShortTokens) };
}

Awaitable<void>
slowEngines(Context& context, core::TimePoint end, bool& finished)
{
  constexpr double kSlowSpeed = 0.2;
  constexpr core::Millis kSlowDuration{ 10'000 };
  auto engines = context.deployment.engines(kModel);
  while (core::Clock::now() < end) {
    std::ranges::shuffle(engines, context.random);
    const std::vector<DeployedServer> slowed{ engines[0], engines[1] };
    for (const auto& engine : slowed) {
      Json body{ { "slow_factor", 1 / kSlowSpeed } };
      co_await sendControl(context, engine.endpoint, std::move(body));
    }
    const auto left =
      std::chrono::duration_cast<core::Millis>(end - core::Clock::now());
    co_await net::sleepFor(std::clamp(left, core::Millis(0), kSlowDuration));
    for (const auto& engine : slowed) {
      Json body{ { "slow_factor", 1 } };
      co_await sendControl(context, engine.endpoint, std::move(body));
    }
  }
  finished = true;
}

} // namespace

Awaitable<void>
runMixedLength(Context& context, Report& report)
{
  constexpr double kLoad = 0.8;
  // A long order takes 3 s on an idle server. The queue length becomes stable
  // only after a few such times.
  constexpr core::Millis kLongWarmUp{ 6000 };
  Report shortReport;
  LoadGenerator shortLoad(context, shortReport);
  co_await shortLoad.run(shortOnly(context, kLoad), kWarmUp, context.duration);
  LoadGenerator load(context, report);
  co_await load.run(
    mixedLengths(context, kLoad), kLongWarmUp, context.duration);
  const double seconds =
    std::chrono::duration<double>(context.duration).count();
  report.goodputRatio = static_cast<double>(load.completedTokens()) /
                        (seconds * context.deployment.capacity.at(kModel));
  report.extra["short_alone_p99_ms"] = shortReport.shortLatency.quantile(0.99);
  report.extra["long_tokens_per_s"] =
    static_cast<double>(load.longTokens()) / seconds;
  co_await load.check(kModel);
}

Awaitable<void>
runSlowServers(Context& context, Report& report)
{
  constexpr double kLoad = 0.6;
  Report healthyReport;
  LoadGenerator healthyLoad(context, healthyReport);
  co_await healthyLoad.run(
    shortOnly(context, kLoad), kWarmUp, context.duration);
  LoadGenerator load(context, report);
  bool finished = false;
  net::spawn(context.io,
             slowEngines(context,
                         core::Clock::now() + kWarmUp + context.duration,
                         finished));
  co_await load.run(shortOnly(context, kLoad), kWarmUp, context.duration);
  co_await waitUntilSet(finished);
  report.extra["healthy_p99_ms"] = healthyReport.shortLatency.quantile(0.99);
  co_await load.check(kModel);
}

Awaitable<void>
runOverload(Context& context, Report& report)
{
  constexpr double kOverload = 3;
  constexpr std::int64_t kTokens = 40;
  const double capacity = context.deployment.capacity.at(kModel);
  const double rate = kOverload * capacity / kTokens / 2;
  LoadGenerator load(context, report);
  std::map<std::string, double> tokens;
  Samples refusals;
  load.onResult([&](const OrderSource& source, const OrderResult& result) {
    if (!load.isMeasuring()) {
      return;
    }
    if (result.verdict == core::Verdict::NotRun) {
      refusals.add(result.millis);
    }
    tokens[source.principal] += static_cast<double>(result.tokens);
  });
  const std::vector<OrderSource> mix{
    orderSource("gold", "bulk", kTokens, rate),
    orderSource("silver", "bulk", kTokens, rate)
  };
  co_await load.run(mix, kWarmUp, context.duration);
  const double seconds =
    std::chrono::duration<double>(context.duration).count();
  report.goodputRatio =
    static_cast<double>(load.completedTokens()) / (seconds * capacity);
  report.extra["gold_over_silver"] =
    tokens["gold"] / std::max(tokens["silver"], 1.0);
  report.extra["refused_p50_ms"] = refusals.quantile(0.5);
  report.extra["refused_p99_ms"] = refusals.quantile(0.99);
  co_await load.check(kModel);
}

Awaitable<void>
runKvOutage(Context& context, Report& report)
{
  constexpr double kLoad = 0.5;
  LoadGenerator load(context, report);
  const auto mix = shortOnly(context, kLoad);
  co_await load.run(mix, kWarmUp, core::Millis(0));
  Json down{ { "down", true } };
  co_await sendControl(context, context.deployment.kv, std::move(down));
  co_await load.run(mix, core::Millis(0), context.duration);
  Json up{ { "down", false } };
  co_await sendControl(context, context.deployment.kv, std::move(up));
  co_await load.run(mix, core::Millis(0), kWarmUp);
  const auto ledger = co_await callJson(
    context, context.deployment.kv, "GET", "/ledger", "", nullptr);
  const auto json = Json::parse(ledger.response.body, nullptr, false);
  if (json.is_object() && json.contains("max_calls_per_second")) {
    report.extra["kv_max_calls_per_second"] = json["max_calls_per_second"];
  }
  co_await load.check(kModel);
}

Awaitable<void>
runOrdersUnderFault(Context& context, Report& report)
{
  constexpr double kLoad = 0.5;
  auto mix = shortOnly(context, kLoad / 2);
  auto idempotent = mix.front();
  idempotent.spec.idempotent = true;
  mix.push_back(idempotent);
  LoadGenerator load(context, report);
  co_await load.run(mix, core::Millis(0), context.duration);
  co_await load.check(kModel);
}

} // namespace lentilrack::load
