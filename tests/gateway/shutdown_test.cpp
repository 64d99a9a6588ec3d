#include "gateway/gateway.h"
#include "gateway_fixture.h"

#include <spdlog/sinks/null_sink.h>

#include <algorithm>
#include <set>

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
    for (const auto kind : { RouteKind::Single,
                             RouteKind::Repeatable,
                             RouteKind::Stream,
                             RouteKind::Batch }) {
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

  /// Sends a request and keeps its number until it is answered.
  net::Awaitable<void> sendUntilAnswered(RouteKind kind, Millis allowed)
  {
    const auto number = mSent + 1;
    mUnanswered.insert("r" + std::to_string(number));
    const auto result = co_await send(kind, allowed);
    // A connection that is refused or closed before the request was read
    // proves that it was not passed on.
    if (!result.error) {
      mUnanswered.erase("r" + std::to_string(number));
      ++mAnswered;
    }
  }

  /// Returns true if a server has got the request, and its caller no answer.
  bool isLost(const std::string& id) const
  {
    return mUnanswered.contains(id) &&
           std::ranges::any_of(mServer.requests(), [&](const auto& seen) {
             return seen.header("X-Request-Id") == id;
           });
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
  int mAnswered = 0;
  std::set<std::string> mUnanswered;
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

// Guards against taking a request late in the grace period, passing it on and
// cutting it at the end. The server responds to none of them in time.
TEST_F(ShutdownTest, RequestsOfTheWholeGracePeriodAreAnswered)
{
  mServerTime = Millis(60'000);
  run([&]() -> net::Awaitable<void> {
    shutDown();
    while (!mIsStopped) {
      for (const auto kind :
           { RouteKind::Single, RouteKind::Repeatable, RouteKind::Stream }) {
        for (const int allowed : { 50, 400, 1'000, 4'500 }) {
          net::spawn(mIo, sendUntilAnswered(kind, Millis(allowed)));
        }
      }
      co_await net::sleepFor(Millis(20));
    }
    // The last responses may still be on their way.
    co_await net::sleepFor(Millis(50));
    EXPECT_GT(mAnswered, 0);
    const auto unanswered = mUnanswered;
    for (const auto& id : unanswered) {
      EXPECT_FALSE(isLost(id)) << id;
    }
  });
}

// Guards against cutting a submission at the end of the process because the
// store does not respond in time.
TEST_F(ShutdownTest, SubmissionIsAnsweredAlthoughTheStoreIsSilent)
{
  run([&]() -> net::Awaitable<void> {
    mStore.areCommitsSilent = true;
    shutDown();
    net::HttpResult result;
    bool isAnswered = false;
    const auto submit = [&]() -> net::Awaitable<void> {
      net::HttpCall call;
      call.endpoint = *mGateway.callerEndpoint();
      call.timeout = Millis(30'000);
      call.request = submission("b1", 2);
      call.request.target = prefixOf(RouteKind::Batch) + "b1";
      result = co_await mClient.call(std::move(call));
      isAnswered = true;
    };
    net::spawn(mIo, submit());
    co_await until([&] { return mIsStopped; });
    co_await net::sleepFor(Millis(50));
    EXPECT_TRUE(isAnswered);
    EXPECT_EQ(result.response.status, 504);
    mStore.areCommitsSilent = false;
    co_await until([&] { return isAnswered; });
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
