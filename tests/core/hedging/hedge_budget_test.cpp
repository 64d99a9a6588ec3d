#include "core/hedging/hedge_budget.h"

#include <gtest/gtest.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace lentilrack::core {

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

/// A fleet whose processes all ask for a second attempt for every request,
/// which is the largest demand that there can be. Processes restart and the
/// limit is edited at random times.
class Fleet
{
public:
  struct Step
  {
    double work = 0;
    double extra = 0;
    double limit = 0;
    /// Extra work that the limit in force at each time allowed.
    double allowed = 0;
  };

  Fleet(std::size_t processes, std::vector<double> limits, std::uint64_t seed)
    : mBudgets(processes)
    , mLimits(std::move(limits))
    , mRandom(seed)
  {
    setLimit(mLimits.front());
  }

  /// Runs for a time in steps of 10 ms.
  std::vector<Step> run(std::chrono::seconds time, double requestsPerSecond)
  {
    std::vector<Step> steps(static_cast<std::size_t>(time / kStep));
    std::poisson_distribution<> arrivals(requestsPerSecond * 0.01);
    std::lognormal_distribution<> work(std::log(40), 0.5);
    for (std::size_t i = 0; i < steps.size(); ++i) {
      const auto now = kStart + static_cast<int>(i) * kStep;
      maybeDisturb();
      steps[i].limit = mLimit;
      for (int arrived = arrivals(mRandom); arrived > 0; --arrived) {
        auto& budget =
          mBudgets[mRandom(static_cast<std::uint32_t>(mBudgets.size()))];
        const double done = work(mRandom);
        budget.earn(PreciseMillis(done), now);
        steps[i].work += done;
        steps[i].allowed += done * mLimit;
        steps[i].extra += secondAttempt(budget, now);
      }
    }
    return steps;
  }

  static constexpr Millis kStep{ 10 };

private:
  double uniform() { return std::uniform_real_distribution<>(0, 1)(mRandom); }

  void setLimit(double limit)
  {
    mLimit = limit;
    for (auto& budget : mBudgets) {
      budget.setLimit(limit);
    }
  }

  void maybeDisturb()
  {
    constexpr double kRestartsPerStep = 0.002;
    constexpr double kEditsPerStep = 0.0005;
    if (uniform() < kRestartsPerStep) {
      HedgeBudget restarted;
      restarted.setLimit(mLimit);
      mBudgets[mRandom(static_cast<std::uint32_t>(mBudgets.size()))] =
        restarted;
    }
    if (uniform() < kEditsPerStep) {
      setLimit(mLimits[mRandom(static_cast<std::uint32_t>(mLimits.size()))]);
    }
  }

  /// Returns the work of the second attempt; 0 if there is none. A third of the
  /// attempts are cancelled before they are done.
  double secondAttempt(HedgeBudget& budget, TimePoint now)
  {
    constexpr PreciseMillis kExpected{ 30 };
    const auto reservation = budget.tryReserve(kExpected, uniform(), now);
    if (!reservation) {
      return 0;
    }
    const double done =
      uniform() < 1.0 / 3
        ? 30 * uniform()
        : std::lognormal_distribution<>(std::log(30), 0.4)(mRandom);
    budget.settle(*reservation, PreciseMillis(done));
    return done;
  }

  std::vector<HedgeBudget> mBudgets;
  std::vector<double> mLimits;
  pcg64 mRandom;
  double mLimit = 0;
};

double
total(std::span<const Fleet::Step> steps, double Fleet::Step::*part)
{
  return std::accumulate(
    steps.begin(), steps.end(), 0.0, [&](double sum, const Fleet::Step& step) {
      return sum + step.*part;
    });
}

/// Returns the largest excess of the extra work over 110% of the allowed work
/// in any 10 s, in milliseconds. In a window in which the limit was edited, the
/// highest limit counts.
double
largestExcess(const std::vector<Fleet::Step>& steps)
{
  constexpr std::ptrdiff_t kLength = HedgeBudget::kWindow / Fleet::kStep;
  constexpr std::ptrdiff_t kDistance = 20;
  double excess = 0;
  for (auto first = steps.begin(); steps.end() - first >= kLength;
       first += std::min(kDistance, steps.end() - first)) {
    const std::span<const Fleet::Step> window(first, kLength);
    const double limit =
      std::ranges::max(window, {}, &Fleet::Step::limit).limit;
    excess = std::max(excess,
                      total(window, &Fleet::Step::extra) -
                        1.1 * limit * total(window, &Fleet::Step::work));
  }
  return excess;
}

} // namespace

// Guards against a fleet that exceeds the limit in some 10 s, although every
// request asks for a second attempt, processes restart and the limit is edited.
// One attempt per process may be too much, since attempts are not divisible.
TEST(HedgeBudgetTest, FleetKeepsTheLimitOverEveryWindow)
{
  for (const std::size_t processes : { 1U, 10U, 75U }) {
    for (const std::uint64_t seed : { 1U, 2U, 3U, 4U }) {
      Fleet fleet(processes, { 0.02, 0.05, 0.1 }, seed);
      const auto perSecond = 60.0 * static_cast<double>(processes);
      const auto steps = fleet.run(std::chrono::seconds(60), perSecond);
      const double excess = largestExcess(steps);
      EXPECT_LE(excess, 60) << processes << " processes, seed " << seed;
      const double share =
        total(steps, &Fleet::Step::extra) / total(steps, &Fleet::Step::allowed);
      EXPECT_LE(share, 1.02) << processes << " processes, seed " << seed;
      EXPECT_GE(share, 0.8) << processes << " processes, seed " << seed;
      RecordProperty("excess", std::to_string(excess));
    }
  }
}

// Guards against second attempts that add up to more than the limit in a fleet
// whose processes each complete too little work to pay for a single one. Their
// number varies at random; the bound is four standard deviations.
TEST(HedgeBudgetTest, ProcessesWithLittleWorkKeepTheLimitOnAverage)
{
  for (const std::uint64_t seed : { 1U, 2U, 3U, 4U }) {
    Fleet fleet(75, { 0.05 }, seed);
    const auto steps = fleet.run(std::chrono::seconds(120), 30);
    const double share =
      total(steps, &Fleet::Step::extra) / total(steps, &Fleet::Step::allowed);
    EXPECT_LE(share, 1.1) << "seed " << seed;
    const double allowedPerWindow =
      total(steps, &Fleet::Step::allowed) * 10 / 120;
    EXPECT_LE(largestExcess(steps), 4 * std::sqrt(allowedPerWindow * 40))
      << "seed " << seed;
  }
}

// Guards against a limit of 0 that still lets attempts through that earlier
// work has paid for.
TEST(HedgeBudgetTest, LoweredLimitIsInForceAtOnce)
{
  HedgeBudget budget;
  budget.setLimit(0.1);
  budget.earn(PreciseMillis(10'000), kStart);
  ASSERT_TRUE(budget.tryReserve(PreciseMillis(100), 0, kStart));
  budget.setLimit(0.02);
  EXPECT_DOUBLE_EQ(budget.available(kStart).count(), 100);
  budget.setLimit(0);
  EXPECT_FALSE(budget.tryReserve(PreciseMillis(1), 0, kStart));
  // A raised limit does not apply to work that was completed before.
  budget.setLimit(0.5);
  EXPECT_DOUBLE_EQ(budget.available(kStart).count(), 900);
}

// Guards against charging work that a cancelled attempt has not done, and
// against forgetting work beyond the reservation.
TEST(HedgeBudgetTest, ReservationIsSettledByTheWorkDone)
{
  HedgeBudget budget;
  budget.setLimit(0.1);
  budget.earn(PreciseMillis(2'000), kStart);
  const auto cancelled = budget.tryReserve(PreciseMillis(100), 0, kStart);
  ASSERT_TRUE(cancelled);
  budget.settle(*cancelled, PreciseMillis(30));
  EXPECT_DOUBLE_EQ(budget.available(kStart).count(), 170);
  const auto late = budget.tryReserve(PreciseMillis(100), 0, kStart);
  ASSERT_TRUE(late);
  budget.settle(*late, PreciseMillis(400));
  EXPECT_DOUBLE_EQ(budget.available(kStart).count(), -230);
  // All other work has left the window; the excess has not been paid for.
  const auto later = kStart + 2 * HedgeBudget::kWindow;
  EXPECT_DOUBLE_EQ(budget.available(later).count(), -300);
  budget.earn(PreciseMillis(4'000), later);
  EXPECT_DOUBLE_EQ(budget.available(later).count(), 100);
}

// Guards against saving the budget of a calm time for a burst that then exceeds
// the limit.
TEST(HedgeBudgetTest, BudgetOfPastWindowsExpires)
{
  HedgeBudget budget;
  budget.setLimit(0.1);
  budget.earn(PreciseMillis(10'000), kStart);
  EXPECT_GT(budget.available(kStart + Millis(9'000)).count(), 0);
  EXPECT_LE(budget.available(kStart + HedgeBudget::kWindow).count(), 0);
}

} // namespace lentilrack::core
