// Tests of opening and reopening a step, of two homes, and of invalid input.
// The home of a step is the process that runs it. Each time the trainer opens
// the step, it passes a higher opening number.
#include "core/step.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

const TimePoint kStart{ std::chrono::hours(1) };

const StepSpec kSpec{
  "trainer", "step", "model", "kind", { "a", "b" }, 2, 2, 50
};

Step
openStep(std::int64_t opening, const std::vector<Slot>& received = {})
{
  auto step = Step::open(kSpec, opening, received);
  EXPECT_TRUE(step.value().setStalenessBound(1).has_value());
  return std::move(step).value();
}

void
completeAll(Step& step)
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
errorOf(const Result<T, StepError>& result)
{
  EXPECT_FALSE(result.has_value());
  EXPECT_FALSE(result.error().message.empty());
  return result.error().errorCode;
}

StepErrorCode
openError(const StepSpec& spec, const std::vector<Slot>& received = {})
{
  return errorOf(Step::open(spec, 1, received));
}

/// Expects that a pull returns all four samples.
void
expectAllSamplesPulled(Step& step)
{
  const auto pulled = step.pull(step.opening(), {}, 1);
  ASSERT_TRUE(pulled.has_value());
  EXPECT_EQ(pulled.value().samples.size(), 4U);
}

} // namespace

// Guards against running rollouts again after the home was lost although the
// trainer already has their samples.
TEST(StepOpening, NewHomeRunsOnlyMissingSlots)
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
  const auto pulled = step.pull(2, { { 0, 0 }, { 0, 1 }, { 1, 1 } }, 1);
  ASSERT_TRUE(pulled.has_value());
  EXPECT_EQ(pulled.value().samples.size(), 1U);
  EXPECT_TRUE(pulled.value().complete);
}

// Guards against two homes that serve the same opening of a step. Each home
// must refuse messages of an opening that it has not received and of one that a
// later opening has replaced.
TEST(StepOpening, OldHomeRefusesTheNewOpening)
{
  auto oldHome = openStep(1);
  auto newHome = openStep(2);
  EXPECT_EQ(errorOf(oldHome.pull(2, {}, 1)), StepErrorCode::UnknownOpening);
  EXPECT_EQ(errorOf(newHome.pull(1, {}, 1)), StepErrorCode::OldOpening);
  EXPECT_EQ(errorOf(newHome.acknowledge(1, {})), StepErrorCode::OldOpening);
}

// Guards against losing samples that a home has not yet delivered when the
// trainer opens the step there again.
TEST(StepOpening, ReopeningHandsOverMissingSamples)
{
  auto step = openStep(1);
  completeAll(step);
  ASSERT_TRUE(step.pull(1, {}, 1).has_value());
  ASSERT_TRUE(step.reopen(kSpec, 3, { { 0, 0 } }).has_value());
  const auto pulled = step.pull(3, { { 0, 0 } }, 1);
  ASSERT_TRUE(pulled.has_value());
  EXPECT_EQ(pulled.value().samples.size(), 3U);
}

// Guards against a trainer that waits forever for a sample because it
// acknowledged the sample before it returned to a checkpoint.
TEST(StepOpening, ReopeningReplacesTheListOfReceivedSamples)
{
  auto step = openStep(1);
  completeAll(step);
  ASSERT_TRUE(step.pull(1, {}, 1).has_value());
  ASSERT_TRUE(step.acknowledge(1, { { 0, 0 }, { 0, 1 } }).has_value());
  ASSERT_TRUE(step.reopen(kSpec, 2, {}).has_value());
  const auto start = step.startNext(kStart, 0);
  ASSERT_TRUE(start.has_value());
  EXPECT_EQ(start->slot.group, 0);
}

// Guards against answering a delayed pull with samples that the trainer has
// acknowledged since it sent the pull.
TEST(StepOpening, SlotStaysAcknowledgedWithinAnOpening)
{
  auto step = openStep(1);
  completeAll(step);
  ASSERT_TRUE(step.pull(1, {}, 1).has_value());
  ASSERT_TRUE(step.acknowledge(1, { { 0, 0 }, { 0, 1 }, { 1, 0 }, { 1, 1 } })
                .has_value());
  const auto delayedPull = step.pull(1, {}, 1);
  ASSERT_TRUE(delayedPull.has_value());
  EXPECT_TRUE(delayedPull.value().samples.empty());
  EXPECT_FALSE(step.startNext(kStart, 8).has_value());
}

TEST(StepOpening, RepeatedOpeningChangesNothing)
{
  auto step = openStep(1);
  completeAll(step);
  EXPECT_TRUE(step.reopen(kSpec, 1, {}).has_value());
  expectAllSamplesPulled(step);
}

TEST(StepOpening, OtherPromptsAreRefusedAndLeaveTheStepUnchanged)
{
  auto step = openStep(2);
  completeAll(step);
  auto other = kSpec;
  other.prompts[0] = "other";
  EXPECT_EQ(errorOf(step.reopen(other, 2, {})), StepErrorCode::DifferentStep);
  EXPECT_EQ(errorOf(step.reopen(other, 3, {})), StepErrorCode::DifferentStep);
  EXPECT_EQ(errorOf(step.reopen(kSpec, 1, {})), StepErrorCode::OldOpening);
  EXPECT_EQ(step.opening(), 2);
  expectAllSamplesPulled(step);
}

TEST(StepOpening, UnsentSampleCannotBeAcknowledged)
{
  auto step = openStep(1);
  completeAll(step);
  EXPECT_EQ(errorOf(step.acknowledge(1, { { 0, 0 } })),
            StepErrorCode::NeverSent);
  EXPECT_EQ(errorOf(step.pull(1, { { 0, 0 } }, 1)), StepErrorCode::NeverSent);
  EXPECT_EQ(errorOf(step.reopen(kSpec, 1, { { 0, 0 } })),
            StepErrorCode::NeverSent);
  EXPECT_EQ(errorOf(step.acknowledge(1, { { 2, 0 } })),
            StepErrorCode::BadInput);
  EXPECT_EQ(errorOf(step.acknowledge(1, { { 0, -1 } })),
            StepErrorCode::BadInput);
  expectAllSamplesPulled(step);
}

// Guards against acknowledging the valid slots of a list that is refused
// because another of its slots was never handed over.
TEST(StepOpening, RefusedAcknowledgementIsNotPartlyApplied)
{
  auto step = openStep(1, { { 1, 0 } });
  completeAll(step);
  EXPECT_EQ(errorOf(step.acknowledge(1, { { 1, 0 }, { 0, 0 } })),
            StepErrorCode::NeverSent);
  EXPECT_EQ(step.unacknowledged(), 3);
}

TEST(StepOpening, BadNumbersAreRefused)
{
  auto spec = kSpec;
  spec.quorum = 3;
  EXPECT_EQ(openError(spec), StepErrorCode::BadInput);
  spec.quorum = 0;
  EXPECT_EQ(openError(spec), StepErrorCode::BadInput);
  spec = kSpec;
  spec.groupSize = -1;
  EXPECT_EQ(openError(spec), StepErrorCode::BadInput);
  spec.groupSize = std::int64_t{ 1 } << 62;
  EXPECT_EQ(openError(spec), StepErrorCode::BadInput);
  spec = kSpec;
  spec.prompts.clear();
  EXPECT_EQ(openError(spec), StepErrorCode::BadInput);
  spec = kSpec;
  spec.maxTokens = 0;
  EXPECT_EQ(openError(spec), StepErrorCode::BadInput);
  EXPECT_EQ(openError(kSpec, { { 5, 0 } }), StepErrorCode::BadInput);
  EXPECT_EQ(errorOf(Step::open(kSpec, 0, {})), StepErrorCode::BadInput);
}

TEST(StepOpening, NegativeBoundAndVersionLeaveTheStepUnchanged)
{
  auto step = openStep(1);
  completeAll(step);
  EXPECT_EQ(errorOf(step.setStalenessBound(-1)), StepErrorCode::BadInput);
  EXPECT_EQ(errorOf(step.pull(1, {}, -1)), StepErrorCode::BadInput);
  expectAllSamplesPulled(step);
}

// Guards against replies to pulls of unbounded size.
TEST(StepOpening, LargeStepsAreHandedOverInSeveralPulls)
{
  Step::Limits limits;
  limits.maxPullBytes = 1;
  auto step = Step::open(kSpec, 1, {}, defaultStepPolicy(), limits).value();
  ASSERT_TRUE(step.setStalenessBound(1).has_value());
  completeAll(step);
  const auto first = step.pull(1, {}, 1).value();
  EXPECT_EQ(first.samples.size(), 2U);
  EXPECT_FALSE(first.complete);
  const auto second = step.pull(1, { { 0, 0 }, { 0, 1 } }, 1).value();
  EXPECT_EQ(second.samples.size(), 2U);
  EXPECT_TRUE(second.complete);
}

} // namespace lentilrack::core
