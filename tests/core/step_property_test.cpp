// Random schedules of one step with lost homes, lost and late replies, engine
// crashes, swaps in the middle of samples and duplicates.
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

/// Runs schedules until one violates a guarantee.
std::string
firstViolation(ModelDefects defects)
{
  pcg32 random(20261204);
  for (int run = 0; run < 300; ++run) {
    StepModel model(modelSpec(3, 2), run % 3, defects);
    for (int i = 0; i < kScheduleLength; ++i) {
      model.apply({ static_cast<std::uint8_t>(random(256)),
                    static_cast<std::uint8_t>(random(256)) });
    }
    model.settle();
    if (!model.violation().empty()) {
      return model.violation();
    }
  }
  return "";
}

} // namespace

// Guards P1, P2 and P3 together, and that a step always comes to an end.
TEST(StepProperty, GuaranteesHoldUnderRandomSchedules)
{
  const bool holds = rc::check([] {
    const auto groupSize = *rc::gen::inRange<std::int64_t>(1, 5);
    const auto quorum = *rc::gen::inRange<std::int64_t>(1, groupSize + 1);
    const auto bound = *rc::gen::inRange<std::int64_t>(0, 4);
    const auto schedule = *rc::gen::container<std::vector<ScheduleStep>>(
      kScheduleLength, rc::gen::arbitrary<ScheduleStep>());
    StepModel model(modelSpec(groupSize, quorum), bound, {});
    for (const auto& operation : schedule) {
      model.apply(operation);
    }
    model.settle();
    if (!model.violation().empty()) {
      RC_FAIL(model.violation());
    }
  });
  EXPECT_TRUE(holds);
}

TEST(StepProperty, NoViolationWithoutDefects)
{
  EXPECT_EQ(firstViolation({}), "");
}

// Shows that the check of P1 can fail.
TEST(StepProperty, GuessedVersionsAreNoticed)
{
  ModelDefects defects;
  defects.guessVersions = true;
  EXPECT_TRUE(firstViolation(defects).starts_with("P1"))
    << firstViolation(defects);
}

// Shows that the check of P2 can fail.
TEST(StepProperty, MissingBoundIsNoticed)
{
  ModelDefects defects;
  defects.ignoreBound = true;
  EXPECT_TRUE(firstViolation(defects).starts_with("P2"))
    << firstViolation(defects);
}

// Shows that the check of P3 can fail on the side of the home.
TEST(StepProperty, ForgottenHaveListIsNoticed)
{
  ModelDefects defects;
  defects.ignoreHave = true;
  EXPECT_TRUE(firstViolation(defects).starts_with("P3"))
    << firstViolation(defects);
}

// Shows that the rule for trainers, to take replies of the current opening
// only, is needed for P3.
TEST(StepProperty, RepliesOfOldOpeningsAreNoticed)
{
  ModelDefects defects;
  defects.takeOldOpenings = true;
  EXPECT_TRUE(firstViolation(defects).starts_with("P3"))
    << firstViolation(defects);
}

} // namespace lentilrack::core
