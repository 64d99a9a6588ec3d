#include "gateway/forwarder.h"

#include "core/decimal.h"
#include "gateway/service_call_run.h"
#include "gateway/stream_forward.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;

/// Value of the Retry-After header when no server has executed the request.
constexpr Millis kRetryAfter{ 200 };

} // namespace

net::HttpResponse
refusalResponse(int status, const std::string& reason, Millis retryAfter)
{
  auto response = errorResponse(status, reason);
  constexpr double kMillisPerSecond = 1000;
  response.headers.emplace_back(
    "Retry-After",
    fmt::format("{:.2f}",
                static_cast<double>(retryAfter.count()) / kMillisPerSecond));
  return response;
}

net::HttpResponse
errorResponse(int status, const std::string& reason, const std::string& detail)
{
  using Json = nlohmann::json;
  Json body = { { "error", reason } };
  if (!detail.empty()) {
    body["detail"] = detail;
  }
  net::HttpResponse response;
  response.status = status;
  response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

Forwarder::Forwarder(Context& context)
  : mContext(context)
{
}

net::Awaitable<CallOutcome>
Forwarder::call(ServiceCall call)
{
  const auto run = std::make_shared<ServiceCallRun>(mContext, std::move(call));
  co_return co_await run->run();
}

net::HttpRequest
Forwarder::forwardedRequest(const net::HttpRequest& request) const
{
  const auto& names = mContext.format.headers();
  const std::array<std::string_view, 11> droppedHeaders{
    "Connection", "Keep-Alive",   "Transfer-Encoding", "Content-Length",
    "Upgrade",    "TE",           "Proxy-Connection",  "Expect",
    "Trailer",    names.timeLeft, names.expectedServer
  };
  auto forwarded = request;
  net::removeHeaders(forwarded.headers, droppedHeaders);
  // The Connection header names further hop-by-hop headers, which must not be
  // forwarded either.
  net::removeHeaders(forwarded.headers,
                     net::connectionOptions(request.headers));
  return forwarded;
}

net::Headers
Forwarder::endToEndHeaders(net::Headers headers)
{
  static constexpr std::array<std::string_view, 5> kHopByHopHeaders{
    "Connection",
    "Keep-Alive",
    "Transfer-Encoding",
    "Content-Length",
    "Content-Type"
  };
  net::removeHeaders(headers, kHopByHopHeaders);
  return headers;
}

net::Headers
Forwarder::identifiedHeaders(net::Headers headers,
                             const HeaderNames& names,
                             const std::string& organisation)
{
  const std::array<std::string_view, 2> replacedHeaders{ names.apiKey,
                                                         names.organisation };
  net::removeHeaders(headers, replacedHeaders);
  if (!organisation.empty()) {
    headers.emplace_back(names.organisation, organisation);
  }
  return headers;
}

Millis
Forwarder::allowedTime(const Context& context,
                       const net::HttpExchange& exchange,
                       const core::Route& route)
{
  const auto callerTime = core::parseDecimal<std::int64_t>(
    exchange.request().header(context.format.headers().timeLeft));
  return callerTime ? std::clamp(Millis(*callerTime), Millis(0), route.timeout)
                    : route.timeout;
}

Millis
Forwarder::timeBudget(const Context& context,
                      const net::HttpExchange& exchange,
                      const core::Route& route)
{
  return std::min(allowedTime(context, exchange, route),
                  context.timeToAnswer());
}

net::Awaitable<void>
Forwarder::stream(net::HttpExchange& exchange, const core::Route& route)
{
  const auto run = std::make_shared<StreamForward>(
    mContext, exchange, forwardedRequest(exchange.request()), route);
  co_await run->run();
}

net::Awaitable<void>
Forwarder::forward(net::HttpExchange& exchange, const core::Route& route)
{
  const auto& names = mContext.format.headers();
  const auto start = Clock::now();
  const auto& request = exchange.request();
  const auto allowed = timeBudget(mContext, exchange, route);
  ServiceCall call;
  call.id = request.header(names.requestId);
  call.service = route.pickService(mContext.uniformRandom());
  call.request = forwardedRequest(request);
  call.maxAttempts = std::max(1, route.maxAttempts);
  call.isRepeatable = route.kind == core::RouteKind::Repeatable;
  call.allowsHedging = call.isRepeatable;
  call.deadline = start + allowed;
  call.cancel = std::make_shared<net::CancelSignal>();
  call.onRun = [&context = mContext,
                organisation = request.header(names.organisation)](
                 auto beganAt) { context.recordRun(organisation, beganAt); };
  exchange.onClientDisconnect([cancel = call.cancel] { cancel->cancel(); });
  const auto id = call.id;
  const auto service = call.service;
  auto outcome = co_await this->call(std::move(call));
  exchange.onClientDisconnect({});

  net::HttpResponse response;
  switch (outcome.conclusion) {
    case CallConclusion::Answered:
      response = std::move(outcome.response);
      break;
    case CallConclusion::NotExecuted:
      response = refusalResponse(
        503, outcome.reason, std::max(kRetryAfter, outcome.retryAfter));
      break;
    case CallConclusion::Unknown:
      response = errorResponse(
        outcome.reason == "out_of_time" || outcome.reason == "stopping" ? 504
                                                                        : 502,
        outcome.reason);
      break;
    case CallConclusion::Cancelled:
      exchange.abort();
      break;
  }
  const auto took =
    std::chrono::duration<double, std::milli>(Clock::now() - start).count();
  mContext.metrics.observe("forward_ms", took);
  mContext.metrics.increment(
    fmt::format("forwarded_total{{status=\"{}\"}}", response.status));
  mContext.log.info("forward",
                    { { "request", id },
                      { "route", route.name },
                      { "state_version", mContext.desired->version() },
                      { "service", service },
                      { "server", outcome.server },
                      { "attempts", outcome.attempts },
                      { "allowed_ms", allowed },
                      { "took_ms", took },
                      { "status", response.status },
                      { "outcome", outcome.reason } });
  response.headers = endToEndHeaders(std::move(response.headers));
  if (outcome.conclusion != CallConclusion::Cancelled) {
    co_await exchange.respond(std::move(response));
  }
}

} // namespace lentilrack::gateway
