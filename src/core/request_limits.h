#pragma once

#include "core/table.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <string>

namespace lentilrack::core {

/// Why a request was refused, and when to retry.
struct RequestLimitRefusal
{
  /// "rate_limit" or "concurrency_limit".
  std::string reason;
  Millis retryAfter{ 0 };
};

/// Enforces the rate and concurrency limits of the table's rows at one entry
/// instance. The dispatchers enforce the limits over all instances; this class
/// ensures that a single instance does not accept more than a row allows.
class RequestLimits
{
public:
  /// Admits or refuses a request. Returns the refusal, or nothing if the
  /// request was admitted; finished() must then be called when it ends.
  std::optional<RequestLimitRefusal> admit(const Row& row, TimePoint now);
  /// Records the end of an admitted request of the row.
  void finished(const RowKey& row);

  /// Returns the number of the row's requests in flight.
  std::int64_t inFlight(const RowKey& row) const;

private:
  struct Usage
  {
    /// Content of the token bucket that limits the request rate.
    double bucketTokens = 0;
    TimePoint refilledAt;
    /// Whether the row has a rate limit and so a bucket.
    bool hasBucket = false;
    std::int64_t inFlight = 0;
  };

  std::map<RowKey, Usage> mUsage;
};

} // namespace lentilrack::core
