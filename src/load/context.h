#pragma once

#include "load/deployment.h"
#include "load/report.h"
#include "net/http_client.h"

#include <pcg_random.hpp>

namespace lentilrack::load {

/// State that all parts of a scenario share.
struct Context
{
  net::asio::io_context& io;
  net::HttpClient& http;
  Deployment deployment;
  std::int64_t seed;
  core::Millis duration;
  pcg32 random;
  /// Part of each prompt, so that prompts of different runs against one
  /// deployment differ.
  std::string runId;
  /// Number of orders placed so far.
  std::uint64_t ordersPlaced = 0;
};

/// Sends a JSON request with the token of `principal`, or without a token if it
/// is empty, and returns the result.
net::Awaitable<net::HttpResult>
callJson(Context& context,
         core::Endpoint endpoint,
         std::string method,
         std::string target,
         std::string principal,
         wire::Json body);

/// Sends POST /control to a stand-in.
net::Awaitable<void>
sendControl(Context& context, core::Endpoint endpoint, wire::Json body);

/// Waits until another coroutine sets `finished`.
net::Awaitable<void>
waitUntilSet(const bool& finished);

/// Returns the milliseconds since `start`.
double
millisSince(core::TimePoint start);

} // namespace lentilrack::load
