#pragma once

#include "core/table.h"
#include "core/work.h"

#include <cstdint>
#include <map>

namespace lentilrack::core {

struct CostEstimatorOptions
{
  /// Weight of a new observation.
  double observationWeight = 0.1;
  /// Observations before an estimate counts as known.
  std::int64_t minObservations = 3;
};

struct CostEstimate
{
  double tokens = 1;
  /// Learned from finished work, not taken from the requested maximum.
  bool isLearned = false;
};

/// Expected tokens of work, learned per principal and kind. Work of one kind
/// that asks for very different maxima is kept apart.
class CostEstimator
{
public:
  explicit CostEstimator(CostEstimatorOptions options = {});

  /// Tokens that the work still needs, without those before its offset.
  CostEstimate estimate(const Work& work) const;
  /// The work ended complete with `totalTokens`, its offset included.
  void observe(const Work& work, std::int64_t totalTokens);

  /// Typical tokens of one piece of work of a target, long work weighted no
  /// more than short; 0 if nothing was seen.
  double typicalTokens(const std::string& target) const;

private:
  struct Mean
  {
    double value = 0;
    std::int64_t count = 0;
  };

  struct Bucket
  {
    std::string principal;
    std::string kind;
    /// Binary logarithm of the requested maximum.
    int size = 0;
    auto operator<=>(const Bucket&) const = default;
  };

  static Bucket bucketOf(const Work& work);
  void add(Mean& mean, double value) const;

  CostEstimatorOptions mOptions;
  std::map<Bucket, Mean> mTokens;
  /// Part of the requested maximum that was used, over all sizes of a kind.
  std::map<RowKey, Mean> mUsedPart;
  /// Running estimate of the median, in the logarithm.
  std::map<std::string, Mean> mTypical;
};

} // namespace lentilrack::core
