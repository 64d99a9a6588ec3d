// Checks one step under random schedules with lost homes, lost and late
// replies, engine crashes, weight updates during samples, and duplicates. P1 to
// P3 are the guarantees described at StepModel.
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

// Checks P1, P2 and P3, and that a step is always completed.
TEST(StepProperty, GuaranteesHoldUnderRandomSchedules)
{
  const bool holds = rc::check([] {
    const auto groupSize = *rc::gen::inRange<std::int64_t>(1, 5);
    const auto quorum = *rc::gen::inRange<std::int64_t>(1, groupSize + 1);
    const auto bound = *rc::gen::inRange<std::int64_t>(0, 4);
    const auto schedule = *rc::gen::container<std::vector<ScheduledEvent>>(
      kScheduleLength, rc::gen::arbitrary<ScheduledEvent>());
    StepModel model(modelSpec(groupSize, quorum), bound, {});
    for (const auto& operation : schedule) {
      model.apply(operation);
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

// Shows that the check of P1 detects guessed versions.
TEST(StepProperty, GuessedVersionsAreDetected)
{
  ModelDefects defects;
  defects.guessVersions = true;
  EXPECT_TRUE(findViolation(defects).starts_with("P1"))
    << findViolation(defects);
}

// Shows that the check of P2 detects a step that does not enforce its bound.
TEST(StepProperty, MissingBoundIsDetected)
{
  ModelDefects defects;
  defects.ignoreBound = true;
  EXPECT_TRUE(findViolation(defects).starts_with("P2"))
    << findViolation(defects);
}

// Shows that the check of P3 detects a home that ignores the trainer's list.
TEST(StepProperty, IgnoredReceivedListIsDetected)
{
  ModelDefects defects;
  defects.ignoreReceived = true;
  EXPECT_TRUE(findViolation(defects).starts_with("P3"))
    << findViolation(defects);
}

// Shows that P3 holds only if trainers drop replies of earlier openings.
TEST(StepProperty, RepliesOfOldOpeningsAreDetected)
{
  ModelDefects defects;
  defects.acceptOldOpenings = true;
  EXPECT_TRUE(findViolation(defects).starts_with("P3"))
    << findViolation(defects);
}

} // namespace lentilrack::core
