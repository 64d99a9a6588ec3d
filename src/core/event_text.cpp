#include "core/event_text.h"

#include "core/decimal.h"

#include <algorithm>
#include <iterator>

namespace lentilrack::core {

EventCutter::EventCutter(std::string versionField)
  : mVersionField(std::move(versionField))
{
}

std::vector<StreamEvent>
EventCutter::take(std::string_view bytes)
{
  std::vector<StreamEvent> events;
  std::ranges::transform(takeBlocks(bytes),
                         std::back_inserter(events),
                         [this](const auto& block) { return parse(block); });
  return events;
}

std::vector<std::string>
EventCutter::takeBlocks(std::string_view bytes)
{
  constexpr std::string_view kEnd = "\n\n";
  std::vector<std::string> blocks;
  mRest.append(bytes);
  std::size_t start = 0;
  for (auto end = mRest.find(kEnd); end != std::string::npos;
       end = mRest.find(kEnd, start)) {
    blocks.push_back(mRest.substr(start, end + kEnd.size() - start));
    start = end + kEnd.size();
  }
  mRest.erase(0, start);
  return blocks;
}

StreamEvent
EventCutter::parse(std::string_view block) const
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
EventText::append(const StreamEvent& event)
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
EventText::clear()
{
  *this = EventText{};
}

} // namespace lentilrack::core
