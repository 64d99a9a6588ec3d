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
  /// Number of orders placed so far. Part of each prompt, so that the prompts
  /// of a run differ.
  std::uint64_t ordersPlaced = 0;
};

/// Sends a JSON request with the token of `principal` and returns the result.
/// Sends no token if the deployment has none for the principal, and no body if
/// `body` is null. The request times out after 30 s.
net::Awaitable<net::HttpResult>
callJson(Context& context,
         core::Endpoint endpoint,
         std::string method,
         std::string target,
         std::string principal,
         wire::Json body);

/// Sends POST /control to a stand-in and ignores the reply.
net::Awaitable<void>
sendControl(Context& context, core::Endpoint endpoint, wire::Json body);

/// Polls `finished` until another coroutine sets it.
net::Awaitable<void>
waitUntilSet(const bool& finished);

/// Returns the milliseconds since `start`.
double
millisSince(core::TimePoint start);

} // namespace lentilrack::load
