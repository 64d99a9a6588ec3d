#include "core/organisations/fair_share.h"

#include <gtest/gtest.h>

#include <pcg_random.hpp>

#include <algorithm>
#include <random>
#include <vector>

namespace lentilrack::core {

namespace {

/// Batches of several organisations that compete for the slots of one pool, in
/// simulated time. Each batch asks for a slot in turn, as in a process that
/// runs them all.
class Contention
{
public:
  struct Demand
  {
    std::string organisation;
    int batches = 1;
    int priority = 0;
    Millis runTime{ 1'000 };
    /// Batches ask for slots only from this time on.
    Millis from{ 0 };
  };

  Contention(int slots, std::vector<Demand> demands)
    : mFreeSlots(slots)
    , mDemands(std::move(demands))
  {
  }

  /// Returns the slot time of each organisation over the simulated time.
  /// Without sharing, whoever asks first gets the slot.
  std::map<std::string, double> run(FairShare& share,
                                    Millis length,
                                    bool isShared = true)
  {
    constexpr Millis kStep{ 10 };
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    std::map<std::string, double> used;
    for (Millis time{ 0 }; time < length; time += kStep) {
      const auto now = start + time;
      std::erase_if(mRuns, [&](const Run& run) {
        const bool isOver = run.end <= now;
        if (isOver) {
          share.runEnded(run.organisation, run.estimate, run.took);
          ++mFreeSlots;
        }
        return isOver;
      });
      askInTurn(share, now, time, isShared, used);
    }
    return used;
  }

private:
  struct Run
  {
    std::string organisation;
    Millis estimate;
    Millis took;
    TimePoint end;
  };

  void askInTurn(FairShare& share,
                 TimePoint now,
                 Millis time,
                 bool isShared,
                 std::map<std::string, double>& used)
  {
    // A second round gives slots to those who were denied none, as batches that
    // are notified do.
    for (int round = 0; round < 50; ++round) {
      for (const auto& demand : mDemands) {
        for (int i = 0; time >= demand.from && i < demand.batches; ++i) {
          if (mFreeSlots == 0) {
            share.recordWaiting(demand.organisation, demand.priority, now);
          } else if (!isShared || share.mayStart(demand.organisation,
                                                 demand.priority,
                                                 now)) {
            --mFreeSlots;
            const auto estimate = share.runStarted(demand.organisation, now);
            const auto took =
              Millis(std::uniform_int_distribution<std::int64_t>(
                demand.runTime.count() / 2,
                demand.runTime.count() * 3 / 2)(mRandom));
            mRuns.push_back(
              { demand.organisation, estimate, took, now + took });
            used[demand.organisation] += static_cast<double>(took.count());
          }
        }
      }
      if (mFreeSlots == 0) {
        return;
      }
    }
  }

  int mFreeSlots;
  std::vector<Demand> mDemands;
  std::vector<Run> mRuns;
  pcg64 mRandom{ 7 };
};

double
smallest(const std::map<std::string, double>& used)
{
  return std::ranges::min_element(
           used, {}, [](const auto& entry) { return entry.second; })
    ->second;
}

double
mean(const std::map<std::string, double>& used)
{
  double sum = 0;
  for (const auto& [name, time] : used) {
    sum += time;
  }
  return sum / static_cast<double>(used.size());
}

} // namespace

// Guards against an organisation with 20 times as many batches that pushes out
// the others. Without sharing it gets most of the slots.
TEST(FairShareTest, LargeOrganisationDoesNotPushOutSmallOnes)
{
  std::vector<Contention::Demand> demands{ { "large", 20 } };
  for (int i = 0; i < 7; ++i) {
    demands.push_back({ "small-" + std::to_string(i), 1 });
  }
  constexpr Millis kLength{ 10'000 };
  FairShare unshared;
  const auto before = Contention(16, demands).run(unshared, kLength, false);
  FairShare share;
  const auto after = Contention(16, demands).run(share, kLength);
  EXPECT_FALSE(before.contains("small-0"));
  EXPECT_EQ(after.size(), 8U);
  EXPECT_GE(smallest(after) / mean(after), 0.8);
}

// Guards against shares that differ from the weights that the operator has set.
TEST(FairShareTest, SharesFollowTheWeights)
{
  FairShare share;
  share.setWeight("gold", 3);
  const auto used = Contention(12, { { "silver", 20 }, { "gold", 20 } })
                      .run(share, Millis(100'000));
  EXPECT_NEAR(used.at("gold") / used.at("silver"), 3.0, 0.15);
}

// Guards against shares by number of runs: an organisation whose runs are long
// must not get more slot time.
TEST(FairShareTest, LongRunsCountMore)
{
  FairShare share;
  const auto used =
    Contention(
      12, { { "short", 10, 0, Millis(300) }, { "long", 10, 0, Millis(3'000) } })
      .run(share, Millis(100'000));
  EXPECT_GE(smallest(used) / mean(used), 0.8);
}

// Guards against slots that stay free because an organisation that does not
// wait any more has a better claim.
TEST(FairShareTest, FreeSlotsGoToWhoeverAsks)
{
  FairShare share;
  const TimePoint start = TimePoint() + std::chrono::hours(1);
  share.recordWaiting("gone", 0, start);
  EXPECT_FALSE(share.mayStart("busy", 1, start));
  EXPECT_TRUE(share.mayStart("busy", 1, start + Millis(200)));
  EXPECT_TRUE(share.mayStart("alone", 5, start + Millis(200)));
}

// Guards against credit for idle time, with which an organisation would take
// all slots when it returns.
TEST(FairShareTest, IdleTimeEarnsNoCredit)
{
  FairShare share;
  const auto used =
    Contention(
      10,
      { { "steady", 10 }, { "late", 10, 0, Millis(1'000), Millis(20'000) } })
      .run(share, Millis(40'000));
  EXPECT_NEAR(used.at("late") / used.at("steady"), 1.0 / 3, 0.06);
}

// Guards against starvation by an organisation of higher priority.
TEST(FairShareTest, UrgentOrganisationsGoFirstAndOthersAge)
{
  FairShare share;
  const auto used = Contention(4, { { "urgent", 10, 0 }, { "patient", 10, 1 } })
                      .run(share, Millis(60'000));
  EXPECT_GT(used.at("urgent"), 2 * used.at("patient"));
  EXPECT_GT(used.at("patient"), 0);
}

} // namespace lentilrack::core
