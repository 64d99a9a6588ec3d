#pragma once

#include "net/asio.h"

#include <gtest/gtest.h>

#include <exception>
#include <functional>

namespace lentilrack::testing {

/// Runs coroutines to their end on an io_context of the test's own.
class IoTest : public ::testing::Test
{
protected:
  /// `function` is called and its coroutine runs while this waits.
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

  /// Suspends until the condition holds. The test's time limit ends a wait for
  /// something that never comes.
  static net::Awaitable<void> until(std::function<bool()> condition)
  {
    while (!condition()) {
      co_await net::sleepFor(core::Millis(2));
    }
  }

  net::asio::io_context mIo;
};

} // namespace lentilrack::testing
