#pragma once

#include "core/time.h"

namespace lentilrack::core {

struct ConcurrencyWindowOptions
{
  /// Initial and largest number of concurrent requests. The initial number is
  /// small, because all processes may start to use a server at the same time.
  double initialLimit = 3;
  double maxLimit = 12;
  /// A request that is accepted raises the limit by this number, divided by the
  /// limit, or by 1 as long as none was refused. A larger number makes many
  /// processes probe a full server too often.
  double increase = 0.5;
  /// No request is sent for this time after a refusal. Further refusals in this
  /// time count as the same one, since their requests were sent before it was
  /// known. If the limit is 1 already, each refusal doubles the pause, and each
  /// accepted request shortens it by a quarter.
  Millis initialPause{ 25 };
  Millis maxPause{ 1'600 };
};

/// Limits the concurrent requests of one process to one server by what the
/// server accepts: each refusal halves the limit, and each accepted request
/// raises it by a fraction (slow start, then additive increase and
/// multiplicative decrease).
/// Processes that share a server thus converge on its capacity without knowing
/// of each other, and a full server does not get all waiting requests again and
/// again.
class ConcurrencyWindow
{
public:
  ConcurrencyWindow()
    : ConcurrencyWindow(ConcurrencyWindowOptions{})
  {
  }
  explicit ConcurrencyWindow(ConcurrencyWindowOptions options);

  /// Returns true if a request may be sent now.
  bool hasRoom(TimePoint now) const
  {
    return mRunning + 1 <= mLimit && now >= mPausedUntil;
  }
  void started() { ++mRunning; }
  void ended() { --mRunning; }
  /// Records that the server has processed a request.
  void accepted();
  /// Records that the server has refused a request because it is full.
  void refused(TimePoint now);

private:
  ConcurrencyWindowOptions mOptions;
  double mLimit;
  bool mWasRefused = false;
  int mRunning = 0;
  TimePoint mPausedUntil{};
  Millis mPause{ 0 };
};

} // namespace lentilrack::core
