#pragma once

#include "core/time.h"

#include <pcg_random.hpp>

namespace lentilrack::core {

struct RetryBudgetOptions
{
  /// Extra attempts allowed for each success.
  double perSuccess = 0.05;
  /// Extra attempts that can be saved up. Bounds the burst after an outage.
  double maxBudget = 10;
  /// Lets the first failures of a quiet process be retried.
  double initialBudget = 3;
  Millis initialBackoff{ 20 };
  Millis maxBackoff{ 2000 };
};

/// Limits extra attempts to a fraction of recent successes, whatever the number
/// of requests that fail. Without successes it runs dry, so that an outage is
/// not made worse by retries.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions options = {});

  void succeeded();
  /// Takes one extra attempt if there is budget for it.
  bool tryTake();
  double available() const { return mAvailable; }

  /// Wait before extra attempt number `attempt` (from 1): exponential, with
  /// full jitter so that many waiters do not return together.
  Millis backoff(int attempt, pcg32& random) const;

private:
  RetryBudgetOptions mOptions;
  double mAvailable;
};

} // namespace lentilrack::core
