#include "gateway/server_client.h"

#include "core/decimal.h"
#include "gateway/context.h"

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

ServerClient::ServerClient(Context& context)
  : mContext(context)
{
}

net::Awaitable<net::HttpResult>
ServerClient::call(core::ServerEntry server,
                   net::HttpCall call,
                   ServerRequestKind kind)
{
  const auto* state = mContext.registry.find(server.id, server.startedAt);
  mContext.metrics.increment(
    fmt::format("server_requests_total{{kind=\"{}\",rate_limited=\"{}\"}}",
                textOf(kind),
                state != nullptr && state->statedRate ? "yes" : "no"));
  call.acceptHeader = [this, server, accept = std::move(call.acceptHeader)](
                        const net::HttpResponse& response) {
    const bool isAccepted = !accept || accept(response);
    if (isAccepted) {
      recordStatedRate(server, response);
    }
    return isAccepted;
  };
  co_return co_await mContext.http.call(std::move(call));
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
  if (mContext.registry.recordStatedRate(server, rate, Clock::now())) {
    mContext.log.info("server_rate",
                      { { "server", server.id },
                        { "service", server.service },
                        { "per_s", rate.value_or(0) },
                        { "outcome", rate ? "stated" : "ended" } });
  }
}

} // namespace lentilrack::gateway
