#include "core/model_demand.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <ranges>

namespace lentilrack::core {

namespace {

/// Batches count towards the demand for this long. It covers several steps of a
/// trainer, each of which takes a few seconds.
constexpr Millis kDemandWindow{ 60'000 };
/// Shorter intervals between two batches of a model are ignored: the second
/// batch was then submitted ahead of its step.
constexpr Millis kMinInterval{ 1'000 };
/// Fraction of an equal share of the servers that a model keeps, however high
/// the demand for the other models is.
constexpr double kMinShareFraction = 0.5;

std::optional<Millis>
shortestInterval(const std::vector<Millis>& times)
{
  std::optional<Millis> shortest;
  for (std::size_t i = 1; i < times.size(); ++i) {
    const auto interval = times[i] - times[i - 1];
    if (interval >= kMinInterval) {
      shortest = std::min(shortest.value_or(interval), interval);
    }
  }
  return shortest;
}

} // namespace

std::map<std::string, double>
computeModelDemand(std::vector<BatchDemand> batches, Millis now)
{
  std::erase_if(batches, [&](const BatchDemand& batch) {
    return batch.submittedAt + kDemandWindow < now || batch.expectedTokens <= 0;
  });
  std::ranges::sort(batches, {}, &BatchDemand::submittedAt);
  std::map<std::string, std::vector<Millis>> times;
  std::map<std::string, double> work;
  for (const auto& batch : batches) {
    times[batch.model].push_back(batch.submittedAt);
    work[batch.model] += batch.expectedTokens;
  }
  std::map<std::string, Millis> intervals;
  for (const auto& [model, submissions] : times) {
    if (const auto interval = shortestInterval(submissions)) {
      intervals[model] = *interval;
    }
  }
  // For a model without two batches to compute an interval from, the shortest
  // interval of the other models is assumed.
  const auto defaultInterval =
    intervals.empty() ? kMinInterval
                      : std::ranges::min(intervals | std::views::values);
  std::map<std::string, double> demand;
  for (const auto& [model, submissions] : times) {
    const auto interval =
      intervals.try_emplace(model, defaultInterval).first->second;
    const double mean = work[model] / static_cast<double>(submissions.size());
    demand[model] = mean / std::chrono::duration<double>(interval).count();
  }
  return demand;
}

std::map<std::string, std::size_t>
allocateServers(std::size_t servers,
                const std::vector<std::string>& models,
                const std::map<std::string, double>& demand)
{
  if (models.empty()) {
    return {};
  }
  const auto count = static_cast<double>(models.size());
  std::vector<double> demands;
  for (const auto& model : models) {
    const auto found = demand.find(model);
    demands.push_back(found == demand.end() ? 0.0 : found->second);
  }
  const auto unknown = std::ranges::count(demands, 0.0);
  const double sum = std::accumulate(demands.begin(), demands.end(), 0.0);
  const double mean =
    sum > 0 ? sum / (count - static_cast<double>(unknown)) : 1.0;
  std::ranges::replace(demands, 0.0, mean);
  const double total = std::accumulate(demands.begin(), demands.end(), 0.0);

  const double equal = static_cast<double>(servers) / count;
  const double minShare = kMinShareFraction * equal;
  // Each share is in proportion to the demand, but at least the minimum share.
  // The part of each share above the minimum is then scaled so that all shares
  // add up to the number of servers.
  std::vector<double> boundedShares;
  for (const double demandOfModel : demands) {
    boundedShares.push_back(
      std::max(minShare, demandOfModel / total * static_cast<double>(servers)));
  }
  const double sharesSum =
    std::accumulate(boundedShares.begin(), boundedShares.end(), 0.0);
  const double excess = sharesSum - minShare * count;
  const double scale =
    excess > 0 ? (static_cast<double>(servers) - minShare * count) / excess : 0;
  std::map<std::string, std::size_t> shares;
  std::vector<std::pair<double, std::string>> remainders;
  std::size_t assigned = 0;
  for (std::size_t i = 0; i < models.size(); ++i) {
    const double exactShare = minShare + (boundedShares[i] - minShare) * scale;
    const auto whole = static_cast<std::size_t>(exactShare);
    shares[models[i]] = whole;
    assigned += whole;
    remainders.emplace_back(exactShare - std::floor(exactShare), models[i]);
  }
  std::ranges::stable_sort(
    remainders, std::greater<>(), &std::pair<double, std::string>::first);
  for (std::size_t i = 0; assigned < servers; ++i, ++assigned) {
    ++shares[remainders[i % remainders.size()].second];
  }
  return shares;
}

} // namespace lentilrack::core
