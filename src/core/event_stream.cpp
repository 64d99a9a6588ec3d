#include "core/event_stream.h"

#include "core/decimal.h"

#include <algorithm>
#include <iterator>

namespace lentilrack::core {

EventStreamParser::EventStreamParser(std::string versionField)
  : mVersionField(std::move(versionField))
{
}

std::vector<StreamEvent>
EventStreamParser::parseEvents(std::string_view bytes)
{
  std::vector<StreamEvent> events;
  std::ranges::transform(
    splitBlocks(bytes), std::back_inserter(events), [this](const auto& block) {
      return parseBlock(block);
    });
  return events;
}

std::vector<std::string>
EventStreamParser::splitBlocks(std::string_view bytes)
{
  constexpr std::string_view kEnd = "\n\n";
  std::vector<std::string> blocks;
  // The bytes before were searched by earlier calls, but for a first line feed.
  const auto searched = mPartialEvent.empty() ? 0 : mPartialEvent.size() - 1;
  mPartialEvent.append(bytes);
  std::size_t start = 0;
  for (auto end = mPartialEvent.find(kEnd, searched); end != std::string::npos;
       end = mPartialEvent.find(kEnd, start)) {
    blocks.push_back(mPartialEvent.substr(start, end + kEnd.size() - start));
    start = end + kEnd.size();
  }
  mPartialEvent.erase(0, start);
  return blocks;
}

StreamEvent
EventStreamParser::parseBlock(std::string_view block) const
{
  StreamEvent event;
  bool hasData = false;
  while (!block.empty()) {
    const auto end = block.find('\n');
    const auto line = block.substr(0, end);
    block.remove_prefix(end == std::string_view::npos ? block.size() : end + 1);
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view()
                                                 : line.substr(colon + 1);
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
    if (name == "id") {
      event.number = parseDecimal<std::int64_t>(value).value_or(0);
    } else if (name == "data") {
      event.data += hasData ? "\n" : "";
      event.data += value;
      hasData = true;
    } else if (name == mVersionField) {
      event.version = parseDecimal<std::int64_t>(value).value_or(0);
    }
  }
  return event;
}

bool
EventTextBuilder::append(const StreamEvent& event)
{
  if (event.number != mLastNumber + 1) {
    return false;
  }
  if (event.version > 0) {
    mVersion = event.version;
  }
  mText += mLastNumber == 0 ? "" : "\n";
  mText += event.data;
  mLastNumber = event.number;
  mVersions.insert(mVersion);
  return true;
}

void
EventTextBuilder::clear()
{
  *this = EventTextBuilder{};
}

} // namespace lentilrack::core
