#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lentilrack::core {

/// One complete server-sent event.
struct StreamEvent
{
  std::int64_t number = 0;
  std::string data;
  /// Weight version from this event on; 0 if it has not changed.
  std::int64_t version = 0;
};

/// Splits a byte stream into server-sent events, which end with an empty line.
/// Incomplete events are never returned.
class EventStreamParser
{
public:
  /// Maximum size of one event. A server in trouble may send bytes without end
  /// that contain no event.
  static constexpr std::size_t kMaxEventBytes = 1024UL * 1024;

  /// `versionField` is the lower-case name of the field that gives a new weight
  /// version.
  explicit EventStreamParser(std::string versionField);

  /// Appends bytes and returns the events that they complete.
  std::vector<StreamEvent> parseEvents(std::string_view bytes);
  /// Appends bytes and returns the bytes of each event that they complete,
  /// including the empty line at its end.
  std::vector<std::string> splitBlocks(std::string_view bytes);
  /// Parses the bytes of one event.
  StreamEvent parseBlock(std::string_view block) const;
  /// Whether there are bytes of an incomplete event.
  bool hasPartialEvent() const { return !mPartialEvent.empty(); }
  std::size_t partialBytes() const { return mPartialEvent.size(); }
  /// Whether the incomplete event is larger than an event may be. The stream
  /// must then be given up.
  bool isOverlong() const { return mPartialEvent.size() > kMaxEventBytes; }

private:
  std::string mVersionField;
  std::string mPartialEvent;
};

/// Builds the text of an item from the events of one or more runs. Each run
/// continues after the last complete event of the previous one.
class EventTextBuilder
{
public:
  /// Starts a run on weight version `version`. The first event of the run has
  /// the number lastNumber() + 1.
  void startRun(std::int64_t version) { mVersion = version; }
  /// Appends an event. Returns false, and changes nothing, if the number of the
  /// event is not lastNumber() + 1.
  bool append(const StreamEvent& event);

  /// Returns the number of the last event; 0 without events.
  std::int64_t lastNumber() const { return mLastNumber; }
  /// Returns the data of all events, separated by line feeds.
  const std::string& text() const { return mText; }
  /// Returns the weight versions that produced at least one event.
  const std::set<std::int64_t>& versions() const { return mVersions; }
  /// Removes all events.
  void clear();

private:
  std::string mText;
  std::int64_t mLastNumber = 0;
  std::int64_t mVersion = 0;
  std::set<std::int64_t> mVersions;
};

} // namespace lentilrack::core
