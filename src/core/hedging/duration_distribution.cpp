#include "core/hedging/duration_distribution.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>

namespace lentilrack::core {

namespace histogram = boost::histogram;

namespace {

/// Range of the durations, with bins 10% wide. Shorter and longer durations
/// count in the first and the last bin.
constexpr int kBins = 116;
constexpr double kShortestMs = 1;
constexpr double kLongestMs = 60'000;
/// Time in which the weight of an observation falls by half. A process with a
/// request every 6 s still has about 70 observations.
constexpr std::chrono::duration<double> kHalfLife{ 300 };
/// Factor by which each new observation reduces the weight of the earlier ones.
/// The distribution of a busy service then consists of its last few hundred
/// requests, so that it follows servers that become slow within seconds.
constexpr double kObservationFactor = 1 - 1.0 / 256;

/// Weights are scaled down when they reach this value, long before they lose
/// precision.
constexpr double kMaxWeight = 1e9;
/// Observations of this age are as good as forgotten.
constexpr std::chrono::hours kForgetAge{ 2 };

using LogAxis =
  histogram::axis::regular<double, histogram::axis::transform::log>;

auto
makeBins()
{
  return histogram::make_histogram_with(
    histogram::dense_storage<double>(),
    LogAxis(kBins, kShortestMs, kLongestMs));
}

} // namespace

struct DurationDistribution::Bins
{
  decltype(makeBins()) values = makeBins();

  /// Returns the index of the bin of a duration.
  int indexOf(PreciseMillis duration) const
  {
    return std::clamp(values.axis().index(duration.count()), 0, kBins - 1);
  }
  /// Returns the middle of a bin.
  PreciseMillis middle(int index) const
  {
    return PreciseMillis(values.axis().bin(index).center());
  }
};

DurationDistribution::DurationDistribution()
  : mBins(std::make_unique<Bins>())
{
}

DurationDistribution::~DurationDistribution() = default;
DurationDistribution::DurationDistribution(DurationDistribution&&) noexcept =
  default;
DurationDistribution&
DurationDistribution::operator=(DurationDistribution&&) noexcept = default;

void
DurationDistribution::decay(TimePoint now)
{
  const auto age = std::max(now - mDecayedAt, TimePoint::duration::zero());
  if (age > kForgetAge) {
    mBins = std::make_unique<Bins>();
    mCount = 0;
    mWeight = 1;
  }
  const double factor =
    kObservationFactor *
    std::exp2(-std::chrono::duration<double>(age) / kHalfLife);
  mDecayedAt = std::max(now, mDecayedAt);
  mWeight /= factor;
  if (mWeight > kMaxWeight) {
    mBins->values *= 1 / mWeight;
    mCount /= mWeight;
    mWeight = 1;
  }
}

void
DurationDistribution::add(PreciseMillis duration, TimePoint now)
{
  decay(now);
  mBins->values.at(mBins->indexOf(duration)) += mWeight;
  mCount += mWeight;
}

void
DurationDistribution::addCancelled(PreciseMillis elapsed, TimePoint now)
{
  decay(now);
  const int first = mBins->indexOf(elapsed) + 1;
  double longer = 0;
  for (int i = first; i < kBins; ++i) {
    longer += mBins->values.at(i);
  }
  mCount += mWeight;
  // Less than one observation says too little about the longer durations.
  if (longer < mWeight) {
    mBins->values.at(mBins->indexOf(elapsed)) += mWeight;
    return;
  }
  for (int i = first; i < kBins; ++i) {
    mBins->values.at(i) *= 1 + mWeight / longer;
  }
}

double
DurationDistribution::count(TimePoint now) const
{
  const auto age = std::max(now - mDecayedAt, TimePoint::duration::zero());
  return mCount / mWeight *
         std::exp2(-std::chrono::duration<double>(age) / kHalfLife);
}

PreciseMillis
DurationDistribution::quantile(double q) const
{
  const auto bins = shares();
  double sum = 0;
  for (const auto& bin : bins) {
    sum += bin.share;
    if (sum >= q) {
      return bin.duration;
    }
  }
  return bins.empty() ? PreciseMillis(0) : bins.back().duration;
}

std::vector<DurationShare>
DurationDistribution::shares() const
{
  std::vector<DurationShare> result;
  for (int i = 0; i < kBins && mCount > 0; ++i) {
    const double weight = mBins->values.at(i);
    if (weight > 0) {
      result.push_back({ mBins->middle(i), weight / mCount });
    }
  }
  return result;
}

} // namespace lentilrack::core
