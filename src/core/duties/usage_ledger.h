#pragma once

#include "core/duties/usage_counts.h"

#include <optional>
#include <set>
#include <utility>

namespace lentilrack::core {

/// The usage reports as the store records them. A report is stored before it is
/// first sent, and the next holder of the duty sends it again with the same
/// counts.
struct StoredUsage
{
  /// Last window whose report was stored.
  std::int64_t lastWindow = 0;
  /// Reports whose receipt was not known when the record was written.
  std::map<std::int64_t, UsageCounts> reports;

  bool operator==(const StoredUsage&) const = default;
};

/// Merges the counts of all processes and decides which windows to store and to
/// report, and when. Every process collects counts; only the holder of the duty
/// stores and reports. The holder passes each record to the store under the
/// condition that the previous record is unchanged.
class UsageLedger
{
public:
  /// Counts by process.
  using Sources = std::map<std::string, UsageCounts>;

  struct Limits
  {
    /// How long after its end a window is stored and reported. Until then the
    /// counts of requests that began in the window arrive: most requests are
    /// answered within 1.2 s, and counts are sent once a second.
    Millis collectionTime{ 2'500 };
    /// Delay before a report is sent again; doubled with each failure.
    Millis minRetryDelay{ 300 };
    Millis maxRetryDelay{ 1'200 };
    /// Maximum number of processes whose counts of one window are kept. A
    /// process that restarts counts twice.
    std::size_t maxSources = 4'096;
  };

  UsageLedger(UsageWindows windows, Limits limits)
    : mWindows(windows)
    , mLimits(limits)
  {
  }

  /// Adds the counts of a window that a process has sent. `source` identifies
  /// the process and its incarnation. The counts are cumulative, so smaller
  /// ones are older. Returns false if the window can no longer be reported or
  /// is too far in the future.
  bool merge(const std::string& source,
             std::int64_t window,
             const UsageCounts& counts,
             Millis now);
  /// Drops the counts of windows that can no longer be reported.
  void dropOverdue(Millis now);
  /// Returns the counts of a window, summed over all processes.
  UsageCounts total(std::int64_t window) const;
  /// Returns the counts of each window, by process.
  const std::map<std::int64_t, Sources>& counts() const { return mCounts; }

  /// Begins to hold the duty. What the store records must be read first, and
  /// nothing is reported until then. What the provider has received stays
  /// known: the counts of a stored report never change.
  void beginDuty();
  /// Sets what the store records; nothing if it records nothing yet. Reports
  /// begin then with the oldest window with counts, at the latest with the
  /// window at `startedAt`, the Unix time at which this process started.
  void setStored(std::optional<StoredUsage> stored,
                 Millis startedAt,
                 Millis now);
  /// Returns true if the record in the store must be read before anything else.
  bool mustRead() const { return mMustRead; }
  /// Records that it is unknown whether a record was written.
  void markUnknown() { mMustRead = true; }
  /// Returns the record to store next: all windows that are complete and not
  /// stored yet, and the reports that are not known to have been received.
  /// Returns nothing if no window is complete.
  std::optional<StoredUsage> nextRecord(Millis now) const;
  /// Records that the store holds the record.
  void recordStored(StoredUsage record);

  /// Returns the oldest stored report to send now, or nothing.
  std::optional<std::pair<std::int64_t, UsageCounts>> nextReport(Millis now);
  /// Records that the provider has received the report.
  void recordReceived(std::int64_t window);
  /// Records that it is unknown or unlikely that the provider has received the
  /// report.
  void recordFailed(Millis now);
  /// Returns the number of windows since the last call that were neither known
  /// to be received nor reported in time while this process held the duty.
  std::int64_t takeMissed() { return std::exchange(mMissed, 0); }

private:
  /// Whether a stored report counts as missed once it is too late.
  bool isMissedIfLate(std::int64_t window) const;
  /// Drops the reports that are too late.
  void dropOverdueReports(Millis now);

  UsageWindows mWindows;
  Limits mLimits;
  std::map<std::int64_t, Sources> mCounts;
  StoredUsage mStored;
  /// Last window that was stored before this process held the duty. The former
  /// holder may have learned that the provider has received the reports up to
  /// this window, so they do not count as missed.
  std::int64_t mLastInherited = 0;
  /// Windows in `mStored` that the provider has received.
  std::set<std::int64_t> mReceived;
  /// Whether `mStored` is what the store records, apart from a later record
  /// whose outcome is unknown.
  bool mHasStored = false;
  bool mMustRead = true;
  Millis mRetryAt{ 0 };
  Millis mRetryDelay{ 0 };
  std::int64_t mMissed = 0;
};

} // namespace lentilrack::core
