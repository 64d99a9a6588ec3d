#include "backends/engine_answer_parser.h"

#include "wire/object_reader.h"

namespace lentilrack::backends {

namespace {

constexpr std::size_t kMaxLineBytes = 1024UL * 1024;

} // namespace

EngineAnswerParser::EngineAnswerParser(const GenerateRequest& request,
                                       std::function<void(core::Chunk)> onChunk)
  : mMaxTokens(request.maxTokens)
  , mRequestedVersion(request.version)
  , mOnChunk(std::move(onChunk))
  , mTokenCount(request.offset)
{
}

bool
EngineAnswerParser::feed(std::string_view data)
{
  while (!mIsMalformed && !data.empty()) {
    const auto end = data.find('\n');
    mPartialLine.append(data.substr(0, end));
    if (end == std::string_view::npos) {
      mIsMalformed = mPartialLine.size() > kMaxLineBytes;
      break;
    }
    mIsMalformed = !parseLine(mPartialLine);
    mPartialLine.clear();
    data.remove_prefix(end + 1);
  }
  return !mIsMalformed;
}

bool
EngineAnswerParser::finish()
{
  if (!mIsMalformed && !mPartialLine.empty()) {
    mIsMalformed = !parseLine(mPartialLine);
  }
  return mIsComplete && !mIsMalformed;
}

bool
EngineAnswerParser::parseLine(std::string_view line)
{
  if (line.empty()) {
    return true;
  }
  const auto json = wire::parseJson(line);
  if (mIsComplete || !json) {
    return false;
  }
  const bool isLast = json.value().contains("done");
  return isLast ? parseDone(json.value()) : parseTokens(json.value());
}

bool
EngineAnswerParser::parseTokens(const wire::Json& line)
{
  auto chunk = wire::decodeWith([&] {
    wire::ObjectReader reader(line);
    return core::Chunk{ reader.required<std::string>("text"),
                        reader.integer("tokens", 1, mMaxTokens - mTokenCount),
                        reader.findValue<std::int64_t>("version") };
  });
  if (!chunk) {
    return false;
  }
  const auto version = chunk.value().version;
  if (mRequestedVersion && version && *version != *mRequestedVersion) {
    return false;
  }
  const auto from = mTokenCount;
  mTokenCount += chunk.value().tokens;
  if (version) {
    addSegment(*version, from, mTokenCount);
  }
  if (mOnChunk) {
    mOnChunk(std::move(chunk).value());
  }
  return true;
}

bool
EngineAnswerParser::parseDone(const wire::Json& line)
{
  const auto isComplete = wire::decodeWith([&] {
    wire::ObjectReader reader(line);
    return reader.required<bool>("done") &&
           reader.required<std::int64_t>("total") == mTokenCount;
  });
  mIsComplete = isComplete && isComplete.value();
  return mIsComplete;
}

void
EngineAnswerParser::addSegment(std::int64_t version,
                               std::int64_t from,
                               std::int64_t to)
{
  const bool isSame = !mSegments.empty() && mSegments.back().to == from &&
                      mSegments.back().version == version;
  if (isSame) {
    mSegments.back().to = to;
  } else {
    mSegments.push_back({ version, from, to });
  }
}

} // namespace lentilrack::backends
