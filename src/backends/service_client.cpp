#include "backends/service_client.h"

#include "backends/call_outcome.h"

#include <algorithm>

namespace lentilrack::backends {

namespace {

bool
hasControlCharacter(const std::string& text)
{
  return std::ranges::any_of(
    text, [](unsigned char c) { return c < ' ' || c == 0x7F; });
}

/// True if the method, the path and the other values of the caller cannot
/// inject headers or a second request when they are written into the request
/// head.
bool
hasValidHead(const ServiceCall& call)
{
  const auto line = call.content.method + call.content.path;
  return !call.content.method.empty() && line.find(' ') == std::string::npos &&
         !hasControlCharacter(line) &&
         !hasControlCharacter(call.content.contentType) &&
         !hasControlCharacter(call.requestId);
}

} // namespace

ServiceClient::ServiceClient(net::HttpClient& http, RateHook onRate)
  : mHttp(http)
  , mOnRate(std::move(onRate))
{
}

net::Awaitable<core::Outcome>
ServiceClient::call(core::Endpoint service, ServiceCall call)
{
  if (!hasValidHead(call)) {
    co_return makeOutcome(core::Verdict::NotRun, "bad_request");
  }
  net::HttpCall exchange;
  exchange.endpoint = std::move(service);
  exchange.timeout = call.timeout;
  exchange.useNewConnection = true;
  exchange.beforeFirstByte = call.beforeFirstByte;
  exchange.cancel = call.cancel;
  exchange.request.method = call.content.method;
  exchange.request.target = "/call/" + call.content.path;
  exchange.request.body = std::move(call.content.body);
  if (!call.content.contentType.empty()) {
    exchange.request.headers.emplace_back("Content-Type",
                                          call.content.contentType);
  }
  if (!call.requestId.empty()) {
    exchange.request.headers.emplace_back("Idempotency-Key", call.requestId);
  }
  exchange.onData = [&call](std::string_view data) {
    if (call.onChunk) {
      call.onChunk({ std::string(data), 0, std::nullopt });
    }
  };
  reportStatedRate(exchange, mOnRate);
  const auto result = co_await mHttp.call(std::move(exchange));
  if (result.error) {
    co_return failedOutcome(result);
  }
  core::Outcome outcome;
  outcome.verdict = core::Verdict::Done;
  outcome.httpStatus = result.response.status;
  outcome.contentType = result.response.contentType;
  co_return outcome;
}

} // namespace lentilrack::backends
