#pragma once

#include "core/time.h"
#include "wire/object_reader.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string>

namespace lentilrack::standins {

/// Prompt prefixes that an engine has in memory, the least recently used goes
/// first, and the events about them, which readers see late and with gaps.
class PrefixCache
{
public:
  PrefixCache(std::int64_t limit, core::Millis lag);

  /// Whether the prefix was there; it is afterwards.
  bool touch(const std::string& prefix, core::TimePoint now);
  void clear(core::TimePoint now);
  /// The next `count` events are never seen; their numbers are used up.
  void skipEvents(std::int64_t count) { mSkippedEvents = count; }
  /// Body of GET /v1/cache_events.
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
