#pragma once

#include "core/time.h"

#include <pcg_random.hpp>

namespace lentilrack::core {

struct RetryBudgetOptions
{
  /// Extra attempts that each success adds to the budget.
  double perSuccess = 0.05;
  /// Upper limit of the budget; bounds the burst of retries after an outage.
  double maxBudget = 10;
  /// Initial budget, so that a process with few requests can retry its first
  /// failures.
  double initialBudget = 3;
  Millis initialBackoff{ 20 };
  Millis maxBackoff{ 2000 };
};

/// Limits extra attempts to a fraction of the recent successes, regardless of
/// how many requests fail. Without successes the budget is used up, so that
/// retries do not make an outage worse.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions options = {});

  /// Records a success, which adds to the budget.
  void succeeded();
  /// Takes one extra attempt from the budget. Returns false if there is none
  /// left.
  bool tryTake();
  /// Returns the extra attempts that are left; may be fractional.
  double available() const { return mAvailable; }

  /// Returns the wait before extra attempt number `attempt` (from 1). The wait
  /// is random between zero and a bound that doubles with each attempt up to
  /// `maxBackoff` (full jitter), so that many waiting requests are not retried
  /// at the same time.
  Millis backoff(int attempt, pcg32& random) const;

private:
  RetryBudgetOptions mOptions;
  double mAvailable;
};

} // namespace lentilrack::core
