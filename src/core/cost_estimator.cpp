#include "core/cost_estimator.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace lentilrack::core {

CostEstimator::CostEstimator(CostEstimatorOptions options)
  : mOptions(options)
{
}

CostEstimator::Bucket
CostEstimator::bucketOf(const Work& work)
{
  const auto requestedMax =
    static_cast<std::uint64_t>(std::max<std::int64_t>(work.maxTokens, 0));
  return { work.principal,
           work.kind,
           static_cast<int>(std::bit_width(requestedMax)) };
}

void
CostEstimator::add(MovingAverage& mean, double value) const
{
  ++mean.count;
  const double step =
    std::max(mOptions.observationWeight, 1 / static_cast<double>(mean.count));
  mean.value += step * (value - mean.value);
}

CostEstimate
CostEstimator::estimate(const Work& work) const
{
  // Calls to plain services have no tokens; each counts as one token.
  if (work.type == WorkType::Call) {
    return { 1, true };
  }
  const auto requestedMax =
    static_cast<double>(std::max<std::int64_t>(work.maxTokens, 1));
  const auto offset = static_cast<double>(work.offset);
  const auto remainingTokens = [&](double total) {
    return std::max(1.0, std::min(total, requestedMax) - offset);
  };
  const auto exact = mTokens.find(bucketOf(work));
  if (exact != mTokens.end() &&
      exact->second.count >= mOptions.minObservations) {
    return { remainingTokens(exact->second.value), true };
  }
  const auto usedFraction = mUsedFraction.find({ work.principal, work.kind });
  if (usedFraction != mUsedFraction.end() &&
      usedFraction->second.count >= mOptions.minObservations) {
    return { remainingTokens(usedFraction->second.value * requestedMax),
             false };
  }
  return { remainingTokens(requestedMax), false };
}

void
CostEstimator::observe(const Work& work, std::int64_t totalTokens)
{
  if (work.type == WorkType::Call) {
    return;
  }
  const auto tokens =
    static_cast<double>(std::max<std::int64_t>(totalTokens, 1));
  add(mTokens[bucketOf(work)], tokens);
  if (work.maxTokens > 0) {
    add(mUsedFraction[{ work.principal, work.kind }],
        std::min(1.0, tokens / static_cast<double>(work.maxTokens)));
  }
  auto& median = mLogMedianTokens[work.target];
  if (++median.count == 1) {
    median.value = std::log(tokens);
    return;
  }
  // Moving the estimate towards each observed value by a step of limited size
  // makes it converge to the median.
  const double step = std::max(0.05, 1 / static_cast<double>(median.count));
  median.value += std::clamp(std::log(tokens) - median.value, -step, step);
}

double
CostEstimator::typicalTokens(const std::string& target) const
{
  const auto found = mLogMedianTokens.find(target);
  return found == mLogMedianTokens.end() ? 0 : std::exp(found->second.value);
}

} // namespace lentilrack::core
