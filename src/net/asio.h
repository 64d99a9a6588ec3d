#pragma once

// Asio 1.74 uses std::exchange in its coroutine headers without including
// <utility>, so this header comes before any of Asio's.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/time.h"

#include <memory>

namespace lentilrack::net {

namespace asio = boost::asio;

template<typename T>
using Awaitable = asio::awaitable<T>;

/// Suspends the coroutine for the given time.
Awaitable<void>
sleepFor(core::Millis duration);

/// Starts a detached coroutine. An uncaught exception is a programming error
/// and terminates the process. The body starts running only after this call. If
/// the coroutine is a member function of an object that may be destroyed
/// earlier, pass this object as `owner`, which is kept alive until the
/// coroutine ends.
void
spawn(asio::io_context& io,
      Awaitable<void> coroutine,
      std::shared_ptr<void> owner = nullptr);

} // namespace lentilrack::net
