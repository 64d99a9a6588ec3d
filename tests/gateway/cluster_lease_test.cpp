#include "gateway_fixture.h"

#include <fmt/format.h>

namespace lentilrack::gateway {

namespace {

using core::Millis;

class ClusterLeaseTest : public GatewayTest
{
protected:
  /// Registers `count` other processes.
  void addPeers(int count)
  {
    for (int i = 0; i < count; ++i) {
      mTable->put(keys::instance(fmt::format("peer-{}", i)),
                  R"({"peers":"127.0.0.1:1"})");
    }
  }

  Millis longestLease() const
  {
    const auto now = core::Clock::now();
    auto longest = Millis(0);
    for (const auto& [id, end] : mTable->leases) {
      longest =
        std::max(longest, std::chrono::duration_cast<Millis>(end - now));
    }
    return longest;
  }
};

} // namespace

// Guards against renewals that grow with the fleet: a process of a large fleet
// that has no duties must not renew a lease of two seconds.
TEST_F(ClusterLeaseTest, ProcessOfALargeFleetRegistersUnderALongLease)
{
  addPeers(250);
  auto node = makeNode("a");
  run([&]() -> net::Awaitable<void> {
    co_await joinElection(*node);
    EXPECT_GT(longestLease(), Millis(6'000));
    EXPECT_EQ(mTable->leases.size(), 1U);
    EXPECT_EQ(node->cluster.lease(), 0);
  });
}

// Guards against duties bound to a long lease: after the loss of their holder
// nobody could take them over for many seconds.
TEST_F(ClusterLeaseTest, DutiesOfALargeFleetHaveAShortLeaseOfTheirOwn)
{
  addPeers(250);
  auto node = makeNode("a");
  run([&]() -> net::Awaitable<void> {
    co_await joinElection(*node);
    const auto lease = co_await node->cluster.acquireLease();
    EXPECT_NE(lease, 0);
    EXPECT_EQ(node->cluster.lease(), lease);
    EXPECT_EQ(co_await node->cluster.acquireLease(), lease);
    EXPECT_EQ(mTable->leases.size(), 2U);
    EXPECT_LE(mTable->leases.at(lease) - core::Clock::now(),
              ClusterView::kLeaseTtl);
    // The lease is renewed as long as it may be needed.
    co_await net::sleepFor(ClusterView::kLeaseTtl + Millis(500));
    mTable->expireLeases(core::Clock::now());
    EXPECT_TRUE(mTable->leases.contains(lease));
    EXPECT_TRUE(node->cluster.isLeaseValid(Millis(0)));
  });
}

// Guards against a process that believes to hold duties whose lease has been
// revoked while its registration remains.
TEST_F(ClusterLeaseTest, RevokedDutyLeaseEndsTheDuties)
{
  addPeers(250);
  auto node = makeNode("a");
  run([&]() -> net::Awaitable<void> {
    co_await joinElection(*node);
    const auto lease = co_await node->cluster.acquireLease();
    const auto self = node->cluster.self();
    mTable->put(keys::owner("b1"), self.encode(), lease);
    co_await until([&] { return node->cluster.ownerOf("b1") != nullptr; });
    node->store.isWatchSilent = true;
    mTable->revoke(lease);
    co_await until([&] { return node->cluster.ownerOf("b1") == nullptr; });
    EXPECT_TRUE(node->cluster.isRegistered());
    EXPECT_FALSE(node->cluster.isLeaseValid(Millis(0)));
  });
}

// Guards against a second lease, and its price, in a small fleet.
TEST_F(ClusterLeaseTest, SmallFleetNeedsOneLease)
{
  addPeers(6);
  auto node = makeNode("a");
  run([&]() -> net::Awaitable<void> {
    co_await joinElection(*node);
    EXPECT_NE(co_await node->cluster.acquireLease(), 0);
    EXPECT_EQ(mTable->leases.size(), 1U);
    EXPECT_LE(longestLease(), ClusterView::kLeaseTtl);
  });
}

} // namespace lentilrack::gateway
