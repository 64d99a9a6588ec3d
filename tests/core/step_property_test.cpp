// Checks one step under random schedules. In these, homes (processes that run
// the step) are lost, replies are lost or late, engines crash, weights are
// updated during samples, and ends of copies and replies arrive twice. The
// model checks three guarantees; the text of a violation begins with the
// guarantee's number:
// P1: the segments of a sample name the versions that produced its tokens.
// P2: no sample is older than the staleness bound when it is handed over.
// P3: the trainer gets each slot's sample at most once.
#include "core/step_model.h"

#include <gtest/gtest.h>
#include <pcg_random.hpp>
#include <rapidcheck.h>

namespace lentilrack::core {

namespace {

constexpr int kScheduleLength = 400;

StepSpec
modelSpec(std::int64_t groupSize, std::int64_t quorum)
{
  return { "trainer",         "step",    "model", "kind",
           { "a", "b", "c" }, groupSize, quorum,  100 };
}

/// Runs random schedules and returns the first violation.
std::string
findViolation(ModelDefects defects)
{
  pcg32 random(20261204);
  for (int run = 0; run < 300; ++run) {
    StepModel model(modelSpec(3, 2), run % 3, defects);
    for (int i = 0; i < kScheduleLength; ++i) {
      model.apply({ static_cast<std::uint8_t>(random(256)),
                    static_cast<std::uint8_t>(random(256)) });
    }
    model.runToCompletion();
    if (!model.violation().empty()) {
      return model.violation();
    }
  }
  return "";
}

} // namespace

// Checks the three guarantees, and that a step is always completed.
TEST(StepProperty, GuaranteesHoldUnderRandomSchedules)
{
  const bool holds = rc::check([] {
    const auto groupSize = *rc::gen::inRange<std::int64_t>(1, 5);
    const auto quorum = *rc::gen::inRange<std::int64_t>(1, groupSize + 1);
    const auto bound = *rc::gen::inRange<std::int64_t>(0, 4);
    const auto schedule = *rc::gen::container<std::vector<ScheduledEvent>>(
      kScheduleLength, rc::gen::arbitrary<ScheduledEvent>());
    StepModel model(modelSpec(groupSize, quorum), bound, {});
    for (const auto& event : schedule) {
      model.apply(event);
    }
    model.runToCompletion();
    if (!model.violation().empty()) {
      RC_FAIL(model.violation());
    }
  });
  EXPECT_TRUE(holds);
}

TEST(StepProperty, NoViolationWithoutDefects)
{
  EXPECT_EQ(findViolation({}), "");
}

// Shows that the model detects a sample whose segments name a guessed version
// instead of the one that produced the tokens (P1).
TEST(StepProperty, GuessedVersionsAreDetected)
{
  ModelDefects defects;
  defects.guessVersions = true;
  EXPECT_TRUE(findViolation(defects).starts_with("P1"))
    << findViolation(defects);
}

// Shows that the model detects a step that hands over samples older than the
// staleness bound (P2).
TEST(StepProperty, MissingBoundIsDetected)
{
  ModelDefects defects;
  defects.ignoreBound = true;
  EXPECT_TRUE(findViolation(defects).starts_with("P2"))
    << findViolation(defects);
}

// Shows that the model detects a sample that is sent twice, to a trainer whose
// pull does not list the samples it has received (P3).
TEST(StepProperty, IgnoredReceivedListIsDetected)
{
  ModelDefects defects;
  defects.ignoreReceived = true;
  EXPECT_TRUE(findViolation(defects).starts_with("P3"))
    << findViolation(defects);
}

// Shows that a trainer that accepts replies of earlier openings gets a sample
// twice (P3), so trainers must drop such replies.
TEST(StepProperty, RepliesOfOldOpeningsAreDetected)
{
  ModelDefects defects;
  defects.acceptOldOpenings = true;
  EXPECT_TRUE(findViolation(defects).starts_with("P3"))
    << findViolation(defects);
}

} // namespace lentilrack::core
