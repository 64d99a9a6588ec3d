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
textOf(const AnswerAssembler& assembly)
{
  std::string text;
  for (const auto& chunk : assembly.chunks()) {
    text += chunk.text;
  }
  return text;
}

} // namespace

TEST(AnswerAssembler, KeepsSegmentsOfEachWeightVersion)
{
  AnswerAssembler assembly(kFirst);
  assembly.add(kFirst, chunkOf("a", 2, 7));
  assembly.add(kFirst, chunkOf("b", 1, 7));
  assembly.add(kFirst, chunkOf("c", 3, 8));
  const auto outcome = assembly.finish(kFirst, done(6));
  ASSERT_TRUE(outcome);
  EXPECT_EQ(outcome->verdict, Verdict::Done);
  EXPECT_EQ(outcome->segments,
            (std::vector<Segment>{ { 7, 0, 3 }, { 8, 3, 6 } }));
}

// Guards against a stream that broke off being handed over as a short answer.
TEST(AnswerAssembler, AnswerThatEndsEarlyIsAnError)
{
  AnswerAssembler assembly(kFirst);
  assembly.add(kFirst, chunkOf("a"));
  const auto outcome = assembly.finish(kFirst, done(2));
  EXPECT_EQ(outcome->verdict, Verdict::Unknown);
  EXPECT_EQ(outcome->reason, "incomplete_answer");
}

TEST(AnswerAssembler, AnswerWithTooManyTokensIsAnError)
{
  AnswerAssembler assembly(kFirst);
  assembly.add(kFirst, chunkOf("a", 3));
  EXPECT_EQ(assembly.finish(kFirst, done(2))->verdict, Verdict::Unknown);
}

// Guards against a refusal that contradicts tokens which have come.
TEST(AnswerAssembler, NotRunAfterTokensIsUnknown)
{
  AnswerAssembler assembly(kFirst);
  assembly.add(kFirst, chunkOf("a"));
  Outcome refused;
  refused.verdict = Verdict::NotRun;
  EXPECT_EQ(assembly.finish(kFirst, refused)->verdict, Verdict::Unknown);
}

TEST(AnswerAssembler, ResumedAnswerCountsFromItsOffset)
{
  AnswerAssembler assembly(kFirst, 10);
  assembly.add(kFirst, chunkOf("a", 2, 7));
  const auto outcome = assembly.finish(kFirst, done(12));
  EXPECT_EQ(outcome->verdict, Verdict::Done);
  EXPECT_EQ(outcome->segments, (std::vector<Segment>{ { 7, 10, 12 } }));
}

// Guards against crossed replies: whatever arrives of other attempts, and
// however late, the answer is that of one attempt.
RC_GTEST_PROP(AnswerAssembler, IsNeverSplicedFromAttempts, ())
{
  AnswerAssembler assembly(kFirst);
  std::string expected;
  std::int64_t tokens = 0;
  std::optional<Outcome> ended;
  const auto steps =
    *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 5));
  for (const int step : steps) {
    if (step < 2) {
      const bool isTaken = assembly.add(kFirst, chunkOf("1"));
      RC_ASSERT(isTaken == !ended);
      expected += isTaken ? "1" : "";
      tokens += isTaken ? 1 : 0;
    } else if (step < 4) {
      RC_ASSERT(!assembly.add(kSecond, chunkOf("2")));
      RC_ASSERT(!assembly.finish(kSecond, done(tokens)));
    } else {
      const auto outcome = assembly.finish(kFirst, done(tokens));
      RC_ASSERT(outcome.has_value() == !ended);
      ended = ended ? ended : outcome;
    }
  }
  RC_ASSERT(textOf(assembly) == expected);
  const bool isDone = !ended || ended->verdict == Verdict::Done;
  RC_ASSERT(isDone);
}

} // namespace lentilrack::core
