#include "core/event_stream.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace lentilrack::core {

namespace {

constexpr const char* kStream = "id: 1\ndata: a\n\n"
                                "weights: 3\nid: 2\ndata: b\n\n"
                                "id: 3\ndata: c\n\n";

} // namespace

// Guards against returning different events depending on how the network splits
// the stream into reads.
RC_GTEST_PROP(EventStreamParserTest, EventsDoNotDependOnChunkSizes, ())
{
  EventStreamParser parser("weights");
  const std::string stream(kStream);
  std::vector<StreamEvent> events;
  std::size_t start = 0;
  while (start < stream.size()) {
    const auto size = static_cast<std::size_t>(*rc::gen::inRange(1, 12));
    const auto parsed =
      parser.parseEvents(std::string_view(stream).substr(start, size));
    events.insert(events.end(), parsed.begin(), parsed.end());
    start += size;
  }
  RC_ASSERT(events.size() == 3U);
  RC_ASSERT(events[1].version == 3);
  RC_ASSERT(events[2].data == "c");
  RC_ASSERT(!parser.hasPartialEvent());
}

// Guards against returning an incomplete event as a complete one.
TEST(EventStreamParserTest, IncompleteEventIsNotReturned)
{
  EventStreamParser parser("weights");
  EXPECT_EQ(parser.parseEvents("id: 1\ndata: a\n\nid: 2\ndata: b").size(), 1U);
  EXPECT_TRUE(parser.hasPartialEvent());
}

// Guards against building a text in which an event is missing or appears twice.
TEST(EventTextBuilderTest, OnlyTheNextEventIsAppended)
{
  EventTextBuilder text;
  text.startRun(1);
  EXPECT_TRUE(text.append({ 1, "a", 0 }));
  EXPECT_FALSE(text.append({ 1, "a", 0 }));
  EXPECT_FALSE(text.append({ 3, "c", 0 }));
  EXPECT_TRUE(text.append({ 2, "b", 0 }));
  EXPECT_EQ(text.text(), "a\nb");
}

// Guards against listing a weight version that produced no event, and against
// omitting one that did.
TEST(EventTextBuilderTest, VersionsAreThoseThatProducedAnEvent)
{
  EventTextBuilder text;
  text.startRun(1);
  text.startRun(2);
  text.append({ 1, "a", 0 });
  text.append({ 2, "b", 4 });
  EXPECT_EQ(text.versions(), (std::set<std::int64_t>{ 2, 4 }));
}

// Guards against memory that grows without bound while a server in trouble
// sends bytes without end, and against an end of event that is missed because
// it arrives in two pieces.
TEST(EventStreamParserTest, EventWithoutEndIsOverlong)
{
  EventStreamParser parser("weights");
  const std::string piece(EventStreamParser::kMaxEventBytes / 4, 'x');
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(parser.parseEvents(piece).empty());
    EXPECT_FALSE(parser.isOverlong());
  }
  EXPECT_TRUE(parser.parseEvents("x").empty());
  EXPECT_TRUE(parser.isOverlong());
  EventStreamParser split("weights");
  EXPECT_TRUE(split.parseEvents("id: 1\ndata: a\n").empty());
  EXPECT_EQ(split.parseEvents("\n").size(), 1U);
}

} // namespace lentilrack::core
