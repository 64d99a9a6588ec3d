#include "core/event_stream.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace lentilrack::core {

namespace {

constexpr const char* kStream = "id: 1\ndata: a\n\n"
                                "weights: 3\nid: 2\ndata: b\n\n"
                                "id: 3\ndata: c\n\n";

} // namespace

// Guards against events that depend on how the network splits the stream.
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

// Guards against a text that lacks an event or has one twice.
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

// Guards against listing versions without events and against missing ones.
TEST(EventTextBuilderTest, VersionsAreThoseThatProducedAnEvent)
{
  EventTextBuilder text;
  text.startRun(1);
  text.startRun(2);
  text.append({ 1, "a", 0 });
  text.append({ 2, "b", 4 });
  EXPECT_EQ(text.versions(), (std::set<std::int64_t>{ 2, 4 }));
}

} // namespace lentilrack::core
