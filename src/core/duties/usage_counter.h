#pragma once

#include "core/duties/usage_counts.h"

namespace lentilrack::core {

/// Counts the requests that this process has sent to backend servers, by window
/// and organisation. The counts of a window only grow, so that they can be sent
/// again at any time. They are kept until the window can no longer be reported.
class UsageCounter
{
public:
  /// Counts of one window.
  struct Window
  {
    UsageCounts counts;
    /// Value of sequence() after the last change.
    std::uint64_t changedAt = 0;
  };

  explicit UsageCounter(UsageWindows windows)
    : mWindows(windows)
  {
  }

  /// Counts a request of the organisation that began to run at this Unix time.
  /// Returns false if the window can no longer be reported.
  bool record(const std::string& organisation, Millis beganAt, Millis now);
  /// Drops the windows that can no longer be reported.
  void dropOverdue(Millis now);

  /// Returns a number that grows with each recorded request.
  std::uint64_t sequence() const { return mSequence; }
  const std::map<std::int64_t, Window>& windows() const { return mCounts; }

private:
  UsageWindows mWindows;
  std::map<std::int64_t, Window> mCounts;
  std::uint64_t mSequence = 0;
};

} // namespace lentilrack::core
