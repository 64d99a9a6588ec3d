// Openings, homes and bad input of a step.
#include "core/step.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

const TimePoint kStart{ std::chrono::hours(1) };

const StepSpec kSpec{
  "trainer", "step", "model", "kind", { "a", "b" }, 2, 2, 50
};

Step
openStep(std::int64_t opening, const std::vector<Slot>& have = {})
{
  auto step = Step::open(kSpec, opening, have);
  EXPECT_TRUE(step.value().setStalenessBound(1).has_value());
  return std::move(step).value();
}

void
runAll(Step& step)
{
  while (const auto start = step.startNext(kStart, 0)) {
    step.addChunk(start->id, { "t", 1, 1 });
    Outcome outcome;
    outcome.verdict = Verdict::Done;
    outcome.totalTokens = 1;
    ASSERT_EQ(step.finish(start->id, outcome, kStart, 0),
              CopyOutcome::NeedsScore);
    step.recordScore(start->id, 1);
  }
}

template<typename T>
StepErrorCode
faultOf(const Result<T, StepError>& result)
{
  EXPECT_FALSE(result.has_value());
  EXPECT_FALSE(result.error().message.empty());
  return result.error().errorCode;
}

StepErrorCode
openFault(const StepSpec& spec, const std::vector<Slot>& have = {})
{
  return faultOf(Step::open(spec, 1, have));
}

/// The step still works and has handed nothing over twice.
void
expectUnharmed(Step& step)
{
  const auto handOver = step.pull(step.opening(), {}, 1);
  ASSERT_TRUE(handOver.has_value());
  EXPECT_EQ(handOver.value().samples.size(), 4U);
}

} // namespace

// Guards against work that the trainer already has being run again after the
// loss of the home.
TEST(StepOpening, NewHomeRunsOnlyWhatTheTrainerLacks)
{
  auto step = openStep(2, { { 0, 0 }, { 0, 1 }, { 1, 1 } });
  const auto start = step.startNext(kStart, 0);
  ASSERT_TRUE(start.has_value());
  EXPECT_EQ(start->slot, (Slot{ 1, 0 }));
  EXPECT_FALSE(step.startNext(kStart, 0).has_value());
  step.addChunk(start->id, { "t", 1, 1 });
  Outcome outcome;
  outcome.verdict = Verdict::Done;
  outcome.totalTokens = 1;
  step.finish(start->id, outcome, kStart, 0);
  step.recordScore(start->id, 1);
  const auto handOver = step.pull(2, { { 0, 0 }, { 0, 1 }, { 1, 1 } }, 1);
  ASSERT_TRUE(handOver.has_value());
  EXPECT_EQ(handOver.value().samples.size(), 1U);
  EXPECT_TRUE(handOver.value().complete);
}

// Guards against two homes of one step both serving the current opening.
TEST(StepOpening, OldHomeRefusesTheNewOpening)
{
  auto oldHome = openStep(1);
  auto newHome = openStep(2);
  EXPECT_EQ(faultOf(oldHome.pull(2, {}, 1)), StepErrorCode::UnknownOpening);
  EXPECT_EQ(faultOf(newHome.pull(1, {}, 1)), StepErrorCode::OldOpening);
  EXPECT_EQ(faultOf(newHome.acknowledge(1, {})), StepErrorCode::OldOpening);
}

// Guards against losing the samples of a home that comes back into use.
TEST(StepOpening, ReopeningOffersWhatTheTrainerLacks)
{
  auto step = openStep(1);
  runAll(step);
  ASSERT_TRUE(step.pull(1, {}, 1).has_value());
  ASSERT_TRUE(step.reopen(kSpec, 3, { { 0, 0 } }).has_value());
  const auto handOver = step.pull(3, { { 0, 0 } }, 1);
  ASSERT_TRUE(handOver.has_value());
  EXPECT_EQ(handOver.value().samples.size(), 3U);
}

// Guards against a trainer that went back to a checkpoint waiting for a sample
// that it once acknowledged.
TEST(StepOpening, ReopeningMakesTheListTheWholeTruth)
{
  auto step = openStep(1);
  runAll(step);
  ASSERT_TRUE(step.pull(1, {}, 1).has_value());
  ASSERT_TRUE(step.acknowledge(1, { { 0, 0 }, { 0, 1 } }).has_value());
  ASSERT_TRUE(step.reopen(kSpec, 2, {}).has_value());
  const auto start = step.startNext(kStart, 0);
  ASSERT_TRUE(start.has_value());
  EXPECT_EQ(start->slot.group, 0);
}

// Guards against a delayed pull bringing back what was acknowledged since.
TEST(StepOpening, AcknowledgedSlotStaysSoWithinAnOpening)
{
  auto step = openStep(1);
  runAll(step);
  ASSERT_TRUE(step.pull(1, {}, 1).has_value());
  ASSERT_TRUE(step.acknowledge(1, { { 0, 0 }, { 0, 1 }, { 1, 0 }, { 1, 1 } })
                .has_value());
  const auto delayed = step.pull(1, {}, 1);
  ASSERT_TRUE(delayed.has_value());
  EXPECT_TRUE(delayed.value().samples.empty());
  EXPECT_FALSE(step.startNext(kStart, 8).has_value());
}

TEST(StepOpening, RepeatedOpeningChangesNothing)
{
  auto step = openStep(1);
  runAll(step);
  EXPECT_TRUE(step.reopen(kSpec, 1, {}).has_value());
  expectUnharmed(step);
}

TEST(StepOpening, OtherPromptsAreRefusedAndLeaveTheStepUnharmed)
{
  auto step = openStep(2);
  runAll(step);
  auto other = kSpec;
  other.prompts[0] = "other";
  EXPECT_EQ(faultOf(step.reopen(other, 2, {})), StepErrorCode::DifferentStep);
  EXPECT_EQ(faultOf(step.reopen(other, 3, {})), StepErrorCode::DifferentStep);
  EXPECT_EQ(faultOf(step.reopen(kSpec, 1, {})), StepErrorCode::OldOpening);
  EXPECT_EQ(step.opening(), 2);
  expectUnharmed(step);
}

TEST(StepOpening, UnsentSampleCannotBeAcknowledged)
{
  auto step = openStep(1);
  runAll(step);
  EXPECT_EQ(faultOf(step.acknowledge(1, { { 0, 0 } })),
            StepErrorCode::NeverSent);
  EXPECT_EQ(faultOf(step.pull(1, { { 0, 0 } }, 1)), StepErrorCode::NeverSent);
  EXPECT_EQ(faultOf(step.reopen(kSpec, 1, { { 0, 0 } })),
            StepErrorCode::NeverSent);
  EXPECT_EQ(faultOf(step.acknowledge(1, { { 2, 0 } })),
            StepErrorCode::BadInput);
  EXPECT_EQ(faultOf(step.acknowledge(1, { { 0, -1 } })),
            StepErrorCode::BadInput);
  expectUnharmed(step);
}

// Guards against the sent half of a list with an unsent slot being applied.
TEST(StepOpening, RefusedAcknowledgementIsNotAppliedInPart)
{
  auto step = openStep(1, { { 1, 0 } });
  runAll(step);
  EXPECT_EQ(faultOf(step.acknowledge(1, { { 1, 0 }, { 0, 0 } })),
            StepErrorCode::NeverSent);
  EXPECT_EQ(step.unacknowledged(), 3);
}

TEST(StepOpening, BadNumbersAreRefused)
{
  auto spec = kSpec;
  spec.quorum = 3;
  EXPECT_EQ(openFault(spec), StepErrorCode::BadInput);
  spec.quorum = 0;
  EXPECT_EQ(openFault(spec), StepErrorCode::BadInput);
  spec = kSpec;
  spec.groupSize = -1;
  EXPECT_EQ(openFault(spec), StepErrorCode::BadInput);
  spec.groupSize = std::int64_t{ 1 } << 62;
  EXPECT_EQ(openFault(spec), StepErrorCode::BadInput);
  spec = kSpec;
  spec.prompts.clear();
  EXPECT_EQ(openFault(spec), StepErrorCode::BadInput);
  spec = kSpec;
  spec.maxTokens = 0;
  EXPECT_EQ(openFault(spec), StepErrorCode::BadInput);
  EXPECT_EQ(openFault(kSpec, { { 5, 0 } }), StepErrorCode::BadInput);
  EXPECT_EQ(faultOf(Step::open(kSpec, 0, {})), StepErrorCode::BadInput);
}

TEST(StepOpening, NegativeBoundAndVersionLeaveTheStepUnharmed)
{
  auto step = openStep(1);
  runAll(step);
  EXPECT_EQ(faultOf(step.setStalenessBound(-1)), StepErrorCode::BadInput);
  EXPECT_EQ(faultOf(step.pull(1, {}, -1)), StepErrorCode::BadInput);
  expectUnharmed(step);
}

// Guards against one answer of unbounded size.
TEST(StepOpening, LargeStepsAreHandedOverInParts)
{
  Step::Limits limits;
  limits.maxPullBytes = 1;
  auto step = Step::open(kSpec, 1, {}, defaultStepPolicy(), limits).value();
  ASSERT_TRUE(step.setStalenessBound(1).has_value());
  runAll(step);
  const auto first = step.pull(1, {}, 1).value();
  EXPECT_EQ(first.samples.size(), 2U);
  EXPECT_FALSE(first.complete);
  const auto second = step.pull(1, { { 0, 0 }, { 0, 1 } }, 1).value();
  EXPECT_EQ(second.samples.size(), 2U);
  EXPECT_TRUE(second.complete);
}

} // namespace lentilrack::core
