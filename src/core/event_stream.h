#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lentilrack::core {

/// One whole event of a stream.
struct StreamEvent
{
  std::int64_t number = 0;
  std::string data;
  /// The version of the weights from this event on; 0 if it did not change.
  std::int64_t version = 0;
};

/// Cuts a byte stream into events, which end with an empty line. An event
/// that is not whole is never handed out.
class EventStreamParser
{
public:
  /// `versionField` is the lower-case name of the line that tells a change of
  /// the weights.
  explicit EventStreamParser(std::string versionField);

  std::vector<StreamEvent> parseEvents(std::string_view bytes);
  /// The same events as they came, each with its empty line.
  std::vector<std::string> splitBlocks(std::string_view bytes);
  StreamEvent parseBlock(std::string_view block) const;
  /// Whether bytes of an event that is not whole are left.
  bool hasPartialEvent() const { return !mPartialEvent.empty(); }

private:
  std::string mVersionField;
  std::string mPartialEvent;
};

/// The text of one item, put together from the events of one or more runs, of
/// which each goes on after the last whole event of the one before.
class EventTextBuilder
{
public:
  /// Begins a run that was asked to go on after lastNumber().
  void startRun(std::int64_t version) { mVersion = version; }
  /// False if the event does not continue the text.
  bool append(const StreamEvent& event);

  std::int64_t lastNumber() const { return mLastNumber; }
  /// Data of all events, separated by line feeds.
  const std::string& text() const { return mText; }
  /// Versions that made at least one event.
  const std::set<std::int64_t>& versions() const { return mVersions; }
  void clear();

private:
  std::string mText;
  std::int64_t mLastNumber = 0;
  std::int64_t mVersion = 0;
  std::set<std::int64_t> mVersions;
};

} // namespace lentilrack::core
