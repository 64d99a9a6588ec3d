#pragma once

#include "core/identity.h"
#include "core/work.h"

#include <optional>
#include <vector>

namespace lentilrack::core {

/// Builds the answer of one attempt from its chunks. Chunks of other attempts
/// and late chunks are refused, so an answer is never spliced from several
/// attempts. An answer that ends early is an error, not a short answer.
class AnswerAssembler
{
public:
  /// `offset` is the number of tokens that the receiver has already.
  explicit AnswerAssembler(AttemptId attempt, std::int64_t offset = 0);

  /// Whether the chunk was taken.
  bool add(const AttemptId& attempt, Chunk chunk);

  /// Ends the answer and returns the outcome that may be reported: Done only
  /// if every token has come, with the segments as they were received. An
  /// outcome of another attempt leaves the answer open and gives nothing.
  std::optional<Outcome> finish(const AttemptId& attempt, Outcome outcome);

  const AttemptId& attempt() const { return mAttempt; }
  const std::vector<Chunk>& chunks() const { return mChunks; }
  std::vector<Chunk> takeChunks() { return std::move(mChunks); }
  std::int64_t tokens() const { return mTokens; }
  bool isFinished() const { return mIsFinished; }

private:
  AttemptId mAttempt;
  std::vector<Chunk> mChunks;
  std::vector<Segment> mSegments;
  /// Tokens received, including the offset.
  std::int64_t mTokens;
  bool mIsFinished = false;
};

/// The outcome with its segments if the chunks are the whole answer of a Done
/// outcome; nothing otherwise.
std::optional<Outcome>
outcomeIfComplete(const Outcome& outcome, const std::vector<Chunk>& chunks);

} // namespace lentilrack::core
