#include "core/step.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace lentilrack::core {

namespace {

const TimePoint kStart{ std::chrono::hours(1) };
const TimePoint kLater = kStart + std::chrono::minutes(1);

StepSpec
makeSpec(std::size_t groups, std::int64_t groupSize, std::int64_t quorum)
{
  StepSpec spec;
  spec.trainer = "trainer";
  spec.name = "step-1";
  spec.model = "model";
  spec.kind = "draft";
  for (std::size_t i = 0; i < groups; ++i) {
    spec.prompts.push_back("prompt " + std::to_string(i));
  }
  spec.groupSize = groupSize;
  spec.quorum = quorum;
  spec.maxTokens = 100;
  return spec;
}

Step
makeStep(std::size_t groups,
         std::int64_t groupSize,
         std::int64_t quorum,
         std::int64_t bound = 1,
         StepPolicy policy = defaultStepPolicy())
{
  auto step = Step::open(makeSpec(groups, groupSize, quorum),
                         1,
                         {},
                         std::move(policy),
                         Step::Limits());
  EXPECT_TRUE(step.value().setStalenessBound(bound).has_value());
  step.value().observeVersion(1);
  return std::move(step).value();
}

Outcome
doneOutcome(std::int64_t tokens)
{
  Outcome outcome;
  outcome.verdict = Verdict::Done;
  outcome.totalTokens = tokens;
  return outcome;
}

Outcome
interruptedOutcome()
{
  Outcome outcome;
  outcome.verdict = Verdict::Unknown;
  outcome.reason = "interrupted";
  return outcome;
}

/// Completes a copy with `tokens` tokens of one version and scores it.
bool
completeCopy(Step& step, CopyId copy, std::int64_t tokens, std::int64_t version)
{
  step.addChunk(copy, { "text", tokens, version });
  if (step.finish(copy, doneOutcome(tokens), kStart, 0) !=
      CopyOutcome::NeedsScore) {
    return false;
  }
  return step.recordScore(copy, 0.5);
}

void
completeAll(Step& step, std::int64_t version, TimePoint now = kStart)
{
  while (const auto start = step.startNext(now, 0)) {
    completeCopy(step, start->id, 10, version);
  }
}

PulledSamples
pullSamples(Step& step, const std::vector<Slot>& received, std::int64_t version)
{
  auto result = step.pull(step.opening(), received, version);
  EXPECT_TRUE(result.has_value());
  return std::move(result).value();
}

std::vector<Slot>
slotsOf(const PulledSamples& pulled)
{
  std::vector<Slot> slots;
  std::ranges::transform(
    pulled.samples, std::back_inserter(slots), &Sample::slot);
  return slots;
}

} // namespace

TEST(Step, HandsOverCompleteGroupsOnly)
{
  auto step = makeStep(2, 2, 2);
  const auto first = step.startNext(kStart, 0);
  completeCopy(step, first->id, 10, 1);
  EXPECT_FALSE(step.isReadyForPull());
  EXPECT_TRUE(pullSamples(step, {}, 1).samples.empty());
  completeAll(step, 1);
  const auto pulled = pullSamples(step, {}, 1);
  EXPECT_EQ(pulled.samples.size(), 4U);
  EXPECT_TRUE(pulled.complete);
  EXPECT_TRUE(step.isComplete());
}

// Guards against losing or changing samples when the reply to a pull is lost.
TEST(Step, PullAfterALostReplyReturnsTheSameSamples)
{
  auto step = makeStep(1, 2, 2);
  completeAll(step, 1);
  const auto lost = pullSamples(step, {}, 1);
  const auto again = pullSamples(step, {}, 1);
  EXPECT_EQ(slotsOf(lost), slotsOf(again));
  const auto after = pullSamples(step, slotsOf(again), 1);
  EXPECT_TRUE(after.samples.empty());
  EXPECT_TRUE(after.complete);
}

// Guards against handing over a sample that became stale before the pull.
TEST(Step, StaleSampleIsDroppedAtPullAndItsSlotRunsAgain)
{
  auto step = makeStep(1, 1, 1, 1);
  completeAll(step, 1);
  const auto pulled = pullSamples(step, {}, 3);
  EXPECT_TRUE(pulled.samples.empty());
  EXPECT_FALSE(pulled.complete);
  EXPECT_EQ(step.counters().stale, 1);
  completeAll(step, 3);
  EXPECT_EQ(pullSamples(step, {}, 3).samples.size(), 1U);
}

// Guards against sending a sample again that has become stale since it was
// first handed over.
TEST(Step, PullAfterALostReplyDropsSamplesThatBecameStale)
{
  auto step = makeStep(1, 1, 1, 1);
  completeAll(step, 1);
  EXPECT_EQ(pullSamples(step, {}, 1).samples.size(), 1U);
  step.observeVersion(5);
  EXPECT_TRUE(pullSamples(step, {}, 1).samples.empty());
}

// Guards against computing the age of a sample from its newest segment only.
TEST(Step, WeightUpdateDuringASampleGivesTwoSegmentsAndTheOlderAge)
{
  auto step = makeStep(1, 1, 1, 1);
  const auto start = step.startNext(kStart, 0);
  step.addChunk(start->id, { "ab", 2, 1 });
  step.addChunk(start->id, { "cde", 3, 2 });
  ASSERT_EQ(step.finish(start->id, doneOutcome(5), kStart, 0),
            CopyOutcome::NeedsScore);
  step.recordScore(start->id, 1);
  const auto pulled = pullSamples(step, {}, 2);
  ASSERT_EQ(pulled.samples.size(), 1U);
  const std::vector<Segment> expected{ { 1, 0, 2 }, { 2, 2, 5 } };
  EXPECT_EQ(pulled.samples[0].segments, expected);
  EXPECT_TRUE(pullSamples(step, {}, 3).samples.empty());
}

// Guards against handing over a sample with an unknown weight version.
TEST(Step, SampleWithAnUnknownVersionIsDroppedAndCounted)
{
  auto step = makeStep(1, 1, 1);
  const auto start = step.startNext(kStart, 0);
  step.addChunk(start->id, { "ab", 2, 1 });
  step.addChunk(start->id, { "c", 1, std::nullopt });
  EXPECT_EQ(step.finish(start->id, doneOutcome(3), kStart, 0),
            CopyOutcome::Retry);
  EXPECT_EQ(step.counters().unknownVersion, 1);
  const auto again = step.startNext(kLater, 0);
  ASSERT_TRUE(again.has_value());
  EXPECT_EQ(again->offset, 0);
}

// Guards against accepting an answer with missing tokens as complete.
TEST(Step, AnswerWithMissingTokensIsDropped)
{
  auto step = makeStep(1, 1, 1);
  const auto start = step.startNext(kStart, 0);
  step.addChunk(start->id, { "ab", 2, 1 });
  EXPECT_EQ(step.finish(start->id, doneOutcome(3), kStart, 0),
            CopyOutcome::Retry);
  EXPECT_EQ(step.counters().wrongLength, 1);
}

// Guards against continuing rollouts whose samples would be older than the
// staleness bound at hand-over.
TEST(Step, RolloutOnStaleWeightsIsCancelledEarly)
{
  auto step = makeStep(1, 1, 1, 1);
  step.observeVersion(5);
  const auto start = step.startNext(kStart, 0);
  EXPECT_FALSE(step.addChunk(start->id, { "a", 1, 3 }));
}

TEST(Step, InterruptedRolloutResumesOnTheSameVersion)
{
  auto step = makeStep(1, 1, 1, 1);
  const auto start = step.startNext(kStart, 0);
  step.addChunk(start->id, { "abc", 3, 1 });
  EXPECT_EQ(step.finish(start->id, interruptedOutcome(), kStart, 0),
            CopyOutcome::Retry);
  EXPECT_FALSE(step.startNext(kStart, 0).has_value());
  const auto resumed = step.startNext(kLater, 0);
  ASSERT_TRUE(resumed.has_value());
  EXPECT_EQ(resumed->offset, 3);
  EXPECT_EQ(resumed->version, 1);
  step.addChunk(resumed->id, { "de", 2, 1 });
  ASSERT_EQ(step.finish(resumed->id, doneOutcome(5), kLater, 0),
            CopyOutcome::NeedsScore);
  EXPECT_EQ(*step.answerText(resumed->id), "abcde");
}

// Guards against naming only one version for a sample of two versions.
TEST(Step, InterruptedRolloutContinuesOnANewVersionWithinTheBound)
{
  auto step = makeStep(1, 1, 1, 1);
  const auto start = step.startNext(kStart, 0);
  step.addChunk(start->id, { "abc", 3, 1 });
  step.finish(start->id, interruptedOutcome(), kStart, 0);
  step.observeVersion(2);
  const auto resumed = step.startNext(kLater, 0);
  ASSERT_TRUE(resumed.has_value());
  EXPECT_EQ(resumed->offset, 3);
  EXPECT_EQ(resumed->version, std::nullopt);
  step.addChunk(resumed->id, { "de", 2, 2 });
  ASSERT_EQ(step.finish(resumed->id, doneOutcome(5), kLater, 0),
            CopyOutcome::NeedsScore);
  EXPECT_TRUE(step.recordScore(resumed->id, 1));
  const auto pulled = pullSamples(step, {}, 2);
  ASSERT_EQ(pulled.samples.size(), 1U);
  const std::vector<Segment> expected{ { 1, 0, 3 }, { 2, 3, 5 } };
  EXPECT_EQ(pulled.samples[0].segments, expected);
}

TEST(Step, InterruptedRolloutRestartsBeyondTheBound)
{
  auto step = makeStep(1, 1, 1, 1);
  const auto start = step.startNext(kStart, 0);
  step.addChunk(start->id, { "abc", 3, 1 });
  step.finish(start->id, interruptedOutcome(), kStart, 0);
  step.observeVersion(3);
  const auto again = step.startNext(kLater, 0);
  ASSERT_TRUE(again.has_value());
  EXPECT_EQ(again->offset, 0);
}

// Guards against a slot that never runs again because no engine serves the
// version to which its resumption is bound.
TEST(Step, RefusedResumptionsAreNoLongerBoundToTheVersion)
{
  auto step = makeStep(1, 1, 1, 1);
  auto now = kStart;
  const auto start = step.startNext(now, 0);
  step.addChunk(start->id, { "abc", 3, 1 });
  step.finish(start->id, interruptedOutcome(), now, 0);
  Outcome refused;
  refused.verdict = Verdict::NotRun;
  for (int i = 0; i < 3; ++i) {
    now += std::chrono::minutes(1);
    const auto resumed = step.startNext(now, 0);
    ASSERT_TRUE(resumed.has_value());
    EXPECT_EQ(resumed->version, 1);
    step.finish(resumed->id, refused, now, 0);
  }
  now += std::chrono::minutes(1);
  const auto unbound = step.startNext(now, 0);
  ASSERT_TRUE(unbound.has_value());
  EXPECT_EQ(unbound->version, std::nullopt);
}

// Guards against replacing a slot's sample, or adding a second one, when
// another copy of the slot's rollout ends after the first scored copy.
TEST(Step, FirstScoredCopyFillsTheSlotAndLaterOnesAreDropped)
{
  auto step = makeStep(1, 1, 1);
  const auto first = step.startNext(kStart, 0);
  const auto extra = step.startNext(kLater, 1);
  ASSERT_TRUE(extra.has_value());
  EXPECT_TRUE(extra->extra);
  step.addChunk(first->id, { "first", 1, 1 });
  step.addChunk(extra->id, { "extra", 1, 1 });
  ASSERT_EQ(step.finish(extra->id, doneOutcome(1), kLater, 0),
            CopyOutcome::NeedsScore);
  EXPECT_TRUE(step.recordScore(extra->id, 1));
  const std::vector<CopyId> cancelled{ first->id };
  EXPECT_EQ(step.takeCancelled(), cancelled);
  EXPECT_EQ(step.finish(first->id, doneOutcome(1), kLater, 0),
            CopyOutcome::Discarded);
  EXPECT_FALSE(step.recordScore(first->id, 1));
  EXPECT_FALSE(step.recordScore(extra->id, 2));
  const auto pulled = pullSamples(step, {}, 1);
  ASSERT_EQ(pulled.samples.size(), 1U);
  EXPECT_EQ(pulled.samples[0].text, "extra");
}

// Guards against scoring a copy twice when its end is reported twice.
TEST(Step, SecondEndOfACopyIsDiscarded)
{
  auto step = makeStep(1, 1, 1);
  const auto start = step.startNext(kStart, 0);
  step.addChunk(start->id, { "a", 1, 1 });
  EXPECT_EQ(step.finish(start->id, doneOutcome(1), kStart, 0),
            CopyOutcome::NeedsScore);
  EXPECT_EQ(step.finish(start->id, doneOutcome(1), kStart, 0),
            CopyOutcome::Discarded);
  EXPECT_FALSE(step.addChunk(start->id, { "b", 1, 1 }));
  EXPECT_EQ(*step.answerText(start->id), "a");
}

TEST(Step, ExtraCopiesNeedIdleSlotsAndBudget)
{
  auto step = makeStep(20, 1, 1);
  while (step.startNext(kStart, 0)) {
  }
  EXPECT_FALSE(step.startNext(kLater, 0).has_value());
  EXPECT_TRUE(step.startNext(kLater, 4).has_value());
  EXPECT_TRUE(step.startNext(kLater, 4).has_value());
  EXPECT_FALSE(step.startNext(kLater, 4).has_value());
  EXPECT_EQ(step.counters().extraCopies, 2);
}

TEST(Step, BaselineRunsInIndexOrderWithoutExtraCopies)
{
  auto step = makeStep(2, 2, 2, 1, baselineStepPolicy());
  std::vector<Slot> order;
  while (const auto start = step.startNext(kStart, 8)) {
    order.push_back(start->slot);
  }
  const std::vector<Slot> expected{ { 0, 0 }, { 0, 1 }, { 1, 0 }, { 1, 1 } };
  EXPECT_EQ(order, expected);
}

TEST(Step, NearlyCompleteGroupsRunFirst)
{
  auto step = makeStep(3, 4, 4);
  // Starts all slots, completes three of group 1's four copies and interrupts
  // all others, so that group 1 lacks one sample.
  std::vector<CopyStart> starts;
  while (const auto start = step.startNext(kStart, 0)) {
    starts.push_back(*start);
  }
  for (const auto& start : starts) {
    const bool last = start.slot == Slot{ 1, 3 };
    if (start.slot.group == 1 && !last) {
      completeCopy(step, start.id, 10, 1);
    } else {
      step.finish(start.id, interruptedOutcome(), kStart, 0);
    }
  }
  const auto next = step.startNext(kLater, 0);
  ASSERT_TRUE(next.has_value());
  EXPECT_EQ(next->slot, (Slot{ 1, 3 }));
}

TEST(Step, LongestEstimateRunsFirst)
{
  auto step = makeStep(2, 3, 3);
  std::vector<CopyStart> starts;
  while (const auto start = step.startNext(kStart, 0)) {
    starts.push_back(*start);
  }
  for (const auto& start : starts) {
    if (start.slot.index == 0) {
      completeCopy(step, start.id, start.slot.group == 1 ? 50 : 5, 1);
    } else {
      step.finish(start.id, interruptedOutcome(), kStart, 0);
    }
  }
  EXPECT_EQ(step.startNext(kLater, 0)->slot.group, 1);
}

TEST(Step, QuorumCancelsTheRestOfTheGroup)
{
  auto step = makeStep(1, 3, 2);
  std::vector<CopyStart> starts;
  while (const auto start = step.startNext(kStart, 0)) {
    starts.push_back(*start);
  }
  ASSERT_EQ(starts.size(), 3U);
  completeCopy(step, starts[0].id, 10, 1);
  completeCopy(step, starts[2].id, 10, 1);
  const std::vector<CopyId> cancelled{ starts[1].id };
  EXPECT_EQ(step.takeCancelled(), cancelled);
  EXPECT_EQ(step.inFlight(), 0);
  EXPECT_FALSE(step.startNext(kLater, 8).has_value());
  const auto pulled = pullSamples(step, {}, 1);
  EXPECT_EQ(pulled.samples.size(), 2U);
  EXPECT_TRUE(pulled.complete);
}

// Guards against losing samples while the scorer is down.
TEST(Step, AnswersWaitForTheirScore)
{
  auto step = makeStep(1, 2, 2);
  const auto first = step.startNext(kStart, 0);
  const auto second = step.startNext(kStart, 0);
  for (const auto& start : { *first, *second }) {
    step.addChunk(start.id, { "a", 1, 1 });
    step.finish(start.id, doneOutcome(1), kStart, 0);
  }
  EXPECT_FALSE(step.startNext(kLater, 8).has_value());
  EXPECT_TRUE(pullSamples(step, {}, 1).samples.empty());
  step.recordScore(first->id, 0.25);
  step.recordScore(second->id, 0.75);
  EXPECT_EQ(pullSamples(step, {}, 1).samples.size(), 2U);
}

// Guards against blocking a slot with an answer that became stale while it
// waited for its score.
TEST(Step, AnswerThatAgesWhileItWaitsForItsScoreRunsAgain)
{
  auto step = makeStep(1, 1, 1, 1);
  const auto start = step.startNext(kStart, 0);
  step.addChunk(start->id, { "a", 1, 1 });
  step.finish(start->id, doneOutcome(1), kStart, 0);
  step.observeVersion(9);
  EXPECT_TRUE(step.startNext(kLater, 0).has_value());
  EXPECT_FALSE(step.recordScore(start->id, 1));
}

} // namespace lentilrack::core
