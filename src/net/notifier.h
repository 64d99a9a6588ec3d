#pragma once

#include "net/asio.h"

#include <memory>

namespace lentilrack::net {

/// Wakes a waiting coroutine. A notification without a waiter ends the next
/// wait immediately.
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

  /// Returns after a notification or after `timeout`. The notifier must outlive
  /// the wait.
  Awaitable<void> wait(core::Millis timeout)
  {
    if (!mPending) {
      mTimer.expires_after(timeout);
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
