#pragma once

#include "core/model_demand.h"
#include "core/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace lentilrack::core {

/// Raises the demand of models whose open steps are going to be late with the
/// servers that the models have. The work that is left of a step is not
/// recorded anywhere, so it is estimated from the time since its submission and
/// the servers of its model.
class ModelAllocation
{
public:
  using Demand = std::map<std::string, double>;
  using Servers = std::map<std::string, std::size_t>;

  /// Updates the estimates. `servers` holds the number of servers by model.
  void update(const std::vector<RecentBatch>& steps,
              const Servers& servers,
              Millis now);
  /// Returns the demand by which to share the servers, in tokens per second:
  /// `longTerm`, the demand over many steps, or what the open steps of a model
  /// need to be in time, if that is more.
  Demand demand(const Demand& longTerm, Millis now);
  /// Returns Jain's fairness index of the servers of the models in proportion
  /// to their demand, from 1 over the number of models to 1; 1 if unknown.
  static double fairness(const Servers& servers, const Demand& demand);

private:
  struct Step
  {
    std::string model;
    double tokens = 0;
    double remainingTokens = 0;
    Millis submittedAt{ 0 };
    /// Seconds of servers that the model had while the step was open.
    double serverSeconds = 0;
  };
  /// Returns the tokens per second that the open steps of each model need.
  Demand requiredRates(Millis now) const;
  /// Counts the work of the model's servers since the last update, the oldest
  /// step first.
  void countWork(const Servers& servers, double seconds);

  /// Open steps by batch id.
  std::map<std::string, Step> mSteps;
  /// Tokens per second of one server; 0 before the first step has ended.
  double mServerRate = 0;
  std::size_t mServers = 0;
  Millis mUpdatedAt{ 0 };
  /// Required rates of the recent past, which fall slowly, by model.
  Demand mRecentRates;
  Millis mRatesAt{ 0 };
};

} // namespace lentilrack::core
