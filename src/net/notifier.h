#pragma once

#include "net/asio.h"

#include <memory>

namespace lentilrack::net {

/// Wakes one waiting coroutine. A notification without a waiter is kept for
/// the next wait.
class Notifier
{
public:
  explicit Notifier(asio::io_context& io)
    : mTimer(io)
  {
  }

  void notify()
  {
    mPending = true;
    mTimer.cancel();
  }

  /// Returns after a notification or after `most`. The owner of the notifier
  /// must keep it until the wait ends.
  Awaitable<void> wait(core::Millis most)
  {
    if (!mPending) {
      mTimer.expires_after(most);
      boost::system::error_code ignored;
      co_await mTimer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
    mPending = false;
  }

private:
  asio::steady_timer mTimer;
  bool mPending = false;
};

} // namespace lentilrack::net
