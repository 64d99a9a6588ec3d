#include "backends/engine_answer.h"

#include "wire/object_reader.h"

namespace lentilrack::backends {

namespace {

constexpr std::size_t kLongestLine = 1024UL * 1024;

} // namespace

EngineAnswer::EngineAnswer(const GenerateRequest& request,
                           std::function<void(core::Chunk)> onChunk)
  : mMaxTokens(request.maxTokens)
  , mVersion(request.version)
  , mOnChunk(std::move(onChunk))
  , mTokens(request.offset)
{
}

bool
EngineAnswer::take(std::string_view data)
{
  while (!mBad && !data.empty()) {
    const auto end = data.find('\n');
    mRest.append(data.substr(0, end));
    if (end == std::string_view::npos) {
      mBad = mRest.size() > kLongestLine;
      break;
    }
    mBad = !takeLine(mRest);
    mRest.clear();
    data.remove_prefix(end + 1);
  }
  return !mBad;
}

bool
EngineAnswer::end()
{
  if (!mBad && !mRest.empty()) {
    mBad = !takeLine(mRest);
  }
  return mDone && !mBad;
}

bool
EngineAnswer::takeLine(std::string_view line)
{
  if (line.empty()) {
    return true;
  }
  const auto json = wire::parseJson(line);
  if (mDone || !json) {
    return false;
  }
  const bool isLast = json.value().contains("done");
  return isLast ? takeDone(json.value()) : takeTokens(json.value());
}

bool
EngineAnswer::takeTokens(const wire::Json& line)
{
  auto chunk = wire::decodeWith([&] {
    wire::ObjectReader reader(line);
    return core::Chunk{ reader.required<std::string>("text"),
                        reader.integer("tokens", 1, mMaxTokens - mTokens),
                        reader.maybe<std::int64_t>("version") };
  });
  if (!chunk) {
    return false;
  }
  const auto version = chunk.value().version;
  if (mVersion && version && *version != *mVersion) {
    return false;
  }
  const auto from = mTokens;
  mTokens += chunk.value().tokens;
  if (version) {
    addSegment(*version, from, mTokens);
  }
  if (mOnChunk) {
    mOnChunk(std::move(chunk).value());
  }
  return true;
}

bool
EngineAnswer::takeDone(const wire::Json& line)
{
  const auto isWhole = wire::decodeWith([&] {
    wire::ObjectReader reader(line);
    return reader.required<bool>("done") &&
           reader.required<std::int64_t>("total") == mTokens;
  });
  mDone = isWhole && isWhole.value();
  return mDone;
}

void
EngineAnswer::addSegment(std::int64_t version,
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
