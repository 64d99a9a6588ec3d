#pragma once

#include <functional>
#include <map>

namespace lentilrack::net {

/// One-shot signal that an operation's result is no longer wanted. Shared by
/// the one who cancels and the operations that listen.
class CancelSignal
{
public:
  using Callback = std::function<void()>;

  bool isCancelRequested() const { return mCancelled; }

  /// Calls every callback once; later calls do nothing.
  void cancel()
  {
    if (mCancelled) {
      return;
    }
    mCancelled = true;
    const auto callbacks = std::move(mCallbacks);
    for (const auto& [id, callback] : callbacks) {
      callback();
    }
  }

  /// Adds a callback; it is called at once if the signal is already cancelled.
  /// Returns a number for removeCallback().
  int addCallback(Callback callback)
  {
    if (mCancelled) {
      callback();
      return 0;
    }
    mCallbacks[++mLastId] = std::move(callback);
    return mLastId;
  }

  void removeCallback(int id) { mCallbacks.erase(id); }

private:
  bool mCancelled = false;
  int mLastId = 0;
  std::map<int, Callback> mCallbacks;
};

} // namespace lentilrack::net
