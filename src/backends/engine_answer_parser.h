#pragma once

#include "backends/engine_client.h"
#include "core/work.h"
#include "wire/object_reader.h"

#include <functional>
#include <string>
#include <string_view>

namespace lentilrack::backends {

/// Parses the lines of an engine's streamed answer as they arrive. Checks that
/// the answer is complete and within the token limit and the version of its
/// request.
class EngineAnswerParser
{
public:
  /// `onChunk` is called for each chunk of the answer; may be empty.
  EngineAnswerParser(const GenerateRequest& request,
                     std::function<void(core::Chunk)> onChunk);

  /// Parses the next part of the body. Returns false if the answer is
  /// malformed.
  bool feed(std::string_view data);
  /// Must be called at the end of the body. Returns false if the answer is
  /// malformed or incomplete.
  bool finish();

  /// Returns the number of tokens so far, including those before the offset.
  std::int64_t totalTokens() const { return mTokens; }
  /// Returns the token ranges by weight version. Tokens without a reported
  /// version belong to no segment.
  const std::vector<core::Segment>& segments() const { return mSegments; }

private:
  // parseLine(), parseTokens() and parseDone() return false if the line is
  // malformed.
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
