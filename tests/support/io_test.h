#pragma once

#include "net/asio.h"

#include <gtest/gtest.h>

#include <exception>
#include <functional>

namespace lentilrack::testing {

/// Fixture that runs coroutines to completion on its own io_context.
class IoTest : public ::testing::Test
{
protected:
  /// Runs the coroutine that `function` returns, and waits until it completes.
  template<typename Function>
  void run(Function function)
  {
    bool finished = false;
    net::asio::co_spawn(
      mIo, function(), [&](const std::exception_ptr& exception) {
        finished = true;
        mIo.stop();
        if (exception) {
          std::rethrow_exception(exception);
        }
      });
    mIo.restart();
    mIo.run();
    ASSERT_TRUE(finished);
  }

  /// Suspends until the condition is true. Has no timeout of its own; a wait
  /// that never ends fails by the time limit of the test.
  static net::Awaitable<void> until(std::function<bool()> condition)
  {
    while (!condition()) {
      co_await net::sleepFor(core::Millis(2));
    }
  }

  net::asio::io_context mIo;
};

} // namespace lentilrack::testing
