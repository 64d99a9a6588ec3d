#pragma once

#include "core/time.h"

#include <functional>
#include <map>
#include <string>

namespace lentilrack::core {

/// Shares the slots of one pool of backend servers between the organisations
/// whose batches wait for them: start-time fair queueing by weight within a
/// priority class, with ageing. The cost of a run is the time that it occupies
/// a slot; an estimate is charged when it starts and corrected when it ends.
///
/// Batches ask for a slot on their own. An organisation is denied one only
/// while another one with a better claim is known to wait, so that no slot
/// stays free and a single organisation is never held back.
class FairShare
{
public:
  struct Limits
  {
    /// How long an organisation counts as waiting after it found no slot.
    /// Batches ask again within a shorter time.
    Millis waitingTime{ 150 };
    /// Waiting time that raises the priority by one class.
    Millis ageingStep{ 5'000 };
    /// Cost of a run before the first one of its organisation has ended.
    Millis defaultCost{ 1'000 };
  };

  FairShare();
  explicit FairShare(Limits limits);

  /// Sets the weight of an organisation; 1 if it is not set. Higher weights get
  /// more slots.
  void setWeight(const std::string& organisation, double weight);

  /// Records that the organisation has work and found no free slot.
  void recordWaiting(const std::string& organisation,
                     int priority,
                     TimePoint now);
  /// Returns true if the organisation may take a free slot now.
  bool mayStart(const std::string& organisation,
                int priority,
                TimePoint now) const;
  /// Charges a run that starts, and returns the estimate that was charged.
  Millis runStarted(const std::string& organisation, TimePoint now);
  /// Replaces the estimate of a run that has ended by the time that it took.
  void runEnded(const std::string& organisation, Millis estimate, Millis took);

private:
  struct Flow
  {
    double weight = 1;
    /// Moving average of the duration of the runs, in milliseconds; 0 before
    /// the first one has ended.
    double meanCost = 0;
    /// Virtual start time of the next run, in milliseconds of slot time.
    double virtualStart = 0;
    int priority = 0;
    /// Since when the organisation has been waiting without a start.
    TimePoint waitingSince{};
    TimePoint lastWaiting{};
  };

  bool isWaiting(const Flow& flow, TimePoint now) const;
  /// Returns the priority class after ageing.
  std::int64_t effectivePriority(const Flow& flow, TimePoint now) const;
  double startOf(const Flow& flow) const;

  Limits mLimits;
  std::map<std::string, Flow> mFlows;
  /// Virtual start time of the run that started last.
  double mVirtualTime = 0;
};

} // namespace lentilrack::core
