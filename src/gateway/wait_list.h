#pragma once

#include "net/notifier.h"

#include <algorithm>
#include <set>

namespace lentilrack::gateway {

/// Wakes every coroutine that waits for something to change.
class WaitList
{
public:
  void notifyAll()
  {
    std::ranges::for_each(mWaiting, [](auto* waiter) { waiter->notify(); });
  }

  /// Returns after a notification or after `most`. The owner of the list must
  /// keep it until the wait ends.
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
