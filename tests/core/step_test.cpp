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
cutOutcome()
{
  Outcome outcome;
  outcome.verdict = Verdict::Unknown;
  outcome.reason = "interrupted";
  return outcome;
}

/// Runs one copy to its end with `tokens` of one version and scores it.
bool
runCopy(Step& step, CopyId copy, std::int64_t tokens, std::int64_t version)
{
  step.addChunk(copy, { "text", tokens, version });
  if (step.finish(copy, doneOutcome(tokens), kStart, 0) !=
      CopyOutcome::NeedsScore) {
    return false;
  }
  return step.recordScore(copy, 0.5);
}

void
runAll(Step& step, std::int64_t version, TimePoint now = kStart)
{
  while (const auto start = step.startNext(now, 0)) {
    runCopy(step, start->id, 10, version);
  }
}

PulledSamples
pullAll(Step& step, const std::vector<Slot>& have, std::int64_t version)
{
  auto result = step.pull(step.opening(), have, version);
  EXPECT_TRUE(result.has_value());
  return std::move(result).value();
}

std::vector<Slot>
slotsOf(const PulledSamples& handOver)
{
  std::vector<Slot> slots;
  std::ranges::transform(
    handOver.samples, std::back_inserter(slots), &Sample::slot);
  return slots;
}

} // namespace

TEST(Step, HandsOverWholeGroupsOnly)
{
  auto step = makeStep(2, 2, 2);
  const auto first = step.startNext(kStart, 0);
  runCopy(step, first->id, 10, 1);
  EXPECT_FALSE(step.isReadyForPull());
  EXPECT_TRUE(pullAll(step, {}, 1).samples.empty());
  runAll(step, 1);
  const auto handOver = pullAll(step, {}, 1);
  EXPECT_EQ(handOver.samples.size(), 4U);
  EXPECT_TRUE(handOver.complete);
  EXPECT_TRUE(step.isComplete());
}

// Guards against a lost reply losing samples or changing them.
TEST(Step, LostReplyIsAnsweredWithTheSameSamplesAgain)
{
  auto step = makeStep(1, 2, 2);
  runAll(step, 1);
  const auto lost = pullAll(step, {}, 1);
  const auto again = pullAll(step, {}, 1);
  EXPECT_EQ(slotsOf(lost), slotsOf(again));
  const auto after = pullAll(step, slotsOf(again), 1);
  EXPECT_TRUE(after.samples.empty());
  EXPECT_TRUE(after.complete);
}

// Guards against a sample that became too old between its end and the pull.
TEST(Step, StaleSampleIsDroppedAtHandOverAndItsSlotRunsAgain)
{
  auto step = makeStep(1, 1, 1, 1);
  runAll(step, 1);
  const auto handOver = pullAll(step, {}, 3);
  EXPECT_TRUE(handOver.samples.empty());
  EXPECT_FALSE(handOver.complete);
  EXPECT_EQ(step.counters().stale, 1);
  runAll(step, 3);
  EXPECT_EQ(pullAll(step, {}, 3).samples.size(), 1U);
}

// Guards against a sample that was handed over in time being sent again when
// it has become too old.
TEST(Step, LostReplyIsNotRepeatedWithSamplesThatBecameStale)
{
  auto step = makeStep(1, 1, 1, 1);
  runAll(step, 1);
  EXPECT_EQ(pullAll(step, {}, 1).samples.size(), 1U);
  step.observeVersion(5);
  EXPECT_TRUE(pullAll(step, {}, 1).samples.empty());
}

// Guards against taking the age from the newest segment only.
TEST(Step, SwapInTheMiddleNamesBothVersionsAndCountsTheOldest)
{
  auto step = makeStep(1, 1, 1, 1);
  const auto start = step.startNext(kStart, 0);
  step.addChunk(start->id, { "ab", 2, 1 });
  step.addChunk(start->id, { "cde", 3, 2 });
  ASSERT_EQ(step.finish(start->id, doneOutcome(5), kStart, 0),
            CopyOutcome::NeedsScore);
  step.recordScore(start->id, 1);
  const auto handOver = pullAll(step, {}, 2);
  ASSERT_EQ(handOver.samples.size(), 1U);
  const std::vector<Segment> expected{ { 1, 0, 2 }, { 2, 2, 5 } };
  EXPECT_EQ(handOver.samples[0].segments, expected);
  EXPECT_TRUE(pullAll(step, {}, 3).samples.empty());
}

// Guards against a sample whose versions are unknown.
TEST(Step, SampleWithAnUnnamedVersionIsDroppedAndCounted)
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

// Guards against taking an answer with missing tokens for a whole one.
TEST(Step, AnswerWithMissingTokensIsDropped)
{
  auto step = makeStep(1, 1, 1);
  const auto start = step.startNext(kStart, 0);
  step.addChunk(start->id, { "ab", 2, 1 });
  EXPECT_EQ(step.finish(start->id, doneOutcome(3), kStart, 0),
            CopyOutcome::Retry);
  EXPECT_EQ(step.counters().wrongLength, 1);
}

// Guards against running rollouts on that can never be handed over.
TEST(Step, RolloutOnTooOldWeightsIsGivenUpEarly)
{
  auto step = makeStep(1, 1, 1, 1);
  step.observeVersion(5);
  const auto start = step.startNext(kStart, 0);
  EXPECT_FALSE(step.addChunk(start->id, { "a", 1, 3 }));
}

TEST(Step, CutRolloutResumesOnTheSameVersion)
{
  auto step = makeStep(1, 1, 1, 1);
  const auto start = step.startNext(kStart, 0);
  step.addChunk(start->id, { "abc", 3, 1 });
  EXPECT_EQ(step.finish(start->id, cutOutcome(), kStart, 0),
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

// Guards against naming one version for a sample that two versions produced.
TEST(Step, CutRolloutContinuesWithTheNewVersionWithinTheBound)
{
  auto step = makeStep(1, 1, 1, 1);
  const auto start = step.startNext(kStart, 0);
  step.addChunk(start->id, { "abc", 3, 1 });
  step.finish(start->id, cutOutcome(), kStart, 0);
  step.observeVersion(2);
  const auto resumed = step.startNext(kLater, 0);
  ASSERT_TRUE(resumed.has_value());
  EXPECT_EQ(resumed->offset, 3);
  EXPECT_EQ(resumed->version, std::nullopt);
  step.addChunk(resumed->id, { "de", 2, 2 });
  ASSERT_EQ(step.finish(resumed->id, doneOutcome(5), kLater, 0),
            CopyOutcome::NeedsScore);
  EXPECT_TRUE(step.recordScore(resumed->id, 1));
  const auto handOver = pullAll(step, {}, 2);
  ASSERT_EQ(handOver.samples.size(), 1U);
  const std::vector<Segment> expected{ { 1, 0, 3 }, { 2, 3, 5 } };
  EXPECT_EQ(handOver.samples[0].segments, expected);
}

TEST(Step, CutRolloutStartsAgainBeyondTheBound)
{
  auto step = makeStep(1, 1, 1, 1);
  const auto start = step.startNext(kStart, 0);
  step.addChunk(start->id, { "abc", 3, 1 });
  step.finish(start->id, cutOutcome(), kStart, 0);
  step.observeVersion(3);
  const auto again = step.startNext(kLater, 0);
  ASSERT_TRUE(again.has_value());
  EXPECT_EQ(again->offset, 0);
}

// Guards against a resumption that no engine can serve any more holding up its
// slot for good.
TEST(Step, ResumptionThatIsAlwaysRefusedDropsTheVersion)
{
  auto step = makeStep(1, 1, 1, 1);
  auto now = kStart;
  const auto start = step.startNext(now, 0);
  step.addChunk(start->id, { "abc", 3, 1 });
  step.finish(start->id, cutOutcome(), now, 0);
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
  const auto free = step.startNext(now, 0);
  ASSERT_TRUE(free.has_value());
  EXPECT_EQ(free->version, std::nullopt);
}

// Guards against a duplicate replacing or adding a sample.
TEST(Step, FirstCopyFixesTheSlotAndLateOnesAreDropped)
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
  const auto handOver = pullAll(step, {}, 1);
  ASSERT_EQ(handOver.samples.size(), 1U);
  EXPECT_EQ(handOver.samples[0].text, "extra");
}

// Guards against a copy whose end is reported twice being scored twice.
TEST(Step, DuplicateEndOfACopyIsUnwanted)
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
  // Groups 0 to 2 start one after the other; group 1 is then one short.
  std::vector<CopyStart> starts;
  while (const auto start = step.startNext(kStart, 0)) {
    starts.push_back(*start);
  }
  for (const auto& start : starts) {
    const bool last = start.slot == Slot{ 1, 3 };
    if (start.slot.group == 1 && !last) {
      runCopy(step, start.id, 10, 1);
    } else {
      step.finish(start.id, cutOutcome(), kStart, 0);
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
      runCopy(step, start.id, start.slot.group == 1 ? 50 : 5, 1);
    } else {
      step.finish(start.id, cutOutcome(), kStart, 0);
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
  runCopy(step, starts[0].id, 10, 1);
  runCopy(step, starts[2].id, 10, 1);
  const std::vector<CopyId> cancelled{ starts[1].id };
  EXPECT_EQ(step.takeCancelled(), cancelled);
  EXPECT_EQ(step.inFlight(), 0);
  EXPECT_FALSE(step.startNext(kLater, 8).has_value());
  const auto handOver = pullAll(step, {}, 1);
  EXPECT_EQ(handOver.samples.size(), 2U);
  EXPECT_TRUE(handOver.complete);
}

// Guards against samples lost while the scorer is down.
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
  EXPECT_TRUE(pullAll(step, {}, 1).samples.empty());
  step.recordScore(first->id, 0.25);
  step.recordScore(second->id, 0.75);
  EXPECT_EQ(pullAll(step, {}, 1).samples.size(), 2U);
}

// Guards against an answer that became too old while it waited for the scorer
// blocking its slot.
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
