#include "core/retry_budget.h"

#include <algorithm>
#include <random>

namespace lentilrack::core {

RetryBudget::RetryBudget(RetryBudgetOptions options)
  : mOptions(options)
  , mAvailable(options.initialBudget)
{
}

void
RetryBudget::succeeded()
{
  mAvailable = std::min(mOptions.maxBudget, mAvailable + mOptions.perSuccess);
}

bool
RetryBudget::tryTake()
{
  // Rounding errors may leave a budget of one retry slightly below 1. That
  // retry must still be granted.
  if (mAvailable < 1 - 1e-9) {
    return false;
  }
  mAvailable = std::max(0.0, mAvailable - 1);
  return true;
}

Millis
RetryBudget::backoff(int attempt, pcg32& random) const
{
  const auto maxWait =
    std::min(mOptions.maxBackoff,
             mOptions.initialBackoff * (1 << std::clamp(attempt - 1, 0, 20)));
  std::uniform_int_distribution<std::int64_t> distribution(0, maxWait.count());
  return Millis(distribution(random));
}

} // namespace lentilrack::core
