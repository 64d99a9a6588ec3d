#include "core/version_tracker.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace lentilrack::core {

// Guards against treating a stale sample as fresh because a report of an older
// weight version arrives late.
TEST(VersionTracker, NewestVersionNeverGoesBack)
{
  const bool holds = rc::check([](const std::vector<std::int64_t>& reports) {
    VersionTracker tracker;
    std::optional<std::int64_t> highest;
    for (const auto report : reports) {
      const bool isNewer = !highest || report > *highest;
      RC_ASSERT(tracker.observe("m", report) == isNewer);
      highest = isNewer ? report : *highest;
      RC_ASSERT(tracker.newest("m") == highest);
    }
  });
  EXPECT_TRUE(holds);
}

TEST(VersionTracker, ModelsAreSeparate)
{
  VersionTracker tracker;
  tracker.observe("a", 7);
  EXPECT_EQ(tracker.newest("a"), 7);
  EXPECT_EQ(tracker.newest("b"), std::nullopt);
}

// Guards against computing a sample's age from its last segment only, when the
// weights changed while the sample was generated.
TEST(VersionTracker, AgeCountsFromTheOldestSegment)
{
  const std::vector<Segment> segments{ { 5, 0, 2 }, { 3, 2, 4 }, { 6, 4, 9 } };
  EXPECT_EQ(oldestVersion(segments), 3);
  EXPECT_EQ(sampleAge(segments, 7), 4);
}

TEST(VersionTracker, AgeOfAnEngineAheadOfTheStoreIsZero)
{
  EXPECT_EQ(sampleAge({ { 8, 0, 4 } }, 7), 0);
}

// Guards against treating an answer whose weight versions are unknown as fresh.
TEST(VersionTracker, NoSegmentsMeanNoAge)
{
  EXPECT_EQ(sampleAge({}, 7), std::nullopt);
  EXPECT_EQ(oldestVersion({}), std::nullopt);
}

TEST(VersionTracker, SegmentsGrowByVersion)
{
  std::vector<Segment> segments;
  appendSegment(segments, 4, 2);
  appendSegment(segments, 4, 1);
  appendSegment(segments, 5, 0);
  appendSegment(segments, 5, 3);
  const std::vector<Segment> expected{ { 4, 0, 3 }, { 5, 3, 6 } };
  EXPECT_EQ(segments, expected);
}

// Guards against accepting a sample in which some tokens have no version or two
// of them, because its segments leave gaps or overlap.
TEST(VersionTracker, GapsAndOverlapsAreNotCovered)
{
  EXPECT_TRUE(coversTokens({ { 1, 0, 3 }, { 2, 3, 5 } }, 5));
  EXPECT_FALSE(coversTokens({ { 1, 0, 3 }, { 2, 4, 5 } }, 5));
  EXPECT_FALSE(coversTokens({ { 1, 0, 3 }, { 2, 2, 5 } }, 5));
  EXPECT_FALSE(coversTokens({ { 1, 0, 3 } }, 5));
  EXPECT_FALSE(coversTokens({ { 1, 1, 5 } }, 5));
}

} // namespace lentilrack::core
