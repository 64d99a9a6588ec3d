#pragma once

#include "core/hedging/hedge_controller.h"
#include "core/hedging/hedge_limit.h"
#include "gateway/decision_log.h"
#include "net/metrics.h"

#include <optional>
#include <string>

namespace lentilrack::gateway {

/// Second attempts (hedges) of this process: the limit in force, the decisions
/// and the metrics.
class Hedging
{
public:
  Hedging(std::optional<double> commandLinePercent,
          net::Metrics& metrics,
          DecisionLog& log);

  /// Applies a value or the removal of the store's key.
  void applyStoredLimit(const std::string& value, std::int64_t revision);
  void removeStoredLimit(std::int64_t revision);
  /// Whether a limit is set. Without one, hedging follows a fixed rule and is
  /// not limited.
  bool hasLimit() const { return mLimit.percent().has_value(); }

  std::optional<core::HedgePlan> plan(
    const core::HedgePolicy::Subject& subject) const;
  core::HedgeController::Decision decide(
    const core::HedgeController::Question& question,
    const std::vector<const core::RegisteredServer*>& servers);
  /// Counts a second attempt that is being sent.
  void countStart(const std::string& service);
  /// Records an attempt that has ended. `isHedge` tells whether it was a second
  /// attempt.
  void recordAttempt(const core::HedgePolicy::Subject& subject,
                     const core::HedgeController::Attempt& attempt,
                     bool isHedge);

private:
  void applyLimit(std::int64_t revision);
  /// Adds to the counter of a service.
  void count(const char* name, const std::string& service, double amount = 1);

  core::HedgeLimit mLimit;
  core::HedgeController mController;
  net::Metrics& mMetrics;
  DecisionLog& mLog;
};

} // namespace lentilrack::gateway
