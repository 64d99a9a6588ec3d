#include "core/key_mirror.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace lentilrack::core {

namespace {

MirroredItem
item(const std::string& key, const std::string& value, std::int64_t revision)
{
  return { key, value, revision };
}

} // namespace

// Guards against reverting a key to an older value because a report of that
// value arrives late.
TEST(KeyMirrorTest, OlderItemsAndRemovalsChangeNothing)
{
  KeyMirror mirror;
  EXPECT_TRUE(mirror.put(item("a", "new", 5)));
  EXPECT_FALSE(mirror.put(item("a", "old", 4)));
  EXPECT_FALSE(mirror.remove("a", 4));
  EXPECT_EQ(mirror.items().at("a").value, "new");
  EXPECT_TRUE(mirror.remove("a", 6));
  EXPECT_FALSE(mirror.put(item("a", "new", 5)));
  EXPECT_TRUE(mirror.items().empty());
}

// Guards against keeping a key that was removed from the store, when a complete
// list of the keys arrives without it.
TEST(KeyMirrorTest, ListingRemovesWhatItDoesNotHave)
{
  KeyMirror mirror;
  mirror.put(item("a", "x", 3));
  mirror.put(item("b", "x", 9));
  mirror.replace({ item("c", "x", 4) }, 7);
  EXPECT_FALSE(mirror.items().contains("a"));
  // This key was written after the list was made, so its absence from the list
  // does not remove it.
  EXPECT_TRUE(mirror.items().contains("b"));
  EXPECT_TRUE(mirror.items().contains("c"));
}

// Guards against notifying followers although only irrelevant parts of a value,
// such as counters, have changed.
TEST(KeyMirrorTest, EquivalentValuesAreNoChange)
{
  KeyMirror mirror;
  mirror.setUnchangedTest(
    [](const auto& a, const auto& b) { return a.value == b.value; });
  mirror.put(item("a", "x", 1));
  const auto before = mirror.sequence();
  EXPECT_TRUE(mirror.put(item("a", "x", 2)));
  EXPECT_EQ(mirror.sequence(), before);
  EXPECT_TRUE(mirror.put(item("a", "y", 3)));
  EXPECT_GT(mirror.sequence(), before);
}

// Guards against a follower, that is, a mirror updated from another mirror,
// that misses a change. After any sequence of changes, the follower must have
// the same items as the mirror that it follows.
RC_GTEST_PROP(KeyMirrorTest, FollowersEndWithTheSameItems, ())
{
  KeyMirror source;
  KeyMirror follower;
  std::uint64_t position = 0;
  std::int64_t revision = 0;
  const auto steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    const auto key = std::string(1, *rc::gen::inRange('a', 'f'));
    const bool isRemoval = *rc::gen::arbitrary<bool>();
    ++revision;
    if (isRemoval) {
      source.remove(key, revision);
    } else {
      source.put(item(key, std::to_string(revision), revision));
    }
    if (*rc::gen::arbitrary<bool>()) {
      const auto delta = source.changesSince(position);
      follower.applyDelta(delta);
      position = delta.sequence;
    }
  }
  follower.applyDelta(source.changesSince(position));
  RC_ASSERT(source.items().size() == follower.items().size());
  for (const auto& [key, known] : source.items()) {
    RC_ASSERT(follower.items().contains(key));
    RC_ASSERT(follower.items().at(key).value == known.value);
  }
}

// Guards against a follower that ends with wrong items because it missed more
// changes than the mirror keeps and received only the latest ones.
TEST(KeyMirrorTest, FollowerThatMissedTooMuchGetsASnapshot)
{
  KeyMirror source;
  source.put(item("first", "x", 1));
  const auto position = source.sequence();
  for (std::size_t i = 0; i <= KeyMirror::kKeptChanges; ++i) {
    source.put(item("k", "x", static_cast<std::int64_t>(i) + 2));
  }
  EXPECT_TRUE(source.changesSince(position).isSnapshot);
  EXPECT_EQ(source.changesSince(position).items.size(), 2U);
  EXPECT_FALSE(source.changesSince(source.sequence()).isSnapshot);
}

// Guards against a snapshot that claims to be newer than it is: the sender has
// written a key itself and does not know an earlier write of another key yet.
// The receiver took that key for removed, and never accepted it again:
// processes that had lost the leader key this way claimed the leadership ten
// times a second.
TEST(KeyMirrorTest, OwnWriteDoesNotMakeASnapshotNewer)
{
  KeyMirror sender;
  sender.replace({ { "a", "1", 3 } }, 5);
  sender.put({ "own", "x", 10 });
  KeyMirror receiver;
  receiver.replace({ { "a", "1", 3 }, { "leader", "b", 8 } }, 9);
  receiver.applyDelta(sender.changesSince(0));
  EXPECT_TRUE(receiver.items().contains("leader"));
  EXPECT_TRUE(receiver.items().contains("own"));
  KeyMirror follower;
  follower.applyDelta(sender.changesSince(0));
  EXPECT_EQ(follower.completeRevision(), 5);
  EXPECT_TRUE(follower.put({ "leader", "b", 8 }));
}

// Guards against removed keys that stay in a mirror, because a sender that has
// applied all changes does not say so.
TEST(KeyMirrorTest, SnapshotOfACompleteMirrorRemovesKeys)
{
  KeyMirror sender;
  sender.replace({ { "a", "1", 3 } }, 5);
  sender.put({ "b", "1", 9 });
  sender.markCompleteTo(9);
  KeyMirror receiver;
  receiver.replace({ { "gone", "1", 4 } }, 4);
  receiver.applyDelta(sender.changesSince(0));
  EXPECT_FALSE(receiver.items().contains("gone"));
}

} // namespace lentilrack::core
