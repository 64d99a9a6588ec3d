#include "core/autoscaling/server_demand.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>

namespace lentilrack::core {

namespace {

/// Weight of a new observation of the speed. Estimates are made about once a
/// second, so that the speed of some seconds counts.
constexpr double kSpeedWeight = 0.2;
/// The rate of submissions is measured over this time, which covers several
/// steps of a trainer.
constexpr Millis kRateWindow{ 20'000 };
/// The demand that a trainer would have without waiting counts up to this
/// multiple of the measured rate. Two submissions in short succession must not
/// multiply the demand.
constexpr double kMaxDemandRatio = 1.25;
/// From this number of batches on, the largest one does not count, so that one
/// large batch has no effect.
constexpr std::size_t kMinBatchesForTrimming = 4;
/// Time until a process learns from the store that a batch was submitted.
constexpr Millis kPropagationTime{ 1'000 };
/// Batches that are known at the start count as at most this old.
constexpr Millis kMaxInitialAge{ 120'000 };
/// The rate of a model's submissions is computed if they span this time.
constexpr Millis kMinInterval{ 1'000 };

Millis
steadyMillis(TimePoint time)
{
  return std::chrono::duration_cast<Millis>(time.time_since_epoch());
}

double
seconds(Millis time)
{
  return std::chrono::duration<double>(time).count();
}

} // namespace

std::vector<RecentBatch>
ServerDemand::onSteadyClock(std::vector<RecentBatch> batches,
                            TimePoint now,
                            Millis unixNow)
{
  // A batch that was not known at the previous estimate was submitted after it.
  const auto sinceLast = std::chrono::duration_cast<Millis>(
    now - (mLastEstimateAt == TimePoint{} ? now : mLastEstimateAt));
  const auto maxAge = mLastEstimateAt == TimePoint{}
                        ? kMaxInitialAge
                        : sinceLast + kPropagationTime;
  mLastEstimateAt = now;
  std::map<std::string, Millis> submittedAt;
  for (auto& batch : batches) {
    const auto known = mSubmittedAt.find(batch.id);
    const auto age = std::clamp(unixNow - batch.submittedAt, Millis(0), maxAge);
    batch.submittedAt =
      known == mSubmittedAt.end() ? steadyMillis(now) - age : known->second;
    submittedAt[batch.id] = batch.submittedAt;
  }
  mSubmittedAt = std::move(submittedAt);
  return batches;
}

void
ServerDemand::learnFromBatches(const std::vector<RecentBatch>& batches,
                               Millis now)
{
  const auto correct = [this](double factor) {
    mCorrection = std::clamp(mCorrection * factor, 1.0, mLimits.maxCorrection);
  };
  std::set<std::string> open;
  for (const auto& batch : batches) {
    if (!batch.isOpen) {
      continue;
    }
    const bool isLate = now - batch.submittedAt > mLimits.dueTime;
    if (isLate && mOpenBatches.contains(batch.id)) {
      correct(mLimits.correctionUp);
    }
    if (!isLate) {
      open.insert(batch.id);
    }
  }
  for (const auto& batch : batches) {
    const bool hasEnded = !batch.isOpen && mOpenBatches.contains(batch.id);
    if (hasEnded && now - batch.submittedAt < mLimits.dueTime / 2) {
      correct(mLimits.correctionDown);
    }
  }
  mOpenBatches = std::move(open);
}

double
ServerDemand::measuredRate(const std::vector<BatchDemand>& submitted,
                           Millis now) const
{
  std::vector<BatchDemand> recent;
  std::ranges::copy_if(
    submitted, std::back_inserter(recent), [&](const BatchDemand& batch) {
      return now - batch.submittedAt <= kRateWindow;
    });
  if (recent.empty()) {
    return 0;
  }
  const auto [first, last] = std::ranges::minmax(
    recent | std::views::transform(&BatchDemand::submittedAt));
  const auto count = static_cast<double>(recent.size());
  if (recent.size() >= kMinBatchesForTrimming) {
    recent.erase(
      std::ranges::max_element(recent, {}, &BatchDemand::expectedTokens));
  }
  const double mean = std::accumulate(recent.begin(),
                                      recent.end(),
                                      0.0,
                                      [](double sum, const BatchDemand& batch) {
                                        return sum + batch.expectedTokens;
                                      }) /
                      static_cast<double>(recent.size());
  return last - first < kMinInterval
           ? mean / seconds(mLimits.observationTime)
           : mean * (count - 1) / seconds(last - first);
}

double
ServerDemand::arrivingTokens(const std::vector<RecentBatch>& batches,
                             Millis now) const
{
  std::map<std::string, std::vector<BatchDemand>> byModel;
  std::vector<BatchDemand> all;
  for (const auto& batch : batches) {
    all.push_back({ batch.model, batch.expectedTokens, batch.submittedAt });
    byModel[batch.model].push_back(all.back());
  }
  const auto unhindered = computeModelDemand(std::move(all), now);
  double sum = 0;
  for (const auto& [model, submitted] : byModel) {
    const double measured = measuredRate(submitted, now);
    const auto demand = unhindered.find(model);
    sum += demand == unhindered.end()
             ? measured
             : std::clamp(demand->second, measured, kMaxDemandRatio * measured);
  }
  return sum;
}

double
ServerDemand::persistentNeed(double openNeed, TimePoint now)
{
  mOpenNeeds[now] = openNeed;
  std::erase_if(mOpenNeeds, [&](const auto& item) {
    return now - item.first > mLimits.persistence;
  });
  const bool isCovered =
    now - mOpenNeeds.begin()->first > mLimits.persistence / 2;
  return isCovered ? std::ranges::min(mOpenNeeds | std::views::values) : 0;
}

std::optional<ServerDemand::Estimate>
ServerDemand::estimate(const ServiceWorkload& load,
                       TimePoint now,
                       Millis unixNow)
{
  const auto batches = onSteadyClock(load.batches, now, unixNow);
  learnFromBatches(batches, steadyMillis(now));
  mObservedSince = mObservedSince.value_or(now);
  if (load.millisPerToken > 0) {
    mMillisPerToken += (mMillisPerToken == 0 ? 1 : kSpeedWeight) *
                       (load.millisPerToken - mMillisPerToken);
  }
  // Without any batch, the service may be idle or its batches not yet known.
  const auto observationTime =
    batches.empty() ? 3 * kRateWindow : mLimits.observationTime;
  if (now - *mObservedSince < observationTime || !load.isForBatches) {
    return std::nullopt;
  }
  Estimate result;
  if (batches.empty()) {
    return result;
  }
  if (mMillisPerToken <= 0 || load.slots <= 0) {
    return std::nullopt;
  }
  const double tokensPerSecond =
    load.slots * 1'000 / mMillisPerToken * mLimits.usefulShare / mCorrection;
  result.offered = arrivingTokens(batches, steadyMillis(now)) / tokensPerSecond;
  result.due = result.offered * (1 + mLimits.minSpare);
  const double openTokens = std::accumulate(
    batches.begin(), batches.end(), 0.0, [](double sum, auto& batch) {
      return sum + (batch.isOpen ? batch.expectedTokens : 0);
    });
  const double timeForBatch =
    seconds(mLimits.dueTime) * (1 - mLimits.dueReserve);
  result.open = openTokens / timeForBatch / tokensPerSecond;
  result.wanted = std::max(
    { result.due,
      result.offered + std::sqrt(mLimits.waitingValue * result.offered),
      persistentNeed(result.open, now) });
  return result;
}

} // namespace lentilrack::core
