#include "standins/service_standin.h"

namespace lentilrack::standins {

namespace {

constexpr std::int64_t kMaxDurationMs = 600'000;

/// Options that a call may set in its body. Other fields are ignored.
struct CallOptions
{
  core::Millis extraWork{ 0 };
  int status = 200;
};

CallOptions
readCallOptions(const std::string& body)
{
  CallOptions callOptions;
  const auto json = wire::parseJson(body);
  if (!json || !json.value().is_object()) {
    return callOptions;
  }
  const auto decoded = wire::decodeWith([&] {
    wire::ObjectReader reader(json.value());
    return CallOptions{
      core::Millis(reader.integerOr("delay_ms", 0, kMaxDurationMs, 0)),
      static_cast<int>(reader.integerOr("status", 200, 599, 200))
    };
  });
  return decoded ? decoded.value() : callOptions;
}

} // namespace

ServiceStandin::ServiceStandin(net::asio::io_context& io, Options options)
  : mOptions(std::move(options))
  , mServer(io, mOptions.id, mOptions.networkDelay)
{
  mServer.route("*", "/call/*", [this](net::HttpExchange& exchange) {
    return call(exchange);
  });
  mServer.onLedger([this] { return ledger(); });
}

net::Awaitable<void>
ServiceStandin::call(net::HttpExchange& exchange)
{
  const auto& request = exchange.request();
  const auto number = mCalls.size() + 1;
  const auto path = request.target.substr(std::string_view("/call/").size());
  mCalls.push_back(
    { request.header("Idempotency-Key"), request.method, path, request.body });
  const auto callOptions = readCallOptions(request.body);
  const auto time =
    (mOptions.workTime + callOptions.extraWork) * mServer.faults().slowFactor;
  co_await pauseFor(std::chrono::duration_cast<Microseconds>(time));
  wire::Json answer = { { "service", mOptions.service },
                        { "server", mOptions.id },
                        { "call", number },
                        { "path", path } };
  co_await mServer.replyUnlessLost(
    exchange, callOptions.status, std::move(answer));
}

wire::Json
ServiceStandin::ledger() const
{
  auto calls = wire::Json::array();
  for (const auto& call : mCalls) {
    calls.push_back({ { "request_id", call.requestId },
                      { "method", call.method },
                      { "path", call.path },
                      { "body", call.body } });
  }
  return { { "calls", std::move(calls) } };
}

} // namespace lentilrack::standins
