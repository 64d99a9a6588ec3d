#pragma once

#include "core/table.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <string>

namespace lentilrack::core {

/// Why a request may not admit, and when to try again.
struct RequestLimitRefusal
{
  /// "rate_limit" or "concurrency_limit".
  std::string reason;
  Millis retryAfter{ 0 };
};

/// Rate and concurrency limits of the table's rows at one entry instance. The
/// limits over all instances are shared out at the dispatchers; this bound
/// keeps what a single instance takes in within the row's limits.
class RequestLimits
{
public:
  /// Takes the request, or says why not. A request that was taken must be
  /// given back with finished().
  std::optional<RequestLimitRefusal> admit(const Row& row, TimePoint now);
  void finished(const RowKey& row);

  std::int64_t inFlight(const RowKey& row) const;

private:
  struct Usage
  {
    double tokens = 0;
    TimePoint filled;
    bool isStarted = false;
    std::int64_t inFlight = 0;
  };

  std::map<RowKey, Usage> mUsage;
};

} // namespace lentilrack::core
