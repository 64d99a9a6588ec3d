#include "load/context.h"

namespace lentilrack::load {

using net::Awaitable;

Awaitable<net::HttpResult>
callJson(Context& context,
         core::Endpoint endpoint,
         std::string method,
         std::string target,
         std::string principal,
         wire::Json body)
{
  net::HttpCall call;
  call.endpoint = std::move(endpoint);
  call.request.method = std::move(method);
  call.request.target = std::move(target);
  const auto token = context.deployment.tokens.find(principal);
  if (token != context.deployment.tokens.end()) {
    call.request.headers.emplace_back("Authorization",
                                      "Bearer " + token->second);
  }
  if (!body.is_null()) {
    call.request.headers.emplace_back("Content-Type", "application/json");
    call.request.body = body.dump();
  }
  call.timeout = core::Millis(30'000);
  co_return co_await context.http.call(std::move(call));
}

Awaitable<void>
sendControl(Context& context, core::Endpoint endpoint, wire::Json body)
{
  co_await callJson(
    context, std::move(endpoint), "POST", "/control", "", std::move(body));
}

Awaitable<void>
waitUntilSet(const bool& finished)
{
  while (!finished) {
    co_await net::sleepFor(core::Millis(20));
  }
}

double
millisSince(core::TimePoint start)
{
  return std::chrono::duration<double, std::milli>(core::Clock::now() - start)
    .count();
}

} // namespace lentilrack::load
