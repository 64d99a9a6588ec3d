#include "gateway_fixture.h"

namespace lentilrack::gateway {

namespace {

using core::Millis;
using core::RouteKind;

const net::Headers kLeaving{ { "Server-Leaving", "1" } };

/// A server that states in its responses that it is leaving, and another one.
/// The list of servers names both as ready.
class ServerLeavingTest : public GatewayTest
{
protected:
  ServerLeavingTest()
  {
    mLeaving.onRequest([this](net::HttpExchange& exchange) {
      return serve(exchange, mStatement);
    });
    mOther.onRequest(
      [this](net::HttpExchange& exchange) { return serve(exchange, {}); });
    // The larger server is chosen first.
    mNode->addServer(mLeaving, "desk", 8);
  }

  net::Awaitable<void> serve(net::HttpExchange& exchange,
                             net::Headers statement) const
  {
    auto response = FakeServer::makeResponse(exchange.request(), mStatus);
    response.headers.insert(
      response.headers.end(), statement.begin(), statement.end());
    co_await exchange.respond(std::move(response));
  }

  net::Awaitable<int> forward(std::string id,
                              RouteKind kind = RouteKind::Repeatable)
  {
    TestExchange exchange(request(id));
    const auto route = plainRoute(kind, 1);
    if (kind == RouteKind::Stream) {
      co_await mNode->forwarder.stream(exchange, route);
    } else {
      co_await mNode->forwarder.forward(exchange, route);
    }
    co_return exchange.response.status;
  }

  std::unique_ptr<TestNode> mNode = makeNode("a");
  FakeServer mLeaving{ mIo, "s1" };
  FakeServer mOther{ mIo, "s2" };
  net::Headers mStatement = kLeaving;
  int mStatus = 200;
};

} // namespace

// Guards against sending requests to a server that has said in a response of
// any kind that it is leaving. A process that the store turns away does not
// learn it from the list of servers.
TEST_F(ServerLeavingTest, ServerThatSaysItLeavesGetsNoNewRequests)
{
  run([&]() -> net::Awaitable<void> {
    EXPECT_EQ(co_await forward("r1"), 200);
    EXPECT_EQ(mLeaving.requests().size(), 1U);
    mNode->addServer(mOther, "desk", 1);
    for (const auto kind :
         { RouteKind::Single, RouteKind::Repeatable, RouteKind::Stream }) {
      co_await forward("r2", kind);
    }
    EXPECT_EQ(mLeaving.requests().size(), 1U);
    EXPECT_EQ(mOther.requests().size(), 3U);
  });
}

// Guards against ignoring the statement in a failure or a refusal.
TEST_F(ServerLeavingTest, FailuresAndRefusalsCount)
{
  for (const int status : { 500, 503 }) {
    mStatus = status;
    mNode = makeNode("a");
    mNode->addServer(mLeaving, "desk", 8);
    const auto before = mLeaving.requests().size();
    run([&]() -> net::Awaitable<void> {
      co_await forward("r1");
      EXPECT_EQ(co_await forward("r2"), 503);
    });
    EXPECT_EQ(mLeaving.requests().size(), before + 1);
  }
}

// Guards against waiting until the deadline when all servers are leaving.
TEST_F(ServerLeavingTest, RequestWithoutAServerIsRejectedAtOnce)
{
  run([&]() -> net::Awaitable<void> {
    co_await forward("r1");
    TestExchange exchange(request("r2"));
    const auto route = plainRoute(RouteKind::Single, 2);
    co_await mNode->forwarder.forward(exchange, route);
    EXPECT_EQ(exchange.response.status, 503);
    EXPECT_FALSE(
      net::headerValue(exchange.response.headers, "Retry-After").empty());
  });
}

// Guards against believing a malformed statement, and against a new process at
// the same address that inherits the statement of the one before.
TEST_F(ServerLeavingTest, StatementHoldsForOneLifetimeOnly)
{
  run([&]() -> net::Awaitable<void> {
    mStatement = { { "Server-Leaving", "yes" } };
    EXPECT_EQ(co_await forward("r1"), 200);
    EXPECT_EQ(co_await forward("r2"), 200);
    mStatement = kLeaving;
    EXPECT_EQ(co_await forward("r3"), 200);
    EXPECT_EQ(co_await forward("r4"), 503);
    core::ServerEntry restarted = mNode->context.registry.all().front()->entry;
    restarted.startedAt = 2;
    mNode->context.registry.apply({ restarted }, core::Clock::now());
    EXPECT_EQ(co_await forward("r5"), 200);
  });
}

// Guards against batch items at a server that has said that it is leaving, and
// against cutting off the item that it still runs.
TEST_F(ServerLeavingTest, ItemsGoElsewhere)
{
  FakeServer leaving(mIo, "e1");
  FakeServer other(mIo, "e2");
  leaving.extraHeaders = kLeaving;
  mNode->addServer(leaving, "engine", 1);
  run([&]() -> net::Awaitable<void> {
    mNode->replicator.start();
    mNode->cluster.start();
    mNode->batches.start();
    co_await until([&] {
      return mNode->cluster.isSynced() && mNode->cluster.isRegistered();
    });
    TestExchange exchange(submission("b1", 4));
    const auto desired = mNode->context.desired;
    const auto* route = desired->findRoute(kHost, exchange.request().target);
    co_await mNode->batches.submit(exchange, *route);
    co_await until([&] { return !leaving.requests().empty(); });
    co_await net::sleepFor(Millis(200));
    EXPECT_EQ(leaving.requests().size(), 1U);
    mNode->addServer(other, "engine", 1);
    co_await until([&] { return mNode->batches.openRunCount() == 0; });
  });
  EXPECT_EQ(leaving.requests().size(), 1U);
  EXPECT_EQ(other.requests().size(), 3U);
}

} // namespace lentilrack::gateway
