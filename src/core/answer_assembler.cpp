#include "core/answer_assembler.h"

namespace lentilrack::core {

AnswerAssembler::AnswerAssembler(AttemptId attempt, std::int64_t offset)
  : mAttempt(std::move(attempt))
  , mTokens(offset)
{
}

bool
AnswerAssembler::add(const AttemptId& attempt, Chunk chunk)
{
  if (mIsFinished || attempt != mAttempt || chunk.tokens < 0) {
    return false;
  }
  if (chunk.version && chunk.tokens > 0) {
    const auto from = mTokens;
    const auto to = mTokens + chunk.tokens;
    if (!mSegments.empty() && mSegments.back().version == *chunk.version &&
        mSegments.back().to == from) {
      mSegments.back().to = to;
    } else {
      mSegments.push_back({ *chunk.version, from, to });
    }
  }
  mTokens += chunk.tokens;
  mChunks.push_back(std::move(chunk));
  return true;
}

std::optional<Outcome>
AnswerAssembler::finish(const AttemptId& attempt, Outcome outcome)
{
  if (mIsFinished || attempt != mAttempt) {
    return std::nullopt;
  }
  mIsFinished = true;
  if (outcome.verdict == Verdict::Done && outcome.totalTokens != mTokens) {
    outcome.verdict = Verdict::Unknown;
    outcome.reason = "incomplete_answer";
  } else if (outcome.verdict == Verdict::NotRun && !mChunks.empty()) {
    // Tokens were received, so the attempt ran despite the reported NotRun.
    outcome.verdict = Verdict::Unknown;
    outcome.reason = "contradictory_outcome";
  }
  outcome.segments = mSegments;
  return outcome;
}

std::optional<Outcome>
outcomeIfComplete(const Outcome& outcome, const std::vector<Chunk>& chunks)
{
  const AttemptId attempt{ "", 1 };
  AnswerAssembler assembler(attempt);
  for (const auto& chunk : chunks) {
    assembler.add(attempt, chunk);
  }
  auto assembled = assembler.finish(attempt, outcome);
  const bool isComplete =
    !chunks.empty() && assembled && assembled->verdict == Verdict::Done;
  return isComplete ? assembled : std::nullopt;
}

} // namespace lentilrack::core
