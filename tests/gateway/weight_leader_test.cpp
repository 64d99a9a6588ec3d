#include "gateway/read_limits.h"
#include "gateway_fixture.h"

namespace lentilrack::gateway {

namespace {

using core::Millis;

/// A process that may become the leader, and a server that accepts orders to
/// load weights.
class WeightLeaderTest : public GatewayTest
{
protected:
  /// Lower bound of the time between a takeover and the first order to a server
  /// whose last order is unknown: the former leader may order for 1.2 s more,
  /// and 50 ms must lie between the orders of two leaders in these tests.
  static constexpr Millis kHandoverTime{ 1'250 };

  WeightLeaderTest()
  {
    mServer.onRequest(
      [this](net::HttpExchange& exchange) { return serveControl(exchange); });
  }

  /// Makes the node a candidate that has weights to load.
  net::Awaitable<void> joinWithWork(TestNode& node)
  {
    node.addServer(mServer, "engine");
    node.context.announcedVersions["model"] = 2;
    node.context.settings.bounds.leaderHandoverDelay = Millis(50);
    co_await joinElection(node);
  }

  /// Puts the leader key of a process before this one. Without its lease it
  /// stays until it is replaced.
  void putLeader(const std::string& address, bool isSettled)
  {
    const Holder holder{ "a", "earlier", 0, address, isSettled };
    mTable->put(keys::leader(), holder.encode());
  }

  /// Returns the time from the start of the node to its first order.
  core::Clock::duration timeToFirstOrder(TestNode& node)
  {
    const auto start = core::Clock::now();
    run([&]() -> net::Awaitable<void> {
      co_await joinWithWork(node);
      co_await until([&] { return mOrderedAt.has_value(); });
    });
    return *mOrderedAt - start;
  }

  std::optional<Holder> storedLeader() const
  {
    const auto& key = mTable->entries.at(keys::leader());
    return Holder::decode({ keys::leader(), key.value, key.revision });
  }

  FakeServer mServer{ mIo, "s1" };
  std::size_t mReportBytes = 0;
  int mReports = 0;
  std::optional<core::TimePoint> mOrderedAt;

private:
  net::Awaitable<void> serveControl(net::HttpExchange& exchange)
  {
    net::HttpResponse response;
    if (exchange.request().path() == "/api/order") {
      mOrderedAt = mOrderedAt.value_or(core::Clock::now());
      response.status = 202;
    } else {
      ++mReports;
      response.body =
        R"({"models":[{"name":"model","version":1}],"busy":false,"seq":3,)"
        R"("padding":")" +
        std::string(mReportBytes, 'x') + "\"}";
    }
    co_await exchange.respond(std::move(response));
  }
};

} // namespace

// Guards against two leaders at once. The first process loses its lease while
// its watch delivers no changes, and gets a new lease. It must not regard the
// leader key of the lost lease as its own again.
TEST_F(WeightLeaderTest, NewLeaseDoesNotRestoreLostLeadership)
{
  auto first = makeNode("a");
  run([&]() -> net::Awaitable<void> {
    co_await joinElection(*first);
    co_await until([&] { return first->leader.isLeading(); });
    const auto lease = first->cluster.lease();
    first->store.isWatchSilent = true;
    mTable->revokeAll();
    // Another process claims leadership before the first one can.
    const Holder other{ "b", "life", 0 };
    mTable->put(keys::leader(), other.encode());
    co_await until([&] {
      return first->cluster.lease() != 0 && first->cluster.lease() != lease;
    });
    EXPECT_EQ(first->cluster.leader(), nullptr);
    co_await net::sleepFor(Millis(250));
    EXPECT_FALSE(first->leader.isLeading());
  });
}

// Guards against a second process that becomes the leader while the first still
// holds the leader key.
TEST_F(WeightLeaderTest, OnlyOneProcessLeads)
{
  auto first = makeNode("a");
  auto second = makeNode("b");
  run([&]() -> net::Awaitable<void> {
    co_await joinElection(*first);
    co_await until([&] { return first->leader.isLeading(); });
    co_await joinElection(*second);
    co_await net::sleepFor(Millis(500));
    EXPECT_TRUE(first->leader.isLeading());
    EXPECT_FALSE(second->leader.isLeading());
  });
}

// Guards against a leader that gives orders at once, although the leader before
// may still give some: the claim was executed, but its response was lost, and
// the process learns from its watch that it leads.
TEST_F(WeightLeaderTest, LeaderWhoseClaimWasNotAnsweredWaits)
{
  auto node = makeNode("a");
  std::optional<core::TimePoint> claimedAt;
  node->store.beforeCommit = [&](const StoreTransaction& transaction) {
    if (!claimedAt && transaction.writes.at(0).key == keys::leader()) {
      claimedAt = core::Clock::now();
      node->store.unansweredCommits = 1;
    }
  };
  run([&]() -> net::Awaitable<void> {
    co_await joinWithWork(*node);
    co_await until([&] { return mOrderedAt.has_value(); });
  });
  EXPECT_GE(*mOrderedAt - *claimedAt, kHandoverTime);
}

// Guards against a process that takes the claim of an earlier process of its
// instance for an old one of its own: that process was still waiting for the
// leader of another instance to stop.
TEST_F(WeightLeaderTest, RestartedLeaderWaitsIfItsTermIsNotSettled)
{
  auto node = makeNode("a");
  node->context.settings.address = "10.0.0.1";
  putLeader("10.0.0.1", false);
  EXPECT_GE(timeToFirstOrder(*node), kHandoverTime);
  EXPECT_NE(storedLeader()->incarnation, "earlier");
}

// Guards against the same on a new machine with the name of a former one, whose
// orders are those of another holder.
TEST_F(WeightLeaderTest, NewMachineOfTheSameNameWaits)
{
  auto node = makeNode("a");
  node->context.settings.address = "10.0.0.2";
  putLeader("10.0.0.1", true);
  EXPECT_GE(timeToFirstOrder(*node), kHandoverTime);
}

// Guards against a restarted leader that waits again although its term was
// settled, and against a settled term that is not recorded.
TEST_F(WeightLeaderTest, SettledTermSurvivesARestart)
{
  auto first = makeNode("a");
  first->context.settings.address = "10.0.0.1";
  run([&]() -> net::Awaitable<void> {
    co_await joinWithWork(*first);
    co_await until([&] {
      return mTable->entries.contains(keys::leader()) &&
             storedLeader()->isSettled;
    });
    co_await until([&] { return first->leader.isLeading(); });
  });
  EXPECT_TRUE(mOrderedAt || first->leader.isLeading());
  auto restarted = makeNode("a");
  restarted->context.settings.address = "10.0.0.1";
  bool wroteUnsettled = false;
  restarted->store.beforeCommit = [&](const StoreTransaction& transaction) {
    const auto& write = transaction.writes.at(0);
    const auto holder = Holder::decode({ write.key, write.value, 0 });
    wroteUnsettled =
      wroteUnsettled || (write.key == keys::leader() && !holder->isSettled);
  };
  first->context.isLeaving = true;
  run([&]() -> net::Awaitable<void> {
    co_await joinWithWork(*restarted);
    co_await until([&] { return restarted->leader.isLeading(); });
  });
  EXPECT_FALSE(wroteUnsettled);
}

// Guards against a report without end, which takes many times its size once it
// is decoded.
TEST_F(WeightLeaderTest, OversizedReportIsNotUsed)
{
  auto node = makeNode("a");
  mReportBytes = 2 * kMaxReportBytes;
  run([&]() -> net::Awaitable<void> {
    co_await joinWithWork(*node);
    co_await until([&] { return mReports > 1; });
  });
  const auto servers = node->context.registry.all();
  ASSERT_EQ(servers.size(), 1U);
  EXPECT_FALSE(servers.front()->orderCount);
  EXPECT_FALSE(mOrderedAt);
}

} // namespace lentilrack::gateway
