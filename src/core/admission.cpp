#include "core/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lentilrack::core {

Admission::Admission(AdmissionOptions options)
  : mOptions(options)
{
}

void
Admission::setShares(std::map<RowKey, double> shares)
{
  mShares = std::move(shares);
}

double
Admission::shareOf(const RowKey& row) const
{
  const auto found = mShares.find(row);
  return found == mShares.end() ? mEqualShare : found->second;
}

Millis
Admission::clampRetryAfter(double milliseconds) const
{
  const auto longest = static_cast<double>(mOptions.maxRetryAfter.count());
  const auto value = std::min(std::ceil(milliseconds), longest);
  return std::max(mOptions.minRetryAfter,
                  Millis(static_cast<std::int64_t>(value)));
}

std::optional<AdmissionRefusal>
Admission::checkRate(const Row& row,
                     RowState& state,
                     double share,
                     TimePoint now) const
{
  if (row.ratePerSecond <= 0) {
    return std::nullopt;
  }
  const double rate = row.ratePerSecond * share;
  const double capacity =
    std::max(1.0, rate * std::chrono::duration<double>(mOptions.burst).count());
  if (!state.hasBucket) {
    state.hasBucket = true;
    state.bucketTokens = capacity;
  } else {
    const double elapsed =
      std::chrono::duration<double>(now - state.refilledAt).count();
    state.bucketTokens =
      std::min(capacity, state.bucketTokens + elapsed * rate);
  }
  state.refilledAt = now;
  if (state.bucketTokens < 1) {
    const double missing = (1 - state.bucketTokens) / rate;
    return AdmissionRefusal{ "rate_limit", clampRetryAfter(missing * 1000) };
  }
  return std::nullopt;
}

std::optional<AdmissionRefusal>
Admission::admit(const AdmissionRequest& request, TimePoint now)
{
  const auto& row = request.row;
  const RowKey key{ row.principal, row.kind };
  auto& state = mRows[key];
  ++state.demand;
  const double share = shareOf(key);
  if (auto refusal = checkRate(row, state, share, now)) {
    return refusal;
  }
  if (row.maxConcurrent > 0) {
    // This process's share of the limit is rounded up, since a limit below one
    // would block the row completely.
    const auto limit = static_cast<std::int64_t>(
      std::ceil(static_cast<double>(row.maxConcurrent) * share - 1e-9));
    if (state.inFlight >= std::max<std::int64_t>(limit, 1)) {
      return AdmissionRefusal{
        "concurrency_limit",
        clampRetryAfter(static_cast<double>(
          (request.estimatedWait + request.estimatedRun).count()))
      };
    }
  }
  const auto needed =
    static_cast<double>((request.estimatedWait + request.estimatedRun).count());
  const auto allowed =
    static_cast<double>(request.remaining.count()) * mOptions.deadlineMargin;
  if (needed > allowed) {
    return AdmissionRefusal{ "overload", clampRetryAfter(needed - allowed) };
  }
  // Only admitted work takes a token from the bucket.
  if (row.ratePerSecond > 0) {
    state.bucketTokens -= 1;
  }
  ++state.inFlight;
  return std::nullopt;
}

void
Admission::finished(const RowKey& row)
{
  const auto found = mRows.find(row);
  if (found != mRows.end() && found->second.inFlight > 0) {
    --found->second.inFlight;
  }
}

std::int64_t
Admission::inFlight(const RowKey& row) const
{
  const auto found = mRows.find(row);
  return found == mRows.end() ? 0 : found->second.inFlight;
}

std::map<RowKey, std::int64_t>
Admission::takeDemand()
{
  std::map<RowKey, std::int64_t> demand;
  for (auto& [key, state] : mRows) {
    if (state.demand > 0) {
      demand[key] = std::exchange(state.demand, 0);
    }
  }
  return demand;
}

} // namespace lentilrack::core
