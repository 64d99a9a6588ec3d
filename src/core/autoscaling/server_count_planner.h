#pragma once

#include "core/autoscaling/autoscaling_spec.h"
#include "core/autoscaling/server_counts.h"
#include "core/autoscaling/server_demand.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace lentilrack::core {

/// What is known of a service when the numbers of its servers are planned.
struct ServiceObservation
{
  ServiceWorkload load;
  /// Servers that accept work.
  CountsByDomain serving;
  /// False if the list of servers could not be read. The numbers then stay as
  /// they are.
  bool isListKnown = true;
  /// Numbers that an operator has set, by failure domain. They take precedence
  /// over the planner.
  CountsByDomain overrides;
};

/// Decides how many ordinary and reclaimable servers one service should have in
/// each failure domain. Starts with the numbers that are present, since the
/// provider cannot be asked for them. Raises the total soon and lowers it
/// slowly, and moves servers between pools only after their replacements accept
/// work.
class ServerCountPlanner
{
public:
  struct Limits
  {
    /// Maximum share of reclaimable servers.
    double maxReclaimableShare = 0.4;
    /// Share of the planned servers that must remain if any one failure domain
    /// loses its reclaimable servers, unless due work needs more.
    double requiredShareAfterLoss = 0.75;
    /// The total is raised after this time above the present one. It rides out
    /// single measurements.
    Millis raiseDelay{ 2'000 };
    /// The total is lowered after this time below the present one. It covers
    /// several steps of a trainer, so that a pause between steps has no effect.
    Millis lowerDelay{ 15'000 };
    /// Smaller relative changes of the total are not worth the orders.
    double deadBand = 0.08;
    /// Interval between two reductions, and their size as a share of the
    /// servers. A reduction that was too large shows in the open batches
    /// before the next ones have added up.
    Millis lowerInterval{ 4'000 };
    double lowerShare = 0.08;
    /// Pools whose number differs by less are not corrected unless the total
    /// changes, since each move costs a boot and a load of weights.
    int minMove = 2;
    /// Number of servers that are replaced by those of another pool at a time,
    /// and the interval. New servers are without cached prompts.
    int maxMove = 4;
    Millis moveInterval{ 8'000 };
    /// Time for which a pool gets no more servers after the provider had none,
    /// and its maximum after repetitions.
    Millis initialBackoff{ 4'000 };
    Millis maxBackoff{ 60'000 };
    /// Time added to the boot time before a missing server counts as lost. New
    /// servers register and load weights first.
    Millis bootMargin{ 3'000 };
    /// Reclaimable servers of a failure domain that are all missing for this
    /// time were taken back. Longer than a gap in the list of servers.
    Millis lossDelay{ 1'000 };
  };

  explicit ServerCountPlanner(Limits limits,
                              ServerDemand::Limits demandLimits = {})
    : mLimits(limits)
    , mDemand(demandLimits)
  {
  }
  ServerCountPlanner()
    : ServerCountPlanner(Limits{})
  {
  }

  /// Returns the numbers to order, by failure domain; nothing while the present
  /// numbers are not known. The first numbers returned are the present ones.
  /// The caller must report orders that the provider did
  /// not accept by calling recordUnavailable().
  std::optional<CountsByDomain> plan(const ServiceObservation& observation,
                                     const AutoscalingSpec& spec,
                                     TimePoint now,
                                     Millis unixNow);
  /// Records that the provider has no more servers for a pool, whose number
  /// stays at `servers`.
  void recordUnavailable(const ServerPool& pool, int servers, TimePoint now);
  /// Records that the provider accepted an order for this number of servers.
  /// Servers that were ordered before count as missing only from then on, so
  /// that nothing changes while the provider cannot be reached.
  void recordAccepted(const ServerPool& pool, int servers, TimePoint now);
  /// Returns the pools that are short of servers that were ordered. Their next
  /// order must be sent even if it repeats the last one.
  const std::set<ServerPool>& lostPools() const { return mLostPools; }
  /// Returns the last estimate of the need; nothing if it is unknown.
  const std::optional<ServerDemand::Estimate>& estimate() const
  {
    return mEstimate;
  }
  /// Returns the factor by which the estimate is corrected.
  double correction() const { return mDemand.correction(); }
  /// Returns the total that the planner aims at; 0 before the first plan.
  int total() const { return mTotal; }

private:
  struct Availability
  {
    /// Until this time the pool gets no more servers.
    TimePoint unavailableUntil{};
    Millis backoff{ 0 };
    /// Since when servers that were ordered are missing.
    std::optional<TimePoint> shortSince;
    /// Whether servers of the pool have been seen.
    bool hadServers = false;
  };

  /// Takes the numbers that are present as those that were ordered, once no
  /// server can be booting any more.
  void adoptPresentNumbers(const ServiceObservation& observation,
                           const AutoscalingSpec& spec,
                           TimePoint now);
  /// Adds the failure domains that have become known.
  void addDomains(const ServiceObservation& observation,
                  const AutoscalingSpec& spec);
  /// Finds pools whose servers were taken back or do not start, and reduces
  /// their number to those that are present.
  void detectLosses(const CountsByDomain& serving,
                    const AutoscalingSpec& spec,
                    TimePoint now);
  void backOff(Availability& availability, TimePoint now) const;
  bool isUnavailable(const ServerPool& pool, TimePoint now) const;
  /// Moves the total towards the wanted one.
  void adjustTotal(int wanted, TimePoint now);
  /// Returns the distribution of the total that is aimed at.
  CountsByDomain targetCounts(const ServiceObservation& observation,
                              const AutoscalingSpec& spec,
                              TimePoint now) const;
  /// Orders servers that the total lacks.
  void raise(const CountsByDomain& target, const AutoscalingSpec& spec);
  /// Orders a few servers for a pool that should get them from other pools.
  void replace(const CountsByDomain& target,
               const ServiceObservation& observation,
               const AutoscalingSpec& spec,
               TimePoint now);
  void lower(const CountsByDomain& target,
             const ServiceObservation& observation,
             TimePoint now);
  void applyOverrides(const CountsByDomain& overrides, TimePoint now);

  Limits mLimits;
  ServerDemand mDemand;
  std::optional<ServerDemand::Estimate> mEstimate;
  /// When the list of servers was first read.
  std::optional<TimePoint> mFirstReadAt;
  /// Whether `mOrdered` holds the numbers of the provider.
  bool mIsAdopted = false;
  /// Numbers that are ordered. Until they are adopted, the largest numbers
  /// seen.
  CountsByDomain mOrdered;
  /// Numbers that the provider has accepted.
  CountsByDomain mAccepted;
  int mTotal = 0;
  /// Totals that were wanted recently, by time.
  std::map<TimePoint, int> mWantedTotals;
  TimePoint mLowerAfter{};
  TimePoint mReplaceAfter{};
  std::map<ServerPool, Availability> mAvailability;
  std::set<ServerPool> mLostPools;
};

} // namespace lentilrack::core
