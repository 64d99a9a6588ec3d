#include "core/request_rate.h"

#include <gtest/gtest.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace lentilrack::core {

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

/// Instances that all want to send as many requests as possible to one server,
/// and ask its allocator whenever they may.
class RateSimulation
{
public:
  struct Result
  {
    std::int64_t granted = 0;
    std::int64_t questions = 0;
    /// Largest number of permits granted within kWindow.
    std::size_t mostInWindow = 0;
  };
  static constexpr Millis kWindow{ 4'000 };

  RateSimulation(int instances, double rate)
    : mNextQuestion(static_cast<std::size_t>(instances), kStart)
    , mRate(rate)
  {
  }

  Result run(Millis duration)
  {
    Result result;
    std::deque<TimePoint> grantedAt;
    for (auto now = kStart; now < kStart + duration; now += Millis(1)) {
      for (std::size_t i = 0; i < mNextQuestion.size(); ++i) {
        if (now < mNextQuestion[i]) {
          continue;
        }
        const auto decision =
          mAllocator.request("server",
                             mRate,
                             "instance-" + std::to_string(i),
                             PermitPriority::Interactive,
                             now);
        ++result.questions;
        result.granted += decision.isGranted ? 1 : 0;
        if (decision.isGranted) {
          grantedAt.push_back(now);
        }
        mNextQuestion[i] = now + std::max(decision.nextInteractive, Millis(1));
      }
      while (!grantedAt.empty() && now - grantedAt.front() >= kWindow) {
        grantedAt.pop_front();
      }
      result.mostInWindow = std::max(result.mostInWindow, grantedAt.size());
    }
    return result;
  }

private:
  RateAllocator mAllocator;
  std::vector<TimePoint> mNextQuestion;
  double mRate;
};

double
seconds(Millis time)
{
  return std::chrono::duration<double>(time).count();
}

/// Requests that a server which states `rate` may get in the window: half more
/// than the rate, and 5.
double
allowedIn(Millis window, double rate)
{
  constexpr double kTolerance = 1.5;
  constexpr double kAllowance = 5;
  return kTolerance * rate * seconds(window) + kAllowance;
}

class RateAllocatorFleetTest : public testing::TestWithParam<int>
{};

} // namespace

// Guards against a total that grows with the number of instances, and against
// permits that stay unused because they are reserved for instances without
// requests.
TEST_P(RateAllocatorFleetTest, TotalKeepsToTheStatedRateAndUsesIt)
{
  for (const double rate : { 1.0, 6.5, 80.0 }) {
    constexpr Millis kDuration{ 60'000 };
    const auto result = RateSimulation(GetParam(), rate).run(kDuration);
    EXPECT_LE(static_cast<double>(result.mostInWindow),
              allowedIn(RateSimulation::kWindow, rate));
    EXPECT_GE(static_cast<double>(result.granted),
              0.9 * rate * seconds(kDuration))
      << "rate " << rate;
  }
}

// Guards against questions for permits that grow with the number of instances.
// After the first question of each instance, refused instances must spread
// theirs.
TEST_P(RateAllocatorFleetTest, QuestionsDoNotGrowWithTheFleet)
{
  constexpr Millis kDuration{ 60'000 };
  const auto result = RateSimulation(GetParam(), 1).run(kDuration);
  const RateAllocatorOptions options;
  // An instance learns the interval from its own refusals, and asks early
  // before the others have asked.
  const double first = 3.0 * GetParam();
  EXPECT_LE(static_cast<double>(result.questions),
            first + 1.2 * options.maxQuestionsPerSecond * seconds(kDuration));
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         RateAllocatorFleetTest,
                         testing::Values(1, 6, 630));

// Guards against a new allocator that grants permits while the former one may
// still do so.
TEST(RateAllocatorTest, NewAllocatorStartsWithoutPermits)
{
  RateAllocator allocator;
  const auto first =
    allocator.request("server", 10, "a", PermitPriority::Interactive, kStart);
  EXPECT_FALSE(first.isGranted);
  EXPECT_GE(first.nextInteractive, RateAllocatorOptions().takeoverDelay);
}

// Guards against an order that is refused because items of batches have used
// all permits of its server.
TEST(RateAllocatorTest, BackgroundRequestsLeaveAPermitToCallers)
{
  RateAllocator allocator;
  auto now = kStart;
  const auto ask = [&](PermitPriority priority) {
    return allocator.request("server", 5, "a", priority, now).isGranted;
  };
  ask(PermitPriority::Background);
  now += Millis(10'000);
  while (ask(PermitPriority::Background)) {
  }
  EXPECT_TRUE(ask(PermitPriority::Interactive));
  EXPECT_FALSE(ask(PermitPriority::Interactive));
}

// Guards against a pause of the allocator, after which all permits of the pause
// would be used at once.
TEST(RateAllocatorTest, PermitsOfALongPauseAreNotAllKept)
{
  constexpr double kRate = 5;
  RateAllocator allocator;
  allocator.request("server", kRate, "a", PermitPriority::Interactive, kStart);
  const auto later = kStart + Millis(600'000);
  int granted = 0;
  while (
    allocator.request("server", kRate, "a", PermitPriority::Interactive, later)
      .isGranted) {
    ++granted;
  }
  EXPECT_LE(granted, allowedIn(Millis(0), kRate));
}

// Guards against a server that states 0 and never gets a request again, so that
// nobody notices the end of its limit.
TEST(RateAllocatorTest, ServerThatTakesNothingIsStillTried)
{
  RateAllocator allocator;
  auto now = kStart;
  int granted = 0;
  for (int i = 0; i < 60; ++i, now += Millis(1'000)) {
    granted +=
      allocator.request("server", 0, "a", PermitPriority::Interactive, now)
          .isGranted
        ? 1
        : 0;
  }
  EXPECT_GE(granted, 1);
  EXPECT_LE(granted, 10);
}

// Guards against requests that wait until their deadline although it is known
// that no server will take them in time.
TEST(PermitWaitTest, RequestIsRejectedAtOnceIfThePermitComesTooLate)
{
  const auto deadline = kStart + Millis(2'000);
  EXPECT_FALSE(
    waitForPermit(kStart + Millis(900), kStart, deadline, kStart).has_value());
  EXPECT_TRUE(
    waitForPermit(kStart + Millis(50), kStart, deadline, kStart).has_value());
  // A permit that is due again and again goes to other requests.
  EXPECT_FALSE(
    waitForPermit(kStart + Millis(600), kStart, deadline, kStart + Millis(600))
      .has_value());
}

} // namespace lentilrack::core
