#include "core/prefix_index.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

TEST(PrefixIndex, FollowsEvents)
{
  PrefixIndex index;
  index.apply("a", { { 1, "p", true }, { 2, "q", true }, { 3, "p", false } });
  EXPECT_FALSE(index.holds("a", "p"));
  EXPECT_TRUE(index.holds("a", "q"));
  EXPECT_EQ(index.lastSequence("a"), 3);
}

// Guards against sending work to a server for a prefix that it no longer
// caches: a gap in the sequence of its events may hide the eviction.
TEST(PrefixIndex, GapRemovesAllPrefixesOfTheServer)
{
  PrefixIndex index;
  index.apply("a", { { 1, "p", true } });
  index.apply("b", { { 1, "p", true } });
  index.apply("a", { { 3, "q", true } });
  EXPECT_FALSE(index.holds("a", "p"));
  EXPECT_TRUE(index.holds("a", "q"));
  EXPECT_TRUE(index.holds("b", "p"));
}

TEST(PrefixIndex, RepeatedEventsChangeNothing)
{
  PrefixIndex index;
  index.apply("a", { { 1, "p", true }, { 2, "p", false } });
  index.apply("a", { { 1, "p", true } });
  EXPECT_FALSE(index.holds("a", "p"));
}

TEST(PrefixIndex, IsBoundedPerServer)
{
  PrefixIndex index(2);
  index.recordAssignment("a", "p");
  index.recordAssignment("a", "q");
  index.recordAssignment("a", "r");
  EXPECT_FALSE(index.holds("a", "p"));
  EXPECT_TRUE(index.holds("a", "r"));
  index.recordAssignment("a", "");
  EXPECT_TRUE(index.holds("a", "q"));
}

TEST(PrefixIndex, RemovesAServer)
{
  PrefixIndex index;
  index.apply("a", { { 1, "p", true } });
  index.removeServer("a");
  EXPECT_TRUE(index.holders("p").empty());
  EXPECT_EQ(index.lastSequence("a"), 0);
}

} // namespace lentilrack::core
