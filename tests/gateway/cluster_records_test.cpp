#include "gateway/cluster_records.h"

#include <gtest/gtest.h>

namespace lentilrack::gateway {

// Guards against a process that ends because another writer has left an odd
// value under a key of the cluster.
TEST(ClusterRecordsTest, OddValuesAreNoRecords)
{
  const std::vector<std::string> odd{
    "",
    "null",
    "[]",
    "\xff",
    std::string(1'000'000, '['),
    R"({"failure_domain":1,"host":1,"instance":1,"started":"x"})",
    R"({"callers":7,"total":"x","lifetime":[],"per_s":"x"})",
    R"({"leaving":"x","state":"x","settled":"x","per_s":{}})",
  };
  for (const auto& value : odd) {
    const core::MirroredItem mirrored{ "lentilrack/instances/a", value, 1 };
    const StoreItem item{ "lentilrack/leader", value, 1 };
    EXPECT_FALSE(Peer::decode(mirrored)) << value.substr(0, 80);
    EXPECT_FALSE(StatedRate::decode(mirrored)) << value.substr(0, 80);
    EXPECT_FALSE(BatchRecord::decode(item)) << value.substr(0, 80);
    EXPECT_FALSE(Holder::decode(item)) << value.substr(0, 80);
  }
}

// Guards against losing what a restarted leader or the owner of a batch relies
// on.
TEST(ClusterRecordsTest, HolderRoundTrips)
{
  for (const bool isSettled : { false, true }) {
    const Holder holder{ "a", "life", 7, "10.0.0.1", isSettled, 12 };
    const auto decoded = Holder::decode({ "key", holder.encode(), 7 });
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->instance, "a");
    EXPECT_EQ(decoded->incarnation, "life");
    EXPECT_EQ(decoded->address, "10.0.0.1");
    EXPECT_EQ(decoded->isSettled, isSettled);
    EXPECT_EQ(decoded->lease, 12);
  }
}

} // namespace lentilrack::gateway
