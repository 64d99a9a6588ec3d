#include "core/answer_assembler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilrack::core {

namespace {

const AttemptId kFirst{ "t.1", 1 };
const AttemptId kSecond{ "t.1", 2 };

Chunk
chunkOf(std::string text,
        std::int64_t tokens = 1,
        std::optional<std::int64_t> version = 7)
{
  return { std::move(text), tokens, version };
}

Outcome
done(std::int64_t total)
{
  Outcome outcome;
  outcome.verdict = Verdict::Done;
  outcome.totalTokens = total;
  return outcome;
}

std::string
textOf(const AnswerAssembler& assembler)
{
  std::string text;
  for (const auto& chunk : assembler.chunks()) {
    text += chunk.text;
  }
  return text;
}

} // namespace

TEST(AnswerAssembler, KeepsSegmentsOfEachWeightVersion)
{
  AnswerAssembler assembler(kFirst);
  assembler.add(kFirst, chunkOf("a", 2, 7));
  assembler.add(kFirst, chunkOf("b", 1, 7));
  assembler.add(kFirst, chunkOf("c", 3, 8));
  const auto outcome = assembler.finish(kFirst, done(6));
  ASSERT_TRUE(outcome);
  EXPECT_EQ(outcome->verdict, Verdict::Done);
  EXPECT_EQ(outcome->segments,
            (std::vector<Segment>{ { 7, 0, 3 }, { 8, 3, 6 } }));
}

// Guards against returning the answer of an interrupted stream as a short one.
TEST(AnswerAssembler, AnswerThatEndsEarlyIsAnError)
{
  AnswerAssembler assembler(kFirst);
  assembler.add(kFirst, chunkOf("a"));
  const auto outcome = assembler.finish(kFirst, done(2));
  EXPECT_EQ(outcome->verdict, Verdict::Unknown);
  EXPECT_EQ(outcome->reason, "incomplete_answer");
}

TEST(AnswerAssembler, AnswerWithTooManyTokensIsAnError)
{
  AnswerAssembler assembler(kFirst);
  assembler.add(kFirst, chunkOf("a", 3));
  EXPECT_EQ(assembler.finish(kFirst, done(2))->verdict, Verdict::Unknown);
}

// Guards against reporting NotRun for an attempt that produced tokens.
TEST(AnswerAssembler, NotRunAfterTokensIsUnknown)
{
  AnswerAssembler assembler(kFirst);
  assembler.add(kFirst, chunkOf("a"));
  Outcome refused;
  refused.verdict = Verdict::NotRun;
  EXPECT_EQ(assembler.finish(kFirst, refused)->verdict, Verdict::Unknown);
}

TEST(AnswerAssembler, ResumedAnswerCountsFromItsOffset)
{
  AnswerAssembler assembler(kFirst, 10);
  assembler.add(kFirst, chunkOf("a", 2, 7));
  const auto outcome = assembler.finish(kFirst, done(12));
  EXPECT_EQ(outcome->verdict, Verdict::Done);
  EXPECT_EQ(outcome->segments, (std::vector<Segment>{ { 7, 10, 12 } }));
}

// Guards against an answer that changes because of a chunk or outcome of
// another attempt, or one that arrives after the end.
RC_GTEST_PROP(AnswerAssembler, AnswerNeverMixesAttempts, ())
{
  AnswerAssembler assembler(kFirst);
  std::string expected;
  std::int64_t tokens = 0;
  std::optional<Outcome> ended;
  const auto steps =
    *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 5));
  for (const int step : steps) {
    if (step < 2) {
      const bool isAccepted = assembler.add(kFirst, chunkOf("1"));
      RC_ASSERT(isAccepted == !ended);
      expected += isAccepted ? "1" : "";
      tokens += isAccepted ? 1 : 0;
    } else if (step < 4) {
      RC_ASSERT(!assembler.add(kSecond, chunkOf("2")));
      RC_ASSERT(!assembler.finish(kSecond, done(tokens)));
    } else {
      const auto outcome = assembler.finish(kFirst, done(tokens));
      RC_ASSERT(outcome.has_value() == !ended);
      ended = ended ? ended : outcome;
    }
  }
  RC_ASSERT(textOf(assembler) == expected);
  const bool isDone = !ended || ended->verdict == Verdict::Done;
  RC_ASSERT(isDone);
}

} // namespace lentilrack::core
