#pragma once

#include "load/deployment.h"
#include "load/report.h"
#include "net/http_client.h"

#include <pcg_random.hpp>

namespace lentilrack::load {

/// What every part of a scenario needs.
struct Context
{
  net::asio::io_context& io;
  net::HttpClient& http;
  Deployment deployment;
  std::int64_t seed;
  core::Millis duration;
  pcg32 random;
  /// Makes prompts unique over all runs against one deployment.
  std::string runId;
  /// Orders placed so far.
  std::uint64_t ordersPlaced = 0;
};

/// One JSON call with the token of a principal (none if empty).
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

/// Waits until another coroutine sets the flag.
net::Awaitable<void>
waitUntilSet(const bool& finished);

/// Milliseconds since a time point.
double
millisSince(core::TimePoint start);

} // namespace lentilrack::load
