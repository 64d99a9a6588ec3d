#pragma once

#include "core/table.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <string>

namespace lentilrack::core {

struct AdmissionOptions
{
  /// A bucket holds this much time's worth of requests.
  Millis burst{ 1000 };
  /// Part of the remaining time that wait and run may take by estimate.
  /// Estimates are off, and work that just misses its deadline is lost.
  double deadlineMargin = 0.9;
  /// Suggested retry times are at least and at most this.
  Millis minRetryAfter{ 50 };
  Millis maxRetryAfter{ 30'000 };
};

/// What is known of new work before it is queued.
struct AdmissionRequest
{
  const Row& row;
  Millis remaining{ 0 };
  /// Estimated time in the queue and on a server.
  Millis estimatedWait{ 0 };
  Millis estimatedRun{ 0 };
};

struct AdmissionRefusal
{
  /// "rate_limit", "concurrency_limit" or "overload".
  std::string reason;
  Millis retryAfter{ 0 };
};

/// Decides whether new work is queued. Work that would miss its deadline by
/// estimate is refused at once, so that capacity goes to work that is finished
/// in time.
class Admission
{
public:
  explicit Admission(AdmissionOptions options = {});

  /// This process's part of the limits of all rows without a part of their
  /// own; 1 / number of dispatchers.
  void setEqualShare(double share) { mEqualShare = share; }
  /// Parts by reported demand. Rows that are absent get the equal share.
  void setShares(std::map<RowKey, double> shares);

  /// Refusal, or nothing if the work was admitted and now counts as in flight.
  std::optional<AdmissionRefusal> admit(const AdmissionRequest& request,
                                        TimePoint now);
  /// The admitted work of the row ended.
  void finished(const RowKey& row);

  std::int64_t inFlight(const RowKey& row) const;
  /// Requests since the last call, by row, admitted or not: the demand that is
  /// reported to the other processes.
  std::map<RowKey, std::int64_t> takeDemand();

private:
  struct RowState
  {
    double tokens = 0;
    TimePoint filledAt;
    bool started = false;
    std::int64_t inFlight = 0;
    std::int64_t demand = 0;
  };

  double shareOf(const RowKey& row) const;
  std::optional<AdmissionRefusal> checkRate(const Row& row,
                                            RowState& state,
                                            double share,
                                            TimePoint now) const;
  Millis bounded(double milliseconds) const;

  AdmissionOptions mOptions;
  double mEqualShare = 1;
  std::map<RowKey, double> mShares;
  std::map<RowKey, RowState> mRows;
};

} // namespace lentilrack::core
