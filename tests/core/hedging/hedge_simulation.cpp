#include "hedge_simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace lentilrack::core {

namespace {

constexpr PreciseMillis kDuration{ 90'000 };
/// The first part fills the history of durations and is not measured.
constexpr PreciseMillis kWarmUp{ 15'000 };
const HedgePolicy::Subject kSubject{ "service", "forward" };

TimePoint
after(TimePoint time, PreciseMillis duration)
{
  return time + std::chrono::round<TimePoint::duration>(duration);
}

} // namespace

HedgeSimulation::HedgeSimulation(HedgeScenario scenario,
                                 std::optional<double> limit)
  : mScenario(std::move(scenario))
  , mLimit(limit)
  , mProcesses(static_cast<std::size_t>(mScenario.processes))
{
  std::vector<ServerEntry> entries;
  for (int i = 0; i < kServers; ++i) {
    ServerEntry entry;
    entry.id = fmt::format("s{:02}", i);
    entry.service = kSubject.service;
    entry.failureDomain = fmt::format("d{}", i % kDomains);
    entry.slots = kSlots;
    entry.startedAt = 1;
    entries.push_back(std::move(entry));
  }
  for (auto& process : mProcesses) {
    process.registry.apply(entries, mNow);
    process.controller.setLimit(limit.value_or(0));
  }
}

void
HedgeSimulation::schedule(TimePoint time, std::function<void()> action)
{
  mEvents.push({ time, std::move(action) });
}

HedgeResult
HedgeSimulation::run()
{
  schedule(mNow, [this] { arrive(); });
  while (!mEvents.empty()) {
    auto event = mEvents.top();
    mEvents.pop();
    mNow = event.time;
    event.action();
  }
  std::ranges::sort(mTimes);
  const auto quantile = [this](double q) {
    const auto last = static_cast<double>(mTimes.size() - 1);
    return mTimes[static_cast<std::size_t>(q * last)];
  };
  mResult.p50 = quantile(0.5);
  mResult.p95 = quantile(0.95);
  mResult.p99 = quantile(0.99);
  mResult.extraPercent = 100 * mExtra / mWork;
  return mResult;
}

void
HedgeSimulation::arrive()
{
  if (mNow - mStart < kDuration) {
    std::exponential_distribution<> gap(mScenario.requestsPerSecond / 1000);
    schedule(after(mNow, PreciseMillis(gap(mRandom))), [this] { arrive(); });
  }
  auto request = std::make_shared<Request>();
  request->process = static_cast<std::size_t>(
    uniform() * static_cast<double>(mProcesses.size()));
  request->work =
    PreciseMillis(40 * std::lognormal_distribution<>(0, 0.3)(mRandom));
  request->work *= uniform() < mScenario.largeShare ? 10 : 1;
  request->start = mNow;
  auto& process = mProcesses[request->process];
  ServerRequirements requirements;
  requirements.service = kSubject.service;
  requirements.preferredDomain =
    fmt::format("d{}", request->process % kDomains);
  const auto* server = process.registry.choose(requirements, mNow, uniform());
  startAttempt(request, { server->entry, mNow, std::nullopt, false });
  PreciseMillis delay = std::max(
    PreciseMillis(60),
    4 * PreciseMillis(process.registry.medianMillisPerUnit(kSubject.service)));
  if (mLimit) {
    request->plan = process.controller.plan(kSubject, mNow);
    if (!request->plan) {
      return;
    }
    delay = request->plan->delay;
  }
  schedule(after(mNow, delay), [this, request] { hedge(request); });
}

void
HedgeSimulation::startAttempt(const std::shared_ptr<Request>& request,
                              Attempt attempt)
{
  const auto index = std::stoi(attempt.server.id.substr(1));
  const double slowness =
    mScenario.slowness ? mScenario.slowness(index, mNow - mStart) : 1;
  const double noise = std::lognormal_distribution<>(0, 0.2)(mRandom);
  const auto took = request->work * slowness * noise;
  mProcesses[request->process].registry.requestStarted(attempt.server);
  request->attempts.push_back(std::move(attempt));
  const auto number = request->attempts.size() - 1;
  schedule(after(mNow, took), [this, request, number] {
    if (!request->isDone) {
      finish(request, number);
    }
  });
}

void
HedgeSimulation::hedge(const std::shared_ptr<Request>& request)
{
  if (request->isDone) {
    return;
  }
  auto& process = mProcesses[request->process];
  const auto& first = request->attempts.front().server;
  Attempt second;
  if (mLimit) {
    const auto decision = process.controller.decide(
      { kSubject.service,
        *request->plan,
        { { first.id }, first.failureDomain, "d0", false },
        uniform(),
        uniform() },
      process.registry.serving(kSubject.service),
      mNow);
    if (decision.server == nullptr) {
      return;
    }
    second = { decision.server->entry, mNow, decision.hedge, true };
  } else {
    ServerRequirements requirements;
    requirements.service = kSubject.service;
    requirements.exclude = { first.id };
    const auto* server = process.registry.choose(requirements, mNow, uniform());
    second = { server->entry, mNow, std::nullopt, true };
  }
  mResult.hedges += mNow - mStart > kWarmUp ? 1 : 0;
  startAttempt(request, std::move(second));
}

void
HedgeSimulation::finish(const std::shared_ptr<Request>& request,
                        std::size_t winner)
{
  request->isDone = true;
  auto& process = mProcesses[request->process];
  const bool isMeasured = request->start - mStart > kWarmUp;
  for (std::size_t i = 0; i < request->attempts.size(); ++i) {
    const auto& attempt = request->attempts[i];
    const PreciseMillis took = mNow - attempt.start;
    const bool hasWon = i == winner;
    process.registry.requestEnded(attempt.server);
    if (hasWon) {
      process.registry.succeeded(attempt.server, took.count());
    } else if (mLimit && !attempt.isHedge) {
      process.registry.cancelled(attempt.server, took.count());
    }
    process.controller.recordAttempt(
      kSubject,
      { hasWon ? AttemptEnd::Answered : AttemptEnd::GivenUp,
        took,
        kSlots,
        hasWon,
        attempt.hedge },
      mNow);
    if (isMeasured) {
      mWork += hasWon ? took : PreciseMillis(0);
      mExtra += attempt.isHedge ? took : PreciseMillis(0);
      mResult.won += attempt.isHedge && hasWon ? 1 : 0;
    }
  }
  if (isMeasured) {
    mTimes.push_back(mNow - request->start);
  }
}

} // namespace lentilrack::core
