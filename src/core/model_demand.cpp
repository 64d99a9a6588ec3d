#include "core/model_demand.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <ranges>

namespace lentilrack::core {

namespace {

/// Batches count this long: several steps of a trainer, of which each takes a
/// few seconds.
constexpr Millis kWindow{ 60'000 };
/// Batches that come closer together were submitted ahead of their step.
constexpr Millis kShortestInterval{ 1'000 };
/// What a model keeps of an equal share, whatever is asked of the others.
constexpr double kLeastShare = 0.5;

std::optional<Millis>
shortestInterval(const std::vector<Millis>& times)
{
  std::optional<Millis> shortest;
  for (std::size_t i = 1; i < times.size(); ++i) {
    const auto interval = times[i] - times[i - 1];
    if (interval >= kShortestInterval) {
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
    return batch.submittedAt + kWindow < now || batch.expectedTokens <= 0;
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
  // A trainer that has not shown its interval yet counts with the shortest of
  // the others.
  const auto usual = intervals.empty()
                       ? kShortestInterval
                       : std::ranges::min(intervals | std::views::values);
  std::map<std::string, double> demand;
  for (const auto& [model, submissions] : times) {
    const auto interval = intervals.try_emplace(model, usual).first->second;
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
  std::vector<double> asked;
  for (const auto& model : models) {
    const auto found = demand.find(model);
    asked.push_back(found == demand.end() ? 0.0 : found->second);
  }
  const auto unknown = std::ranges::count(asked, 0.0);
  const double sum = std::accumulate(asked.begin(), asked.end(), 0.0);
  const double mean =
    sum > 0 ? sum / (count - static_cast<double>(unknown)) : 1.0;
  std::ranges::replace(asked, 0.0, mean);
  const double total = std::accumulate(asked.begin(), asked.end(), 0.0);

  const double equal = static_cast<double>(servers) / count;
  const double least = kLeastShare * equal;
  // Above the least share, servers go where the demand is larger than it.
  std::vector<double> parts;
  for (const double own : asked) {
    parts.push_back(
      std::max(least, own / total * static_cast<double>(servers)));
  }
  const double given = std::accumulate(parts.begin(), parts.end(), 0.0);
  const double above = given - least * count;
  const double scale =
    above > 0 ? (static_cast<double>(servers) - least * count) / above : 0;
  std::map<std::string, std::size_t> shares;
  std::vector<std::pair<double, std::string>> rests;
  std::size_t assigned = 0;
  for (std::size_t i = 0; i < models.size(); ++i) {
    const double exact = least + (parts[i] - least) * scale;
    const auto whole = static_cast<std::size_t>(exact);
    shares[models[i]] = whole;
    assigned += whole;
    rests.emplace_back(exact - std::floor(exact), models[i]);
  }
  std::ranges::stable_sort(
    rests, std::greater<>(), &std::pair<double, std::string>::first);
  for (std::size_t i = 0; assigned < servers; ++i, ++assigned) {
    ++shares[rests[i % rests.size()].second];
  }
  return shares;
}

} // namespace lentilrack::core
