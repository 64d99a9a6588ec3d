#pragma once

#include "net/http_router.h"
#include "net/http_server.h"
#include "wire/object_reader.h"

#include <chrono>
#include <functional>
#include <set>
#include <string>

namespace lentilrack::standins {

using Microseconds = std::chrono::microseconds;

/// Suspends the coroutine; a time of zero does not.
net::Awaitable<void>
pauseFor(Microseconds duration);

/// Faults that every stand-in can be told to show.
struct Faults
{
  core::Millis latency{ 0 };
  /// Work takes this many times longer.
  double slowFactor = 1;
  /// Connections are accepted, requests are dropped without an answer.
  bool down = false;
  /// Number of replies still to be lost after the request took effect.
  std::int64_t loseReplies = 0;
  bool leaving = false;
};

/// HTTP server of one stand-in: its address, its faults, POST /control and
/// GET /ledger.
class StandinServer
{
public:
  using Action = std::function<void()>;
  /// Reads a stand-in's own control fields and returns what they do. The
  /// action runs only if the whole request is valid.
  using ControlReader = std::function<Action(wire::ObjectReader&)>;

  /// `delay` is added one way to every request and to the first byte of every
  /// answer.
  StandinServer(net::asio::io_context& io, std::string id, Microseconds delay);

  /// Listens on a loopback port that the kernel chooses.
  core::Endpoint listen();
  /// Adds a route; faults and delay apply to it.
  void route(std::string method,
             const std::string& pattern,
             net::HttpHandler handler);

  void onControl(ControlReader reader) { mControlReader = std::move(reader); }
  void onLedger(std::function<wire::Json()> ledger)
  {
    mLedger = std::move(ledger);
  }
  /// Called when all running work is to be forgotten.
  void onCrash(Action crash) { mCrash = std::move(crash); }
  /// Called after every accepted control request.
  void onControlApplied(Action change) { mControlApplied = std::move(change); }

  net::Awaitable<void> reply(net::HttpExchange& exchange,
                             net::HttpResponse response);
  net::Awaitable<void> replyJson(net::HttpExchange& exchange,
                                 int status,
                                 wire::Json body);
  /// Reply to a request that took effect; it can be lost.
  net::Awaitable<void> replyUnlessLost(net::HttpExchange& exchange,
                                       int status,
                                       wire::Json body);
  /// 400 with the reason.
  net::Awaitable<void> replyBadRequest(net::HttpExchange& exchange,
                                       wire::DecodeError error);

  /// Whether the reply to the present request is to be lost; counts it.
  bool consumeReplyLoss();
  net::Awaitable<void> delay();
  /// Breaks every exchange that runs, except for control requests.
  void abortExchanges();

  const std::string& id() const { return mId; }
  const core::Endpoint& endpoint() const { return mEndpoint; }
  const Faults& faults() const { return mFaults; }
  /// "live", "leaving", or empty while it is down.
  std::string state() const;
  net::asio::io_context& io() { return mIo; }
  /// Requests received, those dropped while down included.
  std::int64_t requests() const { return mRequests; }

private:
  net::Awaitable<void> serve(const net::HttpHandler& handler,
                             net::HttpExchange& exchange);
  net::Awaitable<void> control(net::HttpExchange& exchange);
  net::Awaitable<void> ledger(net::HttpExchange& exchange);
  Action readControl(const wire::Json& body);
  void crash();
  void refuseConnectionsFor(core::Millis duration);
  net::Awaitable<void> reopenAfter(core::Millis duration);

  net::asio::io_context& mIo;
  std::string mId;
  Microseconds mDelay;
  net::HttpRouter mRouter;
  net::HttpServer mServer;
  core::Endpoint mEndpoint;
  Faults mFaults;
  ControlReader mControlReader;
  std::function<wire::Json()> mLedger;
  Action mCrash;
  Action mControlApplied;
  std::set<net::HttpExchange*> mRunning;
  std::int64_t mRequests = 0;
};

/// Reads a request body with `read(ObjectReader&)`; unknown fields are errors.
template<typename Function>
auto
decodeBody(const std::string& body, Function read)
  -> wire::Decoded<decltype(read(std::declval<wire::ObjectReader&>()))>
{
  const auto json = wire::parseJson(body);
  if (!json) {
    return json.error();
  }
  return wire::decodeWith([&] {
    wire::ObjectReader reader(json.value());
    auto value = read(reader);
    reader.rejectUnknownFields();
    return value;
  });
}

/// A number of the query, or nothing if it is not one.
std::optional<std::int64_t>
queryInteger(const net::HttpRequest& request, std::string_view name);

/// Decodes percent encoding.
std::string
percentDecoded(std::string_view text);

} // namespace lentilrack::standins
