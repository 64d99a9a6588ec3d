#pragma once

#include "backends/engine_client.h"
#include "core/work.h"
#include "wire/object_reader.h"

#include <functional>
#include <string>
#include <string_view>

namespace lentilrack::backends {

/// Reads the lines of an engine's answer as they arrive and checks that the
/// answer is whole and within what was asked for.
class EngineAnswerParser
{
public:
  EngineAnswerParser(const GenerateRequest& request,
                     std::function<void(core::Chunk)> onChunk);

  /// Takes the next piece of the body. False if the answer is malformed.
  bool feed(std::string_view data);
  /// The body has ended. False if the answer is malformed or incomplete.
  bool finish();

  /// Tokens before and in this answer.
  std::int64_t totalTokens() const { return mTokens; }
  /// Tokens without a known version are in no segment.
  const std::vector<core::Segment>& segments() const { return mSegments; }

private:
  bool parseLine(std::string_view line);
  bool parseTokens(const wire::Json& line);
  bool parseDone(const wire::Json& line);
  void addSegment(std::int64_t version, std::int64_t from, std::int64_t to);

  std::int64_t mMaxTokens;
  std::optional<std::int64_t> mVersion;
  std::function<void(core::Chunk)> mOnChunk;
  std::string mPartialLine;
  std::int64_t mTokens;
  std::vector<core::Segment> mSegments;
  bool mIsComplete = false;
  bool mIsMalformed = false;
};

} // namespace lentilrack::backends
