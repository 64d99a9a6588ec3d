#include "standins/prefix_cache.h"

#include <algorithm>

namespace lentilrack::standins {

namespace {

/// Number of events kept. A reader that asks for older ones sees a gap in the
/// sequence numbers.
constexpr std::size_t kMaxEvents = 1024;

} // namespace

PrefixCache::PrefixCache(std::int64_t limit, core::Millis lag)
  : mLimit(static_cast<std::size_t>(limit))
  , mLag(lag)
{
}

bool
PrefixCache::touch(const std::string& prefix, core::TimePoint now)
{
  if (prefix.empty() || mLimit == 0) {
    return false;
  }
  const auto found = std::ranges::find(mPrefixes, prefix);
  if (found != mPrefixes.end()) {
    mPrefixes.splice(mPrefixes.begin(), mPrefixes, found);
    return true;
  }
  mPrefixes.push_front(prefix);
  recordEvent(prefix, "add", now);
  if (mPrefixes.size() > mLimit) {
    recordEvent(mPrefixes.back(), "evict", now);
    mPrefixes.pop_back();
  }
  return false;
}

void
PrefixCache::clear(core::TimePoint now)
{
  for (const auto& prefix : mPrefixes) {
    recordEvent(prefix, "evict", now);
  }
  mPrefixes.clear();
}

wire::Json
PrefixCache::eventsAfter(std::int64_t after, core::TimePoint now) const
{
  auto events = wire::Json::array();
  auto next = after;
  for (const auto& event : mEvents) {
    const bool isVisible = event.time + mLag <= now;
    if (event.sequence > after && isVisible) {
      events.push_back({ { "seq", event.sequence },
                         { "prefix", event.prefix },
                         { "op", event.operation } });
      next = event.sequence;
    }
  }
  return { { "events", std::move(events) }, { "next", next } };
}

void
PrefixCache::recordEvent(std::string prefix,
                         const char* operation,
                         core::TimePoint now)
{
  ++mLastSequence;
  if (mSkippedEvents > 0) {
    --mSkippedEvents;
    return;
  }
  mEvents.push_back({ mLastSequence, std::move(prefix), operation, now });
  if (mEvents.size() > kMaxEvents) {
    mEvents.pop_front();
  }
}

} // namespace lentilrack::standins
