#include "core/replication_tree.h"

#include "core/replication_timing.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace lentilrack::core {

namespace {

const TimePoint kNow = TimePoint() + std::chrono::hours(1);
constexpr int kDomains = 5;

std::vector<ReplicationTree::Member>
fleet(int size)
{
  std::vector<ReplicationTree::Member> members;
  for (int i = 0; i < size; ++i) {
    members.push_back(
      { fmt::format("instance-{}", i), fmt::format("zone-{}", i % kDomains) });
  }
  return members;
}

ReplicationTree
treeOf(const std::string& self, int size)
{
  ReplicationTree tree(self);
  tree.setMembers(fleet(size));
  return tree;
}

} // namespace

// Guards against reads of the store that grow with the fleet: with one reader
// for each 30 processes, nine processes read the store at 250.
TEST(ReplicationTreeTest, NumberOfReadersDoesNotGrowWithTheFleet)
{
  for (const int size : { 1, 2, 7, 30, 100, 300, 630 }) {
    std::set<std::string> readers;
    for (const auto& member : fleet(size)) {
      const auto tree = treeOf(member.name, size);
      EXPECT_EQ(tree.isReader(), !tree.source(kNow).has_value());
      if (tree.isReader()) {
        readers.insert(member.name);
      }
    }
    EXPECT_GE(readers.size(), std::min<std::size_t>(2, std::size_t(size)));
    EXPECT_LE(readers.size(), ReplicationTree::kMaxReaders) << size;
  }
}

// Guards against a process that serves a number of followers that grows with
// the fleet, and against changes that need more hops than the allowed time
// covers.
TEST(ReplicationTreeTest, FollowersAndHopsAreBounded)
{
  for (const int size : { 30, 100, 300, 630 }) {
    std::map<std::string, int> followers;
    std::size_t deepest = 0;
    for (const auto& member : fleet(size)) {
      const auto tree = treeOf(member.name, size);
      deepest = std::max(deepest, tree.level());
      if (const auto source = tree.source(kNow)) {
        ++followers[*source];
        const auto above = tree.level(tree.level() - 1);
        EXPECT_NE(std::ranges::find(above, *source), above.end());
      }
    }
    EXPECT_LE(deepest, 2U) << size;
    const auto most = std::ranges::max_element(
      followers, {}, [](const auto& item) { return item.second; });
    EXPECT_LE(most->second, 3 * int(ReplicationTree::kFanOut)) << size;
  }
}

// Guards against needless traffic between failure domains.
TEST(ReplicationTreeTest, SourceOfTheOwnDomainIsPreferred)
{
  constexpr int kSize = 300;
  for (const auto& member : fleet(kSize)) {
    const auto tree = treeOf(member.name, kSize);
    if (tree.level() < 2) {
      continue;
    }
    const auto source = tree.source(kNow);
    const auto members = fleet(kSize);
    const auto found = std::ranges::find(
      members, source.value(), &ReplicationTree::Member::name);
    EXPECT_EQ(found->failureDomain, member.failureDomain);
  }
}

// Guards against a process that keeps asking a source that does not answer, and
// against one that does not read the store itself when all sources have failed.
TEST(ReplicationTreeTest, FailedSourcesAreAvoidedForAWhile)
{
  ReplicationTree tree("x");
  tree.setMembers(fleet(10));
  ASSERT_EQ(tree.level(0).size(), 2U);
  const auto first = tree.source(kNow);
  ASSERT_TRUE(first);
  tree.recordFailure(*first, kNow);
  const auto second = tree.source(kNow);
  ASSERT_TRUE(second);
  EXPECT_NE(*first, *second);
  tree.recordFailure(*second, kNow);
  EXPECT_FALSE(tree.source(kNow));
  EXPECT_EQ(tree.source(kNow + ReplicationTree::kFailureAvoidTime), first);
}

// Guards against a lowest level that reads the store itself as soon as the
// level above it fails, although the readers still work.
TEST(ReplicationTreeTest, LostLevelIsSkipped)
{
  constexpr int kSize = 300;
  const auto members = fleet(kSize);
  const auto leaf = std::ranges::find_if(members, [](const auto& member) {
    return treeOf(member.name, kSize).level() == 2;
  });
  ASSERT_NE(leaf, members.end());
  auto tree = treeOf(leaf->name, kSize);
  for (const auto& name : tree.level(1)) {
    tree.recordFailure(name, kNow);
  }
  const auto source = tree.source(kNow);
  ASSERT_TRUE(source);
  const auto readers = tree.level(0);
  EXPECT_NE(std::ranges::find(readers, *source), readers.end());
}

// Guards against a reader that the store rejects and that works on with old
// data although other processes have current data.
TEST(ReplicationTreeTest, ReaderCutFromTheStoreHasAnotherSource)
{
  constexpr int kSize = 100;
  const auto reader = treeOf("instance-0", kSize).level(0).front();
  const auto tree = treeOf(reader, kSize);
  ASSERT_TRUE(tree.isReader());
  const auto source = tree.sourceForCutReader(kNow);
  ASSERT_TRUE(source);
  EXPECT_NE(*source, reader);
  EXPECT_FALSE(treeOf("instance-0", 1).sourceForCutReader(kNow));
}

// Guards against readers that each read the store although one of them could
// read it for all, against readers that follow each other in a circle, and
// against a reader that keeps waiting for one that has failed.
TEST(ReplicationTreeTest, ReadersFollowTheFirstWorkingOne)
{
  constexpr int kSize = 300;
  const auto readers = treeOf("instance-0", kSize).level(0);
  ASSERT_EQ(readers.size(), ReplicationTree::kMaxReaders);
  EXPECT_FALSE(treeOf(readers[0], kSize).leadingReader(kNow));
  EXPECT_EQ(treeOf(readers[1], kSize).leadingReader(kNow), readers[0]);
  auto last = treeOf(readers[2], kSize);
  EXPECT_EQ(last.leadingReader(kNow), readers[0]);
  last.recordFailure(readers[0], kNow);
  EXPECT_EQ(last.leadingReader(kNow), readers[1]);
  last.recordFailure(readers[1], kNow);
  EXPECT_FALSE(last.leadingReader(kNow));
  EXPECT_EQ(last.leadingReader(kNow + ReplicationTree::kFailureAvoidTime),
            readers[0]);
  const auto other = treeOf(last.level(1).front(), kSize);
  EXPECT_FALSE(other.leadingReader(kNow));
  EXPECT_FALSE(treeOf("instance-0", 1).leadingReader(kNow));
}

// Guards against intervals that let a change take longer than the deployment
// allows, and against needlessly frequent calls where it allows more time.
TEST(ReplicationTimingTest, IntervalsFollowFromTheAllowedTime)
{
  const auto strict =
    ReplicationTiming::forBounds(Millis(2'000), Millis(4'000));
  EXPECT_EQ(strict.watchTimeout, Millis(500));
  EXPECT_EQ(strict.serverPollInterval, Millis(350));
  EXPECT_EQ(strict.followTimeout, Millis(300));
  EXPECT_EQ(strict.maxMirrorAge, Millis(1'100));
  const auto relaxed =
    ReplicationTiming::forBounds(Millis(4'000), Millis(4'000));
  EXPECT_EQ(relaxed.watchTimeout, Millis(1'000));
  // A reader that stands by must neither read the store during an idle watch
  // of the leading reader nor let its followers become outdated.
  for (const auto& timing : { strict, relaxed }) {
    EXPECT_GT(timing.standbyAge, timing.watchTimeout);
    EXPECT_LE(timing.standbyAge + timing.followTimeout, timing.maxMirrorAge);
  }
  EXPECT_LT(relaxed.maxMirrorAge + 2 * relaxed.followTimeout, Millis(4'000));
}

} // namespace lentilrack::core
