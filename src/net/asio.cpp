#include "net/asio.h"

#include <exception>

namespace lentilrack::net {

Awaitable<void>
sleepFor(core::Millis duration)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void
spawn(asio::io_context& io,
      Awaitable<void> coroutine,
      std::shared_ptr<void> owner)
{
  asio::co_spawn(io,
                 std::move(coroutine),
                 [owner = std::move(owner)](std::exception_ptr exception) {
                   if (exception) {
                     std::rethrow_exception(exception);
                   }
                 });
}

} // namespace lentilrack::net
