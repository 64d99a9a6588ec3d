#pragma once

#include "core/table.h"
#include "core/work.h"

#include <cstdint>
#include <map>

namespace lentilrack::core {

struct CostEstimatorOptions
{
  /// Weight of a new observation in the moving averages.
  double observationWeight = 0.1;
  /// Observations that are needed before an average is used.
  std::int64_t minObservations = 3;
};

struct CostEstimate
{
  double tokens = 1;
  /// Whether the estimate was learned from finished work with a similar
  /// requested maximum, instead of being derived from the maximum.
  bool isLearned = false;
};

/// Estimates how many tokens work will take, from finished work of the same
/// principal and kind. Work with very different requested maxima is estimated
/// separately.
class CostEstimator
{
public:
  explicit CostEstimator(CostEstimatorOptions options = {});

  /// Estimates the tokens that the work still needs, not counting those before
  /// its offset.
  CostEstimate estimate(const Work& work) const;
  /// Records that work was completed with `totalTokens`, including those before
  /// its offset.
  void observe(const Work& work, std::int64_t totalTokens);

  /// Returns the approximate median number of tokens per finished work for this
  /// target; 0 before the first observation. A median, because a few long
  /// requests do not raise it.
  double typicalTokens(const std::string& target) const;

private:
  struct MovingAverage
  {
    double value = 0;
    std::int64_t count = 0;
  };

  struct Bucket
  {
    std::string principal;
    std::string kind;
    /// Bit width of the requested maximum. The maxima in one bucket differ by
    /// less than a factor of two.
    int size = 0;
    auto operator<=>(const Bucket&) const = default;
  };

  static Bucket bucketOf(const Work& work);
  void add(MovingAverage& mean, double value) const;

  CostEstimatorOptions mOptions;
  /// Mean number of tokens of finished work.
  std::map<Bucket, MovingAverage> mTokens;
  /// Fraction of the requested maximum that was used, over all sizes of a kind.
  std::map<RowKey, MovingAverage> mUsedFraction;
  /// Logarithm of the estimated median number of tokens, by target.
  std::map<std::string, MovingAverage> mLogMedianTokens;
};

} // namespace lentilrack::core
