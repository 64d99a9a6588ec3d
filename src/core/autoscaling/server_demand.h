#pragma once

#include "core/model_demand.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilrack::core {

/// What is observed of the work of a service and the speed of its servers.
struct ServiceWorkload
{
  std::vector<RecentBatch> batches;
  /// False if the service has other work than batches, whose amount is not
  /// known to any one process.
  bool isForBatches = true;
  /// Typical number of requests that one server runs at a time.
  double slots = 0;
  /// Typical time between two tokens of a stream; 0 if unknown. Must be robust
  /// against a minority of slow servers, as a median is.
  double millisPerToken = 0;
};

/// Estimates how many servers a service needs. The reserve above the offered
/// load follows from the value of waiting: minimising the price of N servers
/// plus `waitingValue` times the work that waits, about R / (N - R) for an
/// offered load of R servers, gives N = R + sqrt(waitingValue * R).
class ServerDemand
{
public:
  struct Limits
  {
    /// Value of one second of waiting of the work of one server, relative to
    /// the price of one server for one second.
    ///
    /// 2,439 server-seconds were measured to cost 0.0135 of a day's worth. A
    /// step is about 0.017 of it and loses about half of that over the 4.5 s
    /// after its due time, which is 340 server-seconds per second, or about 22
    /// for each of the 15 servers that work on it. Waiting before the due time
    /// costs nothing, so that the default is somewhat lower.
    double waitingValue = 16;
    /// Share of a server's slot time that yields tokens. The rest is spent on
    /// weight loads (0.9 s of each 4 s, partly during runs), prefill, repeated
    /// runs and idle slots. An assumption, which observed batches correct.
    double usefulShare = 0.5;
    /// Time after its submission at which a batch is due.
    Millis dueTime{ 7'500 };
    /// Part of the due time that is kept as a reserve.
    double dueReserve = 0.2;
    /// Servers beyond the offered load that due work needs at least, as a
    /// fraction of the offered load.
    double minSpare = 0.1;
    /// Nothing is decided before work was observed for this long, since the
    /// rate of arriving work is unknown until then.
    Millis observationTime{ 8'000 };
    /// The work of open batches counts only as far as it persisted for this
    /// long. One batch that is larger than usual is over before the servers
    /// ordered for it have started.
    Millis persistence{ 9'000 };
    /// Change of the correction for a batch that is not finished when it is
    /// due, and for one that ended in less than half of this time. The
    /// correction never falls below 1: batches that are early show that the
    /// reserve works, and reducing it until they are late would oscillate.
    double correctionUp = 1.05;
    double correctionDown = 0.995;
    /// Batches may also be late for reasons that more servers do not remedy.
    double maxCorrection = 2;
  };

  struct Estimate
  {
    /// Number of servers that arriving work keeps busy.
    double offered = 0;
    /// Number of servers below which work that is due suffers.
    double due = 0;
    /// Number of servers that is best for the value of waiting.
    double wanted = 0;
    /// Number of servers that the present open batches need.
    double open = 0;
  };

  ServerDemand()
    : ServerDemand(Limits{})
  {
  }
  explicit ServerDemand(Limits limits)
    : mLimits(limits)
  {
  }

  /// Returns the estimate, or nothing while it is unknown. `unixNow` is the
  /// Unix time.
  std::optional<Estimate> estimate(const ServiceWorkload& load,
                                   TimePoint now,
                                   Millis unixNow);
  /// Factor by which the offered load is corrected.
  double correction() const { return mCorrection; }

private:
  /// Returns the batches with the times of their submission on the steady
  /// clock, so that a jump of the wall clock has no effect.
  std::vector<RecentBatch> onSteadyClock(std::vector<RecentBatch> batches,
                                         TimePoint now,
                                         Millis unixNow);
  /// Compares the duration of the batches with their due time.
  void learnFromBatches(const std::vector<RecentBatch>& batches, Millis now);
  /// Returns the rate at which batches for a model were submitted recently, in
  /// tokens per second.
  double measuredRate(const std::vector<BatchDemand>& submitted,
                      Millis now) const;
  /// Returns the arriving work in tokens per second.
  double arrivingTokens(const std::vector<RecentBatch>& batches,
                        Millis now) const;
  /// Returns the largest need of the open batches that persisted.
  double persistentNeed(double openNeed, TimePoint now);

  Limits mLimits;
  double mCorrection = 1;
  /// Smoothed time per token; 0 before the first observation.
  double mMillisPerToken = 0;
  std::optional<TimePoint> mObservedSince;
  TimePoint mLastEstimateAt{};
  /// Steady time of the submission of each batch, by batch id.
  std::map<std::string, Millis> mSubmittedAt;
  /// Open batches that were not late so far.
  std::set<std::string> mOpenBatches;
  /// Recent needs of the open batches, by time.
  std::map<TimePoint, double> mOpenNeeds;
};

} // namespace lentilrack::core
