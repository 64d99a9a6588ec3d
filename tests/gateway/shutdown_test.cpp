#include "gateway/gateway.h"
#include "gateway_fixture.h"

#include <spdlog/sinks/null_sink.h>

namespace lentilrack::gateway {

namespace {

using core::Millis;
using core::RouteKind;

/// A whole process that is told to shut down, and one server.
class ShutdownTest : public GatewayTest
{
protected:
  /// Requests are answered until 1 s before the end of the grace period.
  static constexpr Millis kGrace{ 2'500 };

  ShutdownTest()
  {
    mServer.onRequest(
      [this](net::HttpExchange& exchange) { return serve(exchange); });
    core::ServerEntry entry;
    entry.id = mServer.id();
    entry.service = "desk";
    entry.endpoint = mServer.endpoint();
    entry.slots = 4;
    entry.startedAt = 1;
    mContext.registry.apply({ entry }, core::Clock::now());
    std::vector<core::Route> routes;
    for (const auto kind :
         { RouteKind::Single, RouteKind::Repeatable, RouteKind::Stream }) {
      auto route = plainRoute(kind, 1);
      route.pathPrefix = prefixOf(kind);
      route.timeout = Millis(5'000);
      route.targetLatency = Millis(100);
      routes.push_back(std::move(route));
    }
    mContext.desired = std::make_shared<const core::DesiredState>(
      1,
      std::move(routes),
      std::vector{ core::ServiceSpec{ "desk", {}, 0, {} } },
      core::CallerLimits{});
    EXPECT_TRUE(mGateway.start());
  }

  static std::string prefixOf(RouteKind kind)
  {
    return "/" + std::to_string(static_cast<int>(kind)) + "/";
  }

  static ProcessSettings settings()
  {
    ProcessSettings settings;
    settings.instance = "a";
    settings.failureDomain = "north";
    settings.callerAddress = core::Endpoint{ "127.0.0.1", 0 };
    settings.bounds.shutdownGrace = kGrace;
    return settings;
  }

  /// Responds after mServerTime, or when the caller has closed the connection.
  net::Awaitable<void> serve(net::HttpExchange& exchange)
  {
    const auto end = core::Clock::now() + mServerTime;
    while (core::Clock::now() < end && !exchange.isClientDisconnected()) {
      co_await net::sleepFor(Millis(5));
    }
    auto response = FakeServer::makeResponse(exchange.request());
    co_await exchange.respond(std::move(response));
  }

  net::Awaitable<net::HttpResult> send(RouteKind kind, Millis allowed)
  {
    net::HttpCall call;
    call.endpoint = *mGateway.callerEndpoint();
    call.timeout = Millis(30'000);
    call.request = request("r" + std::to_string(++mSent));
    call.request.target = prefixOf(kind) + "1";
    call.request.headers.emplace_back("X-Deadline-Ms",
                                      std::to_string(allowed.count()));
    co_return co_await mClient.call(std::move(call));
  }

  void shutDown()
  {
    mGateway.shutDown([this] { mIsStopped = true; });
  }

  platform::Format mFormat;
  FakeStore mStore{ mTable };
  DecisionLog mLog{ std::make_shared<spdlog::sinks::null_sink_st>() };
  Context mContext{ mIo, settings(), mFormat, mStore, mLog };
  Gateway mGateway{ mContext };
  FakeServer mServer{ mIo, "s1" };
  net::HttpClient mClient{ mIo };
  Millis mServerTime{ 0 };
  int mSent = 0;
  bool mIsStopped = false;
};

} // namespace

// Guards against passing on an order that the end of the process may cut off:
// its caller must not send it again, and never learns what became of it.
TEST_F(ShutdownTest, OrderThatMayNotBeCompletedIsRejectedAtOnce)
{
  run([&]() -> net::Awaitable<void> {
    shutDown();
    for (const auto kind : { RouteKind::Single, RouteKind::Stream }) {
      const auto result = co_await send(kind, Millis(4'500));
      EXPECT_EQ(result.response.status, 503);
      EXPECT_EQ(net::headerValue(result.response.headers, "Retry-After"),
                "0.00");
      EXPECT_EQ(net::headerValue(result.response.headers, "Connection"),
                "close");
    }
    EXPECT_TRUE(mServer.requests().empty());
  });
}

// Guards against rejecting requests that can still be served.
TEST_F(ShutdownTest, RequestThatCanBeCompletedIsServed)
{
  run([&]() -> net::Awaitable<void> {
    shutDown();
    const auto order = co_await send(RouteKind::Single, Millis(300));
    EXPECT_EQ(order.response.status, 200);
    const auto lookup = co_await send(RouteKind::Repeatable, Millis(4'500));
    EXPECT_EQ(lookup.response.status, 200);
  });
}

// Guards against closing the connection of a request without an answer when the
// process ends. The server may have executed the request.
TEST_F(ShutdownTest, OpenRequestIsAnsweredBeforeTheEnd)
{
  mServerTime = Millis(60'000);
  run([&]() -> net::Awaitable<void> {
    net::HttpResult result;
    bool isAnswered = false;
    const auto sendOrder = [&]() -> net::Awaitable<void> {
      result = co_await send(RouteKind::Single, Millis(4'500));
      isAnswered = true;
      EXPECT_FALSE(mIsStopped);
    };
    net::spawn(mIo, sendOrder());
    co_await until([&] { return !mServer.requests().empty(); });
    shutDown();
    co_await until([&] { return mIsStopped; });
    co_await until([&] { return isAnswered; });
    EXPECT_EQ(result.response.status, 504);
  });
}

} // namespace lentilrack::gateway
