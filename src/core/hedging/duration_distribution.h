#pragma once

#include "core/time.h"

#include <chrono>
#include <memory>
#include <vector>

namespace lentilrack::core {

/// Time in milliseconds with a fraction.
using PreciseMillis = std::chrono::duration<double, std::milli>;

/// One bin of a distribution of durations.
struct DurationShare
{
  PreciseMillis duration{ 0 };
  /// Share of the distribution, in [0, 1].
  double share = 0;
};

/// Recent durations of attempts of one kind, as a histogram with logarithmic
/// bins. Observations lose weight with time and with each newer observation.
class DurationDistribution
{
public:
  DurationDistribution();
  ~DurationDistribution();
  DurationDistribution(DurationDistribution&&) noexcept;
  DurationDistribution& operator=(DurationDistribution&&) noexcept;

  /// Adds the duration of a completed attempt.
  void add(PreciseMillis duration, TimePoint now);
  /// Adds an attempt that was cancelled after `elapsed`. Its duration, had it
  /// not been cancelled, is longer; its weight is spread over the longer
  /// durations in proportion to their weights. Without this, hedging would
  /// remove the slow attempts from the distribution that justifies it.
  void addCancelled(PreciseMillis elapsed, TimePoint now);
  /// Returns the number of observations, each counted by its present weight.
  double count(TimePoint now) const;
  /// Returns the duration that the share `q` of the observations does not
  /// exceed; 0 if there are none.
  PreciseMillis quantile(double q) const;
  /// Returns the bins that are not empty, in ascending order.
  std::vector<DurationShare> shares() const;

private:
  struct Bins;

  /// Reduces the weights of the existing observations, relative to those of new
  /// ones.
  void decay(TimePoint now);

  std::unique_ptr<Bins> mBins;
  /// Sum of the weights in the bins.
  double mCount = 0;
  /// Weight of an observation that is added now. It grows instead of the
  /// earlier weights being reduced, which would change every bin.
  double mWeight = 1;
  TimePoint mDecayedAt{};
};

} // namespace lentilrack::core
