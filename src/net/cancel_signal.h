#pragma once

#include <functional>
#include <map>

namespace lentilrack::net {

/// One-shot signal that requests the cancellation of an operation. It is shared
/// by the code that cancels and the operations that can be cancelled.
class CancelSignal
{
public:
  using Callback = std::function<void()>;

  /// Returns true after cancel() has been called.
  bool isCancelRequested() const { return mCancelled; }

  /// Requests cancellation and calls every callback. Further calls do nothing.
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

  /// Adds a callback, or calls it immediately if cancellation has already been
  /// requested. Returns an id for removeCallback().
  int addCallback(Callback callback)
  {
    if (mCancelled) {
      callback();
      return 0;
    }
    mCallbacks[++mLastId] = std::move(callback);
    return mLastId;
  }

  /// Removes the callback with this id, if it is still registered.
  void removeCallback(int id) { mCallbacks.erase(id); }

private:
  bool mCancelled = false;
  int mLastId = 0;
  std::map<int, Callback> mCallbacks;
};

} // namespace lentilrack::net
