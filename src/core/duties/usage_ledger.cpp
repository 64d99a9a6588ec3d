#include "core/duties/usage_ledger.h"

#include <algorithm>

namespace lentilrack::core {

bool
UsageLedger::merge(const std::string& source,
                   std::int64_t window,
                   const UsageCounts& counts,
                   Millis now)
{
  // The clocks of two processes may disagree a little at the end of a window.
  const bool isInRange =
    !mWindows.isOverdue(window, now) && window <= mWindows.windowAt(now) + 1;
  if (!isInRange) {
    return false;
  }
  auto& sources = mCounts[window];
  if (!sources.contains(source) && sources.size() >= mLimits.maxSources) {
    return false;
  }
  auto& known = sources[source];
  for (const auto& [organisation, count] : counts) {
    auto& largest = known[organisation];
    largest = std::max(largest, count);
  }
  return true;
}

void
UsageLedger::dropOverdue(Millis now)
{
  mCounts.erase(mCounts.begin(),
                mCounts.lower_bound(mWindows.oldestInTime(now)));
}

UsageCounts
UsageLedger::total(std::int64_t window) const
{
  UsageCounts sum;
  const auto found = mCounts.find(window);
  if (found != mCounts.end()) {
    for (const auto& [source, counts] : found->second) {
      for (const auto& [organisation, count] : counts) {
        sum[organisation] += count;
      }
    }
  }
  return sum;
}

void
UsageLedger::beginDuty()
{
  mStored = {};
  mHasStored = false;
  mMustRead = true;
  mRetryAt = Millis(0);
  mRetryDelay = Millis(0);
}

void
UsageLedger::setStored(std::optional<StoredUsage> stored,
                       Millis startedAt,
                       Millis now)
{
  if (stored) {
    mStored = std::move(*stored);
  } else {
    // The deployment has begun to report usage. Whatever began before may be
    // known from the counts of other processes.
    auto first = mWindows.windowAt(startedAt);
    if (!mCounts.empty()) {
      first = std::min(first, mCounts.begin()->first);
    }
    mStored = { std::max(first, mWindows.oldestInTime(now)) - 1, {} };
  }
  if (!mHasStored) {
    mLastInherited = mStored.lastWindow;
  }
  std::erase_if(mReceived, [this](auto window) {
    return !mStored.reports.contains(window);
  });
  mHasStored = true;
  mMustRead = false;
}

std::optional<StoredUsage>
UsageLedger::nextRecord(Millis now) const
{
  const auto first =
    std::max(mStored.lastWindow + 1, mWindows.oldestInTime(now));
  const auto last = mWindows.windowAt(now - mLimits.collectionTime) - 1;
  if (!mHasStored || mMustRead || first > last) {
    return std::nullopt;
  }
  StoredUsage record{ last, {} };
  for (const auto& [window, counts] : mStored.reports) {
    if (!mReceived.contains(window) && !mWindows.isOverdue(window, now)) {
      record.reports[window] = counts;
    }
  }
  for (auto window = first; window <= last; ++window) {
    record.reports[window] = total(window);
  }
  return record;
}

void
UsageLedger::recordStored(StoredUsage record)
{
  // Windows that the record passes over were already too late.
  const auto added =
    std::ranges::count_if(record.reports, [this](const auto& report) {
      return report.first > mStored.lastWindow;
    });
  mMissed += record.lastWindow - mStored.lastWindow - added;
  // Reports that the record leaves out were received or were too late.
  mMissed += std::ranges::count_if(mStored.reports, [&](const auto& report) {
    return !record.reports.contains(report.first) &&
           isMissedIfLate(report.first);
  });
  std::erase_if(mReceived,
                [&](auto window) { return !record.reports.contains(window); });
  mStored = std::move(record);
}

void
UsageLedger::dropOverdueReports(Millis now)
{
  std::erase_if(mStored.reports, [&](const auto& report) {
    const bool isOverdue = mWindows.isOverdue(report.first, now);
    mMissed += isOverdue && isMissedIfLate(report.first) ? 1 : 0;
    return isOverdue;
  });
}

bool
UsageLedger::isMissedIfLate(std::int64_t window) const
{
  return window > mLastInherited && !mReceived.contains(window);
}

std::optional<std::pair<std::int64_t, UsageCounts>>
UsageLedger::nextReport(Millis now)
{
  if (!mHasStored) {
    return std::nullopt;
  }
  dropOverdueReports(now);
  const auto report =
    std::ranges::find_if(mStored.reports, [this](const auto& candidate) {
      return !mReceived.contains(candidate.first);
    });
  if (now < mRetryAt || report == mStored.reports.end()) {
    return std::nullopt;
  }
  return *report;
}

void
UsageLedger::recordReceived(std::int64_t window)
{
  mReceived.insert(window);
  mRetryDelay = Millis(0);
}

void
UsageLedger::recordFailed(Millis now)
{
  mRetryDelay =
    std::clamp(2 * mRetryDelay, mLimits.minRetryDelay, mLimits.maxRetryDelay);
  mRetryAt = now + mRetryDelay;
}

} // namespace lentilrack::core
