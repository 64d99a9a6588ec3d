#pragma once

#include "core/table.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <string>

namespace lentilrack::core {

struct AdmissionOptions
{
  /// Size of a row's token bucket, as the time in which the bucket refills at
  /// the row's rate.
  Millis burst{ 1000 };
  /// Fraction of the remaining time that the estimated wait and run may take.
  /// Estimates are inexact, and work that just misses its deadline is lost.
  double deadlineMargin = 0.9;
  /// Bounds of the suggested retry times.
  Millis minRetryAfter{ 50 };
  Millis maxRetryAfter{ 30'000 };
};

/// What admission considers about new work.
struct AdmissionRequest
{
  const Row& row;
  /// Time until the deadline.
  Millis remaining{ 0 };
  /// Estimated time in the queue.
  Millis estimatedWait{ 0 };
  /// Estimated time on a server.
  Millis estimatedRun{ 0 };
};

/// Why work was refused, and when to retry.
struct AdmissionRefusal
{
  /// "rate_limit", "concurrency_limit" or "overload".
  std::string reason;
  Millis retryAfter{ 0 };
};

/// Decides whether new work is queued, by the limits of its table row. Work
/// that is expected to miss its deadline is refused at once, so that the
/// capacity is used for work that can be completed in time.
class Admission
{
public:
  explicit Admission(AdmissionOptions options = {});

  /// Sets the share of the limits that this process enforces for rows without a
  /// share from setShares(): 1 / number of dispatchers.
  void setEqualShare(double share) { mEqualShare = share; }
  /// Sets the share of the limits that this process enforces for each row, as
  /// computed from the reported demand. Absent rows get the equal share.
  void setShares(std::map<RowKey, double> shares);

  /// Admits or refuses work. Returns the refusal, or nothing if the work was
  /// admitted; it then counts as in flight until finished() is called.
  std::optional<AdmissionRefusal> admit(const AdmissionRequest& request,
                                        TimePoint now);
  /// Records the end of admitted work of the row.
  void finished(const RowKey& row);

  /// Returns the number of the row's requests in flight.
  std::int64_t inFlight(const RowKey& row) const;
  /// Returns how many requests of each row were admitted or refused since the
  /// last call. This demand is reported to the other processes.
  std::map<RowKey, std::int64_t> takeDemand();

private:
  struct RowState
  {
    /// Content of the token bucket that limits the request rate.
    double bucketTokens = 0;
    TimePoint refilledAt;
    /// Whether the bucket has been filled for the first time.
    bool hasBucket = false;
    std::int64_t inFlight = 0;
    /// Number of requests since the last call of takeDemand().
    std::int64_t demand = 0;
  };

  double shareOf(const RowKey& row) const;
  std::optional<AdmissionRefusal> checkRate(const Row& row,
                                            RowState& state,
                                            double share,
                                            TimePoint now) const;
  Millis clampRetryAfter(double milliseconds) const;

  AdmissionOptions mOptions;
  double mEqualShare = 1;
  std::map<RowKey, double> mShares;
  std::map<RowKey, RowState> mRows;
};

} // namespace lentilrack::core
