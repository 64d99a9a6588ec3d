#pragma once

#include "core/time.h"
#include "wire/object_reader.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string>

namespace lentilrack::standins {

/// LRU cache of the prompt prefixes of an engine. Records an event for each
/// insertion and eviction; readers see the events after a lag, and with gaps if
/// events were skipped or are no longer kept.
class PrefixCache
{
public:
  PrefixCache(std::int64_t limit, core::Millis lag);

  /// Marks the prefix as used, and inserts it if needed. Returns whether it was
  /// cached before.
  bool touch(const std::string& prefix, core::TimePoint now);
  /// Evicts all prefixes.
  void clear(core::TimePoint now);
  /// Leaves out the next `count` events. They use up their sequence numbers, so
  /// that readers see a gap.
  void skipEvents(std::int64_t count) { mSkippedEvents = count; }
  /// Returns the body of GET /v1/cache_events: the visible events with a
  /// sequence number above `after`.
  wire::Json eventsAfter(std::int64_t after, core::TimePoint now) const;

private:
  struct Event
  {
    std::int64_t sequence = 0;
    std::string prefix;
    const char* operation;
    core::TimePoint time;
  };

  void recordEvent(std::string prefix,
                   const char* operation,
                   core::TimePoint now);

  std::size_t mLimit;
  core::Millis mLag;
  std::list<std::string> mPrefixes;
  std::deque<Event> mEvents;
  std::int64_t mLastSequence = 0;
  std::int64_t mSkippedEvents = 0;
};

} // namespace lentilrack::standins
