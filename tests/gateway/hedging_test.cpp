#include "gateway_fixture.h"

#include <fmt/format.h>

namespace lentilrack::gateway {

namespace {

using core::Millis;
using core::PreciseMillis;

class HedgingTest : public GatewayTest
{
protected:
  HedgingTest()
  {
    mNode->addServer(mFirst, "desk", 8);
    // With fewer slots, this server is chosen second.
    mNode->addServer(mSecond, "desk", 1);
    mFirst.onRequest(
      [this](net::HttpExchange& exchange) -> net::Awaitable<void> {
        co_await until(
          [&] { return mIsReleased || exchange.isClientDisconnected(); });
        mHasSeenCancel = exchange.isClientDisconnected();
      });
  }

  /// Sets a limit and records requests of which a few were slow, so that second
  /// attempts pay off.
  void limitTo(double percent)
  {
    mNode->context.hedging.applyStoredLimit(
      fmt::format(R"({{"limit_percent":{}}})", percent), 1);
    for (int i = 0; i < 500; ++i) {
      mNode->context.hedging.recordAttempt(
        { "desk", "forward" },
        { core::AttemptEnd::Answered,
          PreciseMillis(i % 50 == 0 ? 900 : 30),
          8,
          true,
          std::nullopt },
        false);
    }
  }

  /// Forwards a repeatable request that must be answered within 400 ms.
  int forward()
  {
    auto sent = request("r1");
    sent.headers.emplace_back("X-Deadline-Ms", "400");
    TestExchange exchange(std::move(sent));
    const auto route = plainRoute(core::RouteKind::Repeatable, 2);
    run([&]() -> net::Awaitable<void> {
      co_await mNode->forwarder.forward(exchange, route);
      // Cancelled attempts end after the response.
      co_await net::sleepFor(Millis(30));
      mIsReleased = true;
      co_await net::sleepFor(Millis(10));
    });
    return exchange.response.status;
  }

  double metric(const std::string& name) const
  {
    return mNode->context.metrics.counter(name + "{service=\"desk\"}");
  }

  FakeServer mFirst{ mIo, "s1" };
  FakeServer mSecond{ mIo, "s2" };
  std::unique_ptr<TestNode> mNode = makeNode("a");
  bool mIsReleased = false;
  bool mHasSeenCancel = false;
};

} // namespace

// Guards against waiting for a slow server although the limit allows a second
// attempt, and against letting the lost attempt run on.
TEST_F(HedgingTest, FirstResponseWinsAndTheOtherAttemptIsCancelled)
{
  limitTo(5);
  const double workBefore = metric("service_work_ms_total");
  EXPECT_EQ(forward(), 200);
  EXPECT_TRUE(mHasSeenCancel);
  EXPECT_EQ(mSecond.requests().size(), 1U);
  EXPECT_EQ(metric("hedges_started_total"), 1);
  EXPECT_EQ(metric("hedges_won_total"), 1);
  EXPECT_EQ(metric("hedges_lost_total"), 0);
  EXPECT_GT(metric("hedge_work_ms_total"), 0);
  EXPECT_GT(metric("service_work_ms_total"), workBefore);
}

// Guards against second attempts although the operator has disabled them.
TEST_F(HedgingTest, LimitOfZeroDisablesHedging)
{
  limitTo(0);
  EXPECT_EQ(forward(), 504);
  EXPECT_EQ(mSecond.requests().size(), 0U);
  EXPECT_EQ(metric("hedges_started_total"), 0);
}

// Guards against second attempts that no completed work has paid for.
TEST_F(HedgingTest, SpentBudgetAllowsNoSecondAttempt)
{
  limitTo(5);
  mNode->context.hedging.applyStoredLimit(R"({"limit_percent":0})", 2);
  mNode->context.hedging.applyStoredLimit(R"({"limit_percent":1e-9})", 3);
  EXPECT_EQ(forward(), 504);
  EXPECT_EQ(metric("hedges_started_total"), 0);
}

// Guards against more attempts than the route allows.
TEST_F(HedgingTest, SecondAttemptCountsAsAnAttempt)
{
  limitTo(5);
  TestExchange exchange(request("r1"));
  auto route = plainRoute(core::RouteKind::Repeatable, 1);
  route.timeout = Millis(300);
  run([&]() -> net::Awaitable<void> {
    co_await mNode->forwarder.forward(exchange, route);
    mIsReleased = true;
    co_await net::sleepFor(Millis(10));
  });
  EXPECT_EQ(exchange.response.status, 504);
  EXPECT_EQ(mSecond.requests().size(), 0U);
}

// Guards against reporting "not executed" because the second attempt was
// refused, while the first one may have run.
TEST_F(HedgingTest, RefusedSecondAttemptDoesNotHideTheFirst)
{
  limitTo(5);
  mSecond.onRequest([](net::HttpExchange& exchange) -> net::Awaitable<void> {
    auto answer = FakeServer::makeResponse(exchange.request(), 503);
    answer.headers.emplace_back("X-Not-Executed", "1");
    co_await exchange.respond(std::move(answer));
  });
  EXPECT_EQ(forward(), 504);
  EXPECT_EQ(mSecond.requests().size(), 1U);
  EXPECT_EQ(metric("hedges_lost_total"), 1);
  EXPECT_EQ(metric("hedge_work_ms_total"), 0);
}

// Guards against returning the error of one attempt while the other one may
// still succeed.
TEST_F(HedgingTest, ErrorOfOneAttemptWaitsForTheOther)
{
  limitTo(5);
  mFirst.onRequest([](net::HttpExchange& exchange) -> net::Awaitable<void> {
    co_await net::sleepFor(Millis(100));
    co_await exchange.respond(
      FakeServer::makeResponse(exchange.request(), 500));
  });
  mSecond.onRequest([](net::HttpExchange& exchange) -> net::Awaitable<void> {
    co_await net::sleepFor(Millis(150));
    co_await exchange.respond(FakeServer::makeResponse(exchange.request()));
  });
  EXPECT_EQ(forward(), 200);
}

// Guards against a change of the limit that running processes do not see, or
// that survives the removal of the key.
TEST_F(HedgingTest, LimitFollowsTheStore)
{
  const auto key = std::string(keys::kHedging);
  auto& hedging = mNode->context.hedging;
  EXPECT_FALSE(hedging.hasLimit());
  run([&]() -> net::Awaitable<void> {
    co_await joinElection(*mNode);
    mTable->put(key, R"({"limit_percent":5})");
    co_await until([&] { return hedging.hasLimit(); });
    EXPECT_NE(mNode->context.metrics.text().find("hedge_limit_percent 5"),
              std::string::npos);
    mTable->remove(key);
    co_await until([&] { return !hedging.hasLimit(); });
  });
}

} // namespace lentilrack::gateway
