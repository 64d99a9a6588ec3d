#pragma once

#include <functional>
#include <map>

namespace lentilrack::net {

/// One-shot signal that an operation's result is no longer wanted. Shared by
/// the one who cancels and the operations that listen.
class CancelSignal
{
public:
  using Hook = std::function<void()>;

  bool isCancelRequested() const { return mCancelled; }

  /// Calls every hook once; later calls do nothing.
  void cancel()
  {
    if (mCancelled) {
      return;
    }
    mCancelled = true;
    const auto hooks = std::move(mHooks);
    for (const auto& [id, hook] : hooks) {
      hook();
    }
  }

  /// Adds a hook; it is called at once if the signal is already cancelled.
  /// Returns a number for remove().
  int add(Hook hook)
  {
    if (mCancelled) {
      hook();
      return 0;
    }
    mHooks[++mLastId] = std::move(hook);
    return mLastId;
  }

  void remove(int id) { mHooks.erase(id); }

private:
  bool mCancelled = false;
  int mLastId = 0;
  std::map<int, Hook> mHooks;
};

} // namespace lentilrack::net
