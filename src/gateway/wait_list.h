#pragma once

#include "net/notifier.h"

#include <algorithm>
#include <set>

namespace lentilrack::gateway {

/// A list of coroutines that wait for a change; all are woken together.
class WaitList
{
public:
  /// Wakes all waiting coroutines.
  void notifyAll()
  {
    std::ranges::for_each(mWaiting, [](auto* waiter) { waiter->notify(); });
  }

  /// Waits for the next notification, for at most `maxWait`. The caller must
  /// keep the list alive during the wait.
  net::Awaitable<void> wait(net::asio::io_context& io, core::Millis maxWait)
  {
    net::Notifier waiter(io);
    mWaiting.insert(&waiter);
    co_await waiter.wait(maxWait);
    mWaiting.erase(&waiter);
  }

private:
  std::set<net::Notifier*> mWaiting;
};

} // namespace lentilrack::gateway
