#include "gateway/hedging.h"

#include <fmt/format.h>

namespace lentilrack::gateway {

namespace {

using core::Clock;

constexpr double kPercent = 100;
/// Value of the gauge while no limit is set.
constexpr double kNoLimit = -1;

} // namespace

Hedging::Hedging(std::optional<double> commandLinePercent,
                 net::Metrics& metrics,
                 DecisionLog& log)
  : mLimit(commandLinePercent)
  , mMetrics(metrics)
  , mLog(log)
{
  mController.setLimit(mLimit.percent().value_or(0) / kPercent);
  mMetrics.addGauge("hedge_limit_percent",
                    [this] { return mLimit.percent().value_or(kNoLimit); });
}

void
Hedging::applyStoredLimit(const std::string& value, std::int64_t revision)
{
  if (!mLimit.applyStored(value)) {
    mLog.warning("hedge_limit",
                 { { "revision", revision }, { "outcome", "malformed" } });
    return;
  }
  applyLimit(revision);
}

void
Hedging::removeStoredLimit(std::int64_t revision)
{
  mLimit.removeStored();
  applyLimit(revision);
}

void
Hedging::applyLimit(std::int64_t revision)
{
  const auto percent = mLimit.percent();
  mController.setLimit(percent.value_or(0) / kPercent);
  mLog.info("hedge_limit",
            { { "revision", revision },
              { "percent", percent.value_or(kNoLimit) },
              { "outcome", percent ? "limited" : "not_set" } });
}

std::optional<core::HedgePlan>
Hedging::plan(const core::HedgePolicy::Subject& subject) const
{
  return mController.plan(subject, Clock::now());
}

core::HedgeController::Decision
Hedging::decide(const core::HedgeController::Question& question,
                const std::vector<const core::RegisteredServer*>& servers)
{
  auto decision = mController.decide(question, servers, Clock::now());
  if (decision.verdict != core::HedgeVerdict::Allowed) {
    mMetrics.increment(
      fmt::format("hedges_skipped_total{{service=\"{}\",reason=\"{}\"}}",
                  question.service,
                  core::nameOf(decision.verdict)));
  }
  return decision;
}

void
Hedging::count(const char* name, const std::string& service, double amount)
{
  mMetrics.increment(fmt::format("{}{{service=\"{}\"}}", name, service),
                     amount);
}

void
Hedging::countStart(const std::string& service)
{
  count("hedges_started_total", service);
}

void
Hedging::recordAttempt(const core::HedgePolicy::Subject& subject,
                       const core::HedgeController::Attempt& attempt,
                       bool isHedge)
{
  mController.recordAttempt(subject, attempt, Clock::now());
  if (attempt.hasWon) {
    count("service_work_ms_total", subject.service, attempt.took.count());
  }
  if (isHedge) {
    count(attempt.hasWon ? "hedges_won_total" : "hedges_lost_total",
          subject.service);
    const bool hasRun = attempt.end != core::AttemptEnd::Refused &&
                        attempt.end != core::AttemptEnd::NotExecuted;
    count("hedge_work_ms_total",
          subject.service,
          hasRun ? attempt.took.count() : 0);
  }
}

} // namespace lentilrack::gateway
