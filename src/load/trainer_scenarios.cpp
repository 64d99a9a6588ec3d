#include "load/load_generator.h"
#include "load/scenarios.h"
#include "load/trainer_client.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace lentilrack::load {

using net::Awaitable;
using wire::Json;

namespace {

constexpr const char* kModel = "notes";
constexpr const char* kTrainer = "notes-trainer";
constexpr std::int64_t kGroups = 64;
constexpr std::int64_t kGroupSize = 4;
constexpr double kStragglerShare = 0.05;
constexpr std::int64_t kStragglerFactor = 10;
constexpr std::int64_t kStalenessBound = 1;

/// Returns the number of tokens per sample for each group: log-normal with a
/// median of 60 tokens. One group in twenty is a straggler, ten times longer.
std::vector<std::int64_t>
drawLengths(Context& context)
{
  std::lognormal_distribution<double> length(std::log(60.0), 0.5);
  std::bernoulli_distribution isStraggler(kStragglerShare);
  std::vector<std::int64_t> lengths;
  for (std::int64_t i = 0; i < kGroups; ++i) {
    const auto tokens =
      std::clamp<std::int64_t>(std::llround(length(context.random)), 10, 300);
    lengths.push_back(tokens *
                      (isStraggler(context.random) ? kStragglerFactor : 1));
  }
  return lengths;
}

/// Returns a lower bound, in milliseconds, of the duration of a step. It is the
/// time of all tokens at the full capacity of the engines or the time of the
/// longest sample in one slot, whichever is longer.
double
minimumStepMillis(const Context& context,
                  const std::vector<std::int64_t>& lengths)
{
  const auto total = static_cast<double>(
    std::accumulate(lengths.begin(), lengths.end(), std::int64_t{ 0 }) *
    kGroupSize);
  const auto longest = static_cast<double>(std::ranges::max(lengths));
  return 1000 * std::max(total / context.deployment.capacity.at(kModel),
                         longest / context.deployment.tokenRate.at(kModel));
}

Awaitable<void>
runSteps(Context& context,
         Report& report,
         TrainerClient& trainer,
         core::TimePoint end,
         bool& finished)
{
  double wall = 0;
  double idle = 0;
  double bound = 0;
  int count = 0;
  while (core::Clock::now() < end) {
    StepSpec spec;
    spec.name = context.runId + "-" + std::to_string(++count);
    spec.kind = "note";
    spec.model = kModel;
    spec.groupSize = kGroupSize;
    spec.quorum = kGroupSize;
    spec.lengths = drawLengths(context);
    const auto lowerBound = minimumStepMillis(context, spec.lengths);
    // In total, the trainer works for three quarters of the lower bound of the
    // step duration.
    spec.workPerSample =
      core::Millis(std::llround(0.75 * lowerBound / (kGroups * kGroupSize)));
    const auto result = co_await trainer.run(spec);
    report.requests += kGroups * kGroupSize;
    report.done += result.samples;
    if (!result.isComplete || result.samples != kGroups * kGroupSize) {
      report.addViolation("step was not completed: " + spec.name);
    }
    report.longLatency.add(result.millis);
    wall += result.millis;
    idle += result.idleMillis;
    bound += lowerBound;
  }
  report.trainerIdleRatio = idle / wall;
  report.extra["steps"] = count;
  report.extra["step_time_over_bound"] = wall / bound;
  finished = true;
}

Awaitable<void>
announceVersions(Context& context,
                 TrainerClient& trainer,
                 core::TimePoint end,
                 bool& finished)
{
  constexpr core::Millis kPeriod{ 4000 };
  std::set<std::int64_t> announced{ trainer.requestedVersion() };
  while (core::Clock::now() + kPeriod < end) {
    co_await net::sleepFor(kPeriod);
    const auto version = trainer.requestedVersion() + 1;
    announced.insert(version);
    trainer.setAnnouncedVersions(announced);
    Json body{ { "model", kModel }, { "version", version } };
    co_await callJson(context,
                      context.deployment.weights,
                      "POST",
                      "/weights/announce",
                      "",
                      std::move(body));
    trainer.setRequestedVersion(version);
  }
  finished = true;
}

} // namespace

Awaitable<void>
runTrainerStep(Context& context, Report& report)
{
  report.stalenessBound = kStalenessBound;
  TrainerClient trainer(context, report, kTrainer);
  bool finished = false;
  co_await runSteps(
    context, report, trainer, core::Clock::now() + context.duration, finished);
}

Awaitable<void>
runWeightsChange(Context& context, Report& report)
{
  report.stalenessBound = kStalenessBound;
  const double rate = 0.5 * context.deployment.capacity.at("desk") / 20;
  OrderSource orders;
  orders.principal = "desk";
  orders.spec = { "order", "desk", 20, false };
  orders.rate = rate;
  const std::vector<OrderSource> mix{ orders };
  Report quietReport;
  LoadGenerator quietLoad(context, quietReport);
  co_await quietLoad.run(mix, core::Millis(1000), context.duration / 2);
  TrainerClient trainer(context, report, kTrainer);
  const auto end = core::Clock::now() + context.duration;
  bool stepsFinished = false;
  bool announceFinished = false;
  net::spawn(context.io,
             runSteps(context, report, trainer, end, stepsFinished));
  net::spawn(context.io,
             announceVersions(context, trainer, end, announceFinished));
  LoadGenerator load(context, report);
  co_await load.run(mix, core::Millis(0), context.duration);
  co_await waitUntilSet(stepsFinished);
  co_await waitUntilSet(announceFinished);
  report.extra["quiet_p99_ms"] = quietReport.shortLatency.quantile(0.99);
  report.extra["versions"] = static_cast<double>(trainer.requestedVersion());
  co_await load.check("desk");
}

} // namespace lentilrack::load
