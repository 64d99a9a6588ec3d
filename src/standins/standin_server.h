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

/// Suspends the coroutine for the duration; returns at once if that is zero or
/// negative.
net::Awaitable<void>
pauseFor(Microseconds duration);

/// Faults that POST /control switches on at any stand-in.
struct Faults
{
  core::Millis latency{ 0 };
  /// Factor by which simulated work takes longer than normal.
  double slowFactor = 1;
  /// If true, connections are accepted but each request is aborted without an
  /// answer.
  bool down = false;
  /// Number of further replies to lose after their requests took effect.
  std::int64_t loseReplies = 0;
  bool leaving = false;
  /// Requests per second that each response states as the server's limit; 0 if
  /// responses state none. The server does not enforce it.
  double statedRate = 0;
};

/// HTTP server of one stand-in. Simulates its faults and network delay, and
/// serves POST /control, which sets the faults, and GET /ledger, the record of
/// what the stand-in did.
class StandinServer
{
public:
  using Action = std::function<void()>;
  /// Reads the fields of a control request that only this kind of stand-in has,
  /// and returns an action that applies them. The action runs only if the whole
  /// request is valid.
  using ControlReader = std::function<Action(wire::ObjectReader&)>;

  /// `networkDelay` is the simulated one-way network delay. Each request waits
  /// for it before it is handled, and each answer before its first byte.
  StandinServer(net::asio::io_context& io,
                std::string id,
                Microseconds networkDelay);

  /// Listens on a free loopback port, or on the previous one when called again.
  /// Throws std::runtime_error if the port cannot be bound.
  core::Endpoint listen();
  /// Adds a route that is subject to the faults and the network delay.
  void route(std::string method,
             const std::string& pattern,
             net::HttpHandler handler);

  /// Sets the function that reads the control fields of this kind of stand-in.
  void onControl(ControlReader reader) { mControlReader = std::move(reader); }
  /// Sets the function that returns the body of GET /ledger. Without one, the
  /// body is an empty object.
  void onLedger(std::function<wire::Json()> makeLedger)
  {
    mMakeLedger = std::move(makeLedger);
  }
  /// Sets the function that discards all running work when a crash is
  /// simulated.
  void onCrash(Action discardWork) { mOnCrash = std::move(discardWork); }
  /// Sets the function that is called after each valid control request.
  void onControlApplied(Action callback)
  {
    mOnControlApplied = std::move(callback);
  }

  /// Sends the response after the network delay.
  net::Awaitable<void> reply(net::HttpExchange& exchange,
                             net::HttpResponse response);
  /// Sends a JSON body after the network delay. Invalid UTF-8 in it is
  /// replaced.
  net::Awaitable<void> replyJson(net::HttpExchange& exchange,
                                 int status,
                                 wire::Json body);
  /// Replies to a request that took effect, or aborts the exchange if the reply
  /// is to be lost.
  net::Awaitable<void> replyUnlessLost(net::HttpExchange& exchange,
                                       int status,
                                       wire::Json body);
  /// Replies with status 400 and the reason.
  net::Awaitable<void> replyBadRequest(net::HttpExchange& exchange,
                                       wire::DecodeError error);

  /// Returns true if the reply to the current request is to be lost, and then
  /// decrements the number of replies to lose.
  bool consumeReplyLoss();
  /// Returns the headers that every response has.
  net::Headers responseHeaders() const;
  /// Suspends for the network delay. Needed only before a streamed answer,
  /// because reply() includes the delay.
  net::Awaitable<void> simulateNetworkDelay();
  /// Aborts all running exchanges, except for control requests and ledger
  /// reads.
  void abortExchanges();

  const std::string& id() const { return mId; }
  const core::Endpoint& endpoint() const { return mEndpoint; }
  const Faults& faults() const { return mFaults; }
  /// Returns "live", "leaving", or an empty string while the server is down.
  std::string state() const;
  net::asio::io_context& io() { return mIo; }
  /// Returns the number of requests received, including those dropped while the
  /// server was down.
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
  Microseconds mNetworkDelay;
  net::HttpRouter mRouter;
  net::HttpServer mServer;
  core::Endpoint mEndpoint;
  Faults mFaults;
  ControlReader mControlReader;
  std::function<wire::Json()> mMakeLedger;
  Action mOnCrash;
  Action mOnControlApplied;
  std::set<net::HttpExchange*> mRunningExchanges;
  std::int64_t mRequests = 0;
};

/// Decodes a JSON request body with `read(ObjectReader&)`. Returns an error for
/// an unknown field.
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

/// Returns an integer parameter of the query; std::nullopt if it is missing or
/// not an integer.
std::optional<std::int64_t>
queryInteger(const net::HttpRequest& request, std::string_view name);

/// Decodes the percent encoding of a path; '+' stands for itself.
std::string
percentDecoded(std::string_view text);

} // namespace lentilrack::standins
