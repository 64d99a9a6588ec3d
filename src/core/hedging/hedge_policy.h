#pragma once

#include "core/hedging/duration_distribution.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace lentilrack::core {

/// When a second attempt pays off, and what it is expected to cost and gain.
struct HedgePlan
{
  /// Time from the start of the first attempt to the second one.
  PreciseMillis delay{ 0 };
  /// Expected time until one of the attempts ends, which is the work of the
  /// second one.
  PreciseMillis expectedWork{ 0 };
  /// Expected time by which the response arrives earlier.
  PreciseMillis expectedGain{ 0 };
  /// Probability that the second attempt ends first.
  double winProbability = 0;
  /// Factor by which experience has corrected the expected work.
  double workCorrection = 1;
};

/// Factors by which an expected gain and an expected work are multiplied.
struct HedgeCorrection
{
  double gain = 1;
  double work = 1;
};

/// Determines after which delay a request is sent to a second server, from the
/// recent durations of requests of the same service and kind.
///
/// The delay is the shortest one after which a second attempt is expected to
/// save clearly more waiting time than it costs in server time, and with which
/// all second attempts together stay within the limit. The expectation compares
/// the remaining time of an attempt that has already run for the delay with a
/// new attempt. If all servers are equally slow, or durations vary little, a
/// new attempt would not end earlier, and there is no plan.
///
/// The expectation assumes that the duration depends on the server. Where it
/// depends on the request, second attempts win less often and take longer than
/// expected, and the expectation is corrected accordingly.
class HedgePolicy
{
public:
  /// Durations are compared only within a service and a kind of request.
  struct Subject
  {
    std::string service;
    std::string kind;
    auto operator<=>(const Subject&) const = default;
  };

  /// Records an attempt that a server has answered.
  void recordCompletion(const Subject& subject,
                        PreciseMillis duration,
                        TimePoint now);
  /// Records an attempt that was given up after `elapsed`.
  void recordCancellation(const Subject& subject,
                          PreciseMillis elapsed,
                          TimePoint now);
  /// Records the work of a second attempt that was sent by `plan`, and whether
  /// it has won.
  void recordHedge(const Subject& subject,
                   const HedgePlan& plan,
                   PreciseMillis work,
                   bool hasWon,
                   TimePoint now);
  /// Returns the plan for a request that is sent now. `limit` is the extra work
  /// that is allowed, as a share of the work of the service. Returns nothing if
  /// a second attempt would not pay off or if there are too few observations.
  std::optional<HedgePlan> plan(const Subject& subject,
                                double limit,
                                TimePoint now) const;

private:
  /// What was expected of second attempts and what they achieved. Older ones
  /// count less.
  struct Outcomes
  {
    double expectedWins = 0;
    double wins = 0;
    /// Sum of the work of the attempts as a multiple of the expected work, and
    /// their number.
    double workRatios = 0;
    double attempts = 0;
    TimePoint decayedAt{};
  };
  struct History
  {
    DurationDistribution durations;
    Outcomes outcomes;
    /// Plan for `plannedLimit`, valid until the next observation is recorded
    /// after `plannedAt` plus the plan's lifetime.
    mutable std::optional<HedgePlan> plan;
    mutable double plannedLimit = -1;
    mutable TimePoint plannedAt{};
  };

  /// Returns the history of a subject; null if a new one would exceed the limit
  /// on their number.
  History* historyOf(const Subject& subject);
  /// Returns the factors by which experience corrects the expectation.
  static HedgeCorrection correctionOf(const Outcomes& outcomes, TimePoint now);

  std::map<Subject, History> mHistories;
};

/// Returns the plan for the given distribution of durations; see HedgePolicy.
std::optional<HedgePlan>
planHedge(const std::vector<DurationShare>& durations,
          double limit,
          HedgeCorrection correction = {});

} // namespace lentilrack::core
