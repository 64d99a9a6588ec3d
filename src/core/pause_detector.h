#pragma once

#include "core/time.h"

namespace lentilrack::core {

struct PauseDetectorOptions
{
  /// A longer gap between two ticks means that the process was paused. Far
  /// above what a loaded process shows.
  Millis pauseThreshold{ 500 };
  /// Messages that are read this soon after the pause may have waited for all
  /// of it.
  Millis backlogWindow{ 200 };
};

/// Notices that the process was paused. A message carries the time that was
/// left when it was sent; if it waited unread during a pause, that time is
/// over, although the message was only just read.
class PauseDetector
{
public:
  explicit PauseDetector(PauseDetectorOptions options = {});

  /// Called regularly, in steps far shorter than the gap.
  void tick(TimePoint now);
  /// How long a message that is read now may have waited unread.
  Millis maxUnreadTime(TimePoint now) const;

private:
  PauseDetectorOptions mOptions;
  TimePoint mLastTick;
  bool mTicked = false;
  Millis mPause{ 0 };
  TimePoint mPauseEnd;
};

} // namespace lentilrack::core
