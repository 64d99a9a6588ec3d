#include "gateway/server_client.h"

#include "core/decimal.h"
#include "gateway/attempt_outcome.h"
#include "gateway/context.h"
#include "net/error.h"

#include <fmt/format.h>

#include <cmath>

namespace lentilrack::gateway {

namespace {

using core::Clock;

std::string_view
textOf(ServerRequestKind kind)
{
  switch (kind) {
    case ServerRequestKind::Forward:
      return "forward";
    case ServerRequestKind::Stream:
      return "stream";
    case ServerRequestKind::Item:
      return "item";
    case ServerRequestKind::Reward:
      return "reward";
    case ServerRequestKind::WeightOrder:
      return "weight_order";
    case ServerRequestKind::Report:
      return "report";
  }
  return "unknown";
}

} // namespace

core::PermitPriority
permitPriority(ServerRequestKind kind)
{
  const bool isBackground =
    kind == ServerRequestKind::Item || kind == ServerRequestKind::Reward;
  return isBackground ? core::PermitPriority::Background
                      : core::PermitPriority::Interactive;
}

ServerClient::ServerClient(Context& context)
  : mContext(context)
{
}

bool
ServerClient::isInService(const core::ServerEntry& server) const
{
  const auto* state = mContext.registry.find(server.id, server.startedAt);
  return state != nullptr && !state->leaving && !state->entry.draining;
}

net::Awaitable<net::HttpResult>
ServerClient::call(core::ServerEntry server,
                   net::HttpCall call,
                   ServerRequestKind kind)
{
  const auto* state = mContext.registry.find(server.id, server.startedAt);
  const bool needsPermit = state != nullptr && state->statedRate;
  if (needsPermit) {
    const bool hasPermit =
      mAcquire && co_await mAcquire(server, permitPriority(kind));
    if (!hasPermit) {
      mContext.metrics.increment(
        fmt::format("permits_refused_total{{kind=\"{}\"}}", textOf(kind)));
      net::HttpResult refused;
      refused.error = net::NetError::RateLimited;
      co_return refused;
    }
  }
  // The server may have stated that it is leaving, or may have been replaced,
  // while this request waited for its permit.
  if (needsPermit && !isInService(server)) {
    net::HttpResult refused;
    refused.error = net::NetError::RateLimited;
    co_return refused;
  }
  mContext.metrics.increment(
    fmt::format("server_requests_total{{kind=\"{}\",rate_limited=\"{}\"}}",
                textOf(kind),
                needsPermit ? "yes" : "no"));
  const auto& names = mContext.format.headers();
  const auto id = call.request.header(names.requestId);
  // Requests without an identifier share the empty key, since nothing tells
  // their responses apart.
  call.requestKey = id;
  // A connection that was opened for a request that must not be repeated serves
  // later requests that may be.
  call.keepNewConnection = true;
  call.acceptHeader =
    [this, server, &names, id, accept = std::move(call.acceptHeader)](
      const net::HttpResponse& response, bool isConnectionReused) {
      const bool isAccepted =
        isResponseTo(response, names, id, isConnectionReused) &&
        (!accept || accept(response, isConnectionReused));
      if (isAccepted) {
        recordStatedRate(server, response);
        recordLeaving(server, response);
      }
      return isAccepted;
    };
  auto result = co_await mContext.http.call(std::move(call));
  if (!result.reusedConnection) {
    mContext.metrics.increment(
      fmt::format("server_connections_new_total{{kind=\"{}\"}}", textOf(kind)));
  }
  co_return result;
}

void
ServerClient::recordLeaving(const core::ServerEntry& server,
                            const net::HttpResponse& response)
{
  const auto text =
    net::headerValue(response.headers, mContext.format.headers().leaving);
  const auto* state = mContext.registry.find(server.id, server.startedAt);
  if (text.empty() || state == nullptr || state->leaving) {
    return;
  }
  const bool isLeaving = text == "1";
  if (isLeaving) {
    mContext.registry.markLeaving(server);
    mContext.metrics.increment("servers_leaving_stated_total");
  } else if (!mMalformedLeaving.insert(server.id).second) {
    return;
  }
  mContext.log.info("server_leaving",
                    { { "server", server.id },
                      { "service", server.service },
                      { "listed_as_draining", state->entry.draining },
                      { "stated", text },
                      { "outcome", isLeaving ? "leaving" : "ignored" } });
}

void
ServerClient::recordStatedRate(const core::ServerEntry& server,
                               const net::HttpResponse& response)
{
  const auto text =
    net::headerValue(response.headers, mContext.format.headers().statedRate);
  const auto rate =
    text.empty() ? std::nullopt : core::parseDecimal<double>(text);
  if (!text.empty() && (!rate || !std::isfinite(*rate) || *rate < 0)) {
    mContext.log.warning("server_rate",
                         { { "server", server.id }, { "malformed", text } });
    return;
  }
  if (mContext.registry.recordStatedRate(
        server.id, server.startedAt, rate, Clock::now())) {
    mContext.log.info("server_rate",
                      { { "server", server.id },
                        { "service", server.service },
                        { "per_s", rate.value_or(0) },
                        { "outcome", rate ? "stated" : "ended" } });
    if (mOnRateChange) {
      mOnRateChange(server);
    }
  }
}

} // namespace lentilrack::gateway
