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
  const auto most =
    static_cast<std::uint64_t>(std::max<std::int64_t>(work.maxTokens, 0));
  return { work.principal, work.kind, static_cast<int>(std::bit_width(most)) };
}

void
CostEstimator::add(Mean& mean, double value) const
{
  ++mean.count;
  const double step =
    std::max(mOptions.observationWeight, 1 / static_cast<double>(mean.count));
  mean.value += step * (value - mean.value);
}

CostEstimate
CostEstimator::estimate(const Work& work) const
{
  // Calls to plain services have no tokens; each counts as one.
  if (work.type == WorkType::Call) {
    return { 1, true };
  }
  const auto most =
    static_cast<double>(std::max<std::int64_t>(work.maxTokens, 1));
  const auto offset = static_cast<double>(work.offset);
  const auto rest = [&](double total) {
    return std::max(1.0, std::min(total, most) - offset);
  };
  const auto exact = mTokens.find(bucketOf(work));
  if (exact != mTokens.end() &&
      exact->second.count >= mOptions.minObservations) {
    return { rest(exact->second.value), true };
  }
  const auto part = mUsedPart.find({ work.principal, work.kind });
  if (part != mUsedPart.end() &&
      part->second.count >= mOptions.minObservations) {
    return { rest(part->second.value * most), false };
  }
  return { rest(most), false };
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
    add(mUsedPart[{ work.principal, work.kind }],
        std::min(1.0, tokens / static_cast<double>(work.maxTokens)));
  }
  auto& typical = mTypical[work.target];
  if (++typical.count == 1) {
    typical.value = std::log(tokens);
    return;
  }
  // Steps of a fixed size towards each value settle at the median.
  const double step = std::max(0.05, 1 / static_cast<double>(typical.count));
  typical.value += std::clamp(std::log(tokens) - typical.value, -step, step);
}

double
CostEstimator::typicalTokens(const std::string& target) const
{
  const auto found = mTypical.find(target);
  return found == mTypical.end() ? 0 : std::exp(found->second.value);
}

} // namespace lentilrack::core
