#include "gateway_fixture.h"

namespace lentilrack::gateway {

namespace {

using core::Millis;

using WeightLeaderTest = GatewayTest;

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

} // namespace lentilrack::gateway
