#include "standins/standin_server.h"

#include "backends/stated_rate.h"
#include "core/decimal.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <stdexcept>

namespace lentilrack::standins {

namespace {

constexpr std::int64_t kMaxDurationMs = 3'600'000;
constexpr std::int64_t kMaxLostReplies = 1'000'000'000;
constexpr double kMinSlowFactor = 0.001;

/// Returns limits far above what tests need; their bodies have up to 1 MB.
net::HttpLimits
standinLimits()
{
  net::HttpLimits limits;
  limits.maxBodyBytes = 16UL * 1024 * 1024;
  limits.idleTimeout = std::chrono::minutes(10);
  return limits;
}

} // namespace

net::Awaitable<void>
pauseFor(Microseconds duration)
{
  if (duration <= Microseconds(0)) {
    co_return;
  }
  net::asio::steady_timer timer(co_await net::asio::this_coro::executor,
                                duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(
    net::asio::redirect_error(net::asio::use_awaitable, ignored));
}

StandinServer::StandinServer(net::asio::io_context& io,
                             std::string id,
                             Microseconds networkDelay)
  : mIo(io)
  , mId(std::move(id))
  , mNetworkDelay(networkDelay)
  , mServer(io, standinLimits(), [this](net::HttpExchange& exchange) {
    return mRouter.handle(exchange);
  })
{
  mRouter.add("POST", "/control", [this](net::HttpExchange& exchange) {
    return control(exchange);
  });
  mRouter.add("GET", "/ledger", [this](net::HttpExchange& exchange) {
    return ledger(exchange);
  });
}

core::Endpoint
StandinServer::listen()
{
  const auto bound = mServer.listen({ "127.0.0.1", mEndpoint.port });
  if (!bound) {
    throw std::runtime_error(mId + " cannot listen on a loopback port");
  }
  mEndpoint = bound.value();
  return mEndpoint;
}

void
StandinServer::route(std::string method,
                     const std::string& pattern,
                     net::HttpHandler handler)
{
  mRouter.add(
    std::move(method),
    pattern,
    [this, handler = std::move(handler)](net::HttpExchange& exchange) {
      return serve(handler, exchange);
    });
}

net::Awaitable<void>
StandinServer::serve(const net::HttpHandler& handler,
                     net::HttpExchange& exchange)
{
  ++mRequests;
  if (mFaults.down) {
    exchange.abort();
    co_return;
  }
  mRunningExchanges.insert(&exchange);
  co_await pauseFor(mNetworkDelay + mFaults.latency);
  // abortExchanges() removes the exchanges that it aborts from the set. A
  // request that was aborted during the delay has no effect, but a request
  // whose client has disconnected still takes effect.
  if (mRunningExchanges.contains(&exchange)) {
    co_await handler(exchange);
  }
  mRunningExchanges.erase(&exchange);
}

net::Awaitable<void>
StandinServer::reply(net::HttpExchange& exchange, net::HttpResponse response)
{
  co_await simulateNetworkDelay();
  std::ranges::copy(responseHeaders(), std::back_inserter(response.headers));
  co_await exchange.respond(std::move(response));
}

net::Headers
StandinServer::responseHeaders() const
{
  net::Headers headers;
  if (mFaults.statedRate > 0) {
    headers.emplace_back(backends::kStatedRateHeader,
                         fmt::format("{}", mFaults.statedRate));
  }
  return headers;
}

net::Awaitable<void>
StandinServer::replyJson(net::HttpExchange& exchange,
                         int status,
                         wire::Json body)
{
  net::HttpResponse response;
  response.status = status;
  response.body =
    body.dump(-1, ' ', false, wire::Json::error_handler_t::replace);
  co_await reply(exchange, std::move(response));
}

net::Awaitable<void>
StandinServer::replyUnlessLost(net::HttpExchange& exchange,
                               int status,
                               wire::Json body)
{
  if (consumeReplyLoss()) {
    exchange.abort();
    co_return;
  }
  co_await replyJson(exchange, status, std::move(body));
}

net::Awaitable<void>
StandinServer::replyBadRequest(net::HttpExchange& exchange,
                               wire::DecodeError error)
{
  wire::Json body = { { "error", "bad_request" }, { "message", error.text() } };
  co_await replyJson(exchange, 400, std::move(body));
}

bool
StandinServer::consumeReplyLoss()
{
  if (mFaults.loseReplies == 0) {
    return false;
  }
  --mFaults.loseReplies;
  return true;
}

net::Awaitable<void>
StandinServer::simulateNetworkDelay()
{
  co_await pauseFor(mNetworkDelay);
}

void
StandinServer::abortExchanges()
{
  const auto running = std::move(mRunningExchanges);
  mRunningExchanges.clear();
  for (auto* exchange : running) {
    exchange->abort();
  }
}

std::string
StandinServer::state() const
{
  if (mFaults.down) {
    return "";
  }
  return mFaults.leaving ? "leaving" : "live";
}

net::Awaitable<void>
StandinServer::control(net::HttpExchange& exchange)
{
  const auto json = wire::parseJson(exchange.request().body);
  if (!json) {
    co_await replyBadRequest(exchange, json.error());
    co_return;
  }
  auto action = wire::decodeWith([&] { return readControl(json.value()); });
  if (!action) {
    co_await replyBadRequest(exchange, action.error());
    co_return;
  }
  action.value()();
  if (mOnControlApplied) {
    mOnControlApplied();
  }
  net::HttpResponse response;
  response.body = "{}";
  co_await exchange.respond(std::move(response));
}

net::Awaitable<void>
StandinServer::ledger(net::HttpExchange& exchange)
{
  const auto ledger = mMakeLedger ? mMakeLedger() : wire::Json::object();
  net::HttpResponse response;
  response.body =
    ledger.dump(-1, ' ', false, wire::Json::error_handler_t::replace);
  co_await exchange.respond(std::move(response));
}

StandinServer::Action
StandinServer::readControl(const wire::Json& body)
{
  wire::ObjectReader reader(body);
  auto faults = mFaults;
  faults.latency = core::Millis(
    reader.integerOr("latency_ms", 0, kMaxDurationMs, faults.latency.count()));
  faults.slowFactor = reader.optional("slow_factor", faults.slowFactor);
  if (faults.slowFactor < kMinSlowFactor) {
    reader.fail("slow_factor", "must be 0.001 or more");
  }
  faults.down = reader.optional("down", faults.down);
  faults.loseReplies =
    reader.integerOr("lose_replies", 0, kMaxLostReplies, faults.loseReplies);
  faults.leaving = reader.optional("leaving", faults.leaving);
  faults.statedRate = reader.optional("stated_rate", faults.statedRate);
  if (!std::isfinite(faults.statedRate) || faults.statedRate < 0) {
    reader.fail("stated_rate", "must be 0 or more");
  }
  const bool isCrash = reader.optional("crash", false);
  const auto closed = core::Millis(
    reader.integerOr("refuse_connections_ms", 0, kMaxDurationMs, 0));
  auto own = mControlReader ? mControlReader(reader) : Action();
  reader.rejectUnknownFields();
  return [this, faults, isCrash, closed, own = std::move(own)] {
    mFaults = faults;
    if (isCrash || faults.down || closed.count() > 0) {
      crash();
    }
    if (closed.count() > 0) {
      refuseConnectionsFor(closed);
    }
    if (own) {
      own();
    }
  };
}

void
StandinServer::crash()
{
  abortExchanges();
  if (mOnCrash) {
    mOnCrash();
  }
}

void
StandinServer::refuseConnectionsFor(core::Millis duration)
{
  mServer.stopAccepting();
  net::spawn(mIo, reopenAfter(duration));
}

net::Awaitable<void>
StandinServer::reopenAfter(core::Millis duration)
{
  mServer.closeAllConnections();
  co_await net::sleepFor(duration);
  listen();
}

std::optional<std::int64_t>
queryInteger(const net::HttpRequest& request, std::string_view name)
{
  return core::parseDecimal<std::int64_t>(request.query(name));
}

std::string
percentDecoded(std::string_view text)
{
  // The query parser decodes '+' as a blank. In a path it stands for itself, so
  // it is escaped first.
  net::HttpRequest request;
  request.target = "/?x=";
  for (const char c : text) {
    request.target += c == '+' ? "%2B" : std::string(1, c);
  }
  return request.query("x");
}

} // namespace lentilrack::standins
