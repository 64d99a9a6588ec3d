#pragma once

#include "core/identity.h"
#include "core/work.h"

#include <optional>
#include <vector>

namespace lentilrack::core {

/// Assembles the answer of one attempt from its chunks. Chunks of other
/// attempts and chunks after the end are refused, so an answer never mixes
/// attempts. An answer with missing tokens is reported as an error, not as a
/// short answer.
class AnswerAssembler
{
public:
  /// `offset` is the number of tokens that the receiver already has.
  explicit AnswerAssembler(AttemptId attempt, std::int64_t offset = 0);

  /// Appends a chunk. Returns false if the chunk belongs to another attempt or
  /// the answer has ended.
  bool add(const AttemptId& attempt, Chunk chunk);

  /// Ends the answer and returns the outcome to report, with the segments
  /// received. The verdict is Done only if all tokens were received. Returns
  /// nothing, and changes nothing, if the outcome belongs to another attempt or
  /// the answer has already ended.
  std::optional<Outcome> finish(const AttemptId& attempt, Outcome outcome);

  const AttemptId& attempt() const { return mAttempt; }
  const std::vector<Chunk>& chunks() const { return mChunks; }
  /// Moves the chunks out of the assembler.
  std::vector<Chunk> takeChunks() { return std::move(mChunks); }
  /// Returns the number of tokens received, including the offset.
  std::int64_t tokens() const { return mTokens; }
  /// Whether finish() has ended the answer.
  bool isFinished() const { return mIsFinished; }

private:
  AttemptId mAttempt;
  std::vector<Chunk> mChunks;
  std::vector<Segment> mSegments;
  /// Tokens received, including the offset.
  std::int64_t mTokens;
  bool mIsFinished = false;
};

/// Returns the outcome with its segments if the verdict is Done and the chunks
/// are the complete answer. Returns nothing otherwise.
std::optional<Outcome>
outcomeIfComplete(const Outcome& outcome, const std::vector<Chunk>& chunks);

} // namespace lentilrack::core
