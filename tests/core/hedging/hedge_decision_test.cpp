#include "core/hedging/hedge_controller.h"
#include "core/hedging/hedge_limit.h"

#include <gtest/gtest.h>

#include <vector>

namespace lentilrack::core {

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
const HedgePolicy::Subject kSubject{ "service", "forward" };

/// Durations of a service of which 2% of the requests take very long.
std::vector<DurationShare>
withSlowTail()
{
  return { { PreciseMillis(30), 0.5 },
           { PreciseMillis(50), 0.48 },
           { PreciseMillis(900), 0.02 } };
}

RegisteredServer
server(const std::string& id, const std::string& domain)
{
  RegisteredServer result;
  result.entry.id = id;
  result.entry.service = kSubject.service;
  result.entry.failureDomain = domain;
  result.entry.slots = 2;
  return result;
}

/// Records answered requests, 2% of which are slow.
void
recordRequests(HedgeController& controller, int count, TimePoint now)
{
  for (int i = 0; i < count; ++i) {
    const PreciseMillis took(i % 50 == 49 ? 900 : 30 + i % 20);
    controller.recordAttempt(
      kSubject, { AttemptEnd::Answered, took, 2, true, std::nullopt }, now);
  }
}

} // namespace

// Guards against second attempts for requests that are no slower than usual,
// and against waiting until slow requests have ended.
TEST(HedgePolicyTest, DelaySeparatesSlowRequestsFromOthers)
{
  const auto plan = planHedge(withSlowTail(), 0.05);
  ASSERT_TRUE(plan);
  EXPECT_EQ(plan->delay, PreciseMillis(50));
  EXPECT_GT(plan->winProbability, 0.9);
  EXPECT_LT(plan->expectedWork.count(), 70);
}

// Guards against extra work that cannot shorten a response: where durations
// vary little, where time that has passed says nothing about the remaining
// time, and without a limit.
TEST(HedgePolicyTest, NoPlanWithoutGain)
{
  EXPECT_FALSE(planHedge(
    { { PreciseMillis(100), 0.9 }, { PreciseMillis(130), 0.1 } }, 0.1));
  std::vector<DurationShare> exponential;
  double longer = 1;
  for (int i = 1; i <= 200; ++i) {
    exponential.push_back({ PreciseMillis(10 * i), longer * 0.1 });
    longer *= 0.9;
  }
  EXPECT_FALSE(planHedge(exponential, 0.1));
  EXPECT_FALSE(planHedge(withSlowTail(), 0));
  EXPECT_FALSE(planHedge({}, 0.1));
}

// Guards against plans from a few observations, and from observations that are
// hours old.
TEST(HedgePolicyTest, NoPlanWithoutRecentObservations)
{
  HedgeController controller;
  controller.setLimit(0.05);
  recordRequests(controller, 15, kStart);
  EXPECT_FALSE(controller.plan(kSubject, kStart));
  recordRequests(controller, 200, kStart);
  EXPECT_TRUE(controller.plan(kSubject, kStart));
  EXPECT_FALSE(controller.plan({ "service", "reward" }, kStart));
  EXPECT_FALSE(controller.plan(kSubject, kStart + std::chrono::hours(2)));
}

// Guards against a distribution from which the cancelled, slow attempts are
// missing: hedging would then end its own reason.
TEST(DurationDistributionTest, CancelledAttemptsCountAsLonger)
{
  DurationDistribution durations;
  for (int i = 0; i < 90; ++i) {
    durations.add(PreciseMillis(40), kStart);
  }
  for (int i = 0; i < 10; ++i) {
    durations.add(PreciseMillis(900), kStart);
    durations.addCancelled(PreciseMillis(100), kStart);
  }
  EXPECT_GT(durations.quantile(0.85).count(), 800);
  EXPECT_LT(durations.quantile(0.75).count(), 50);
}

// Guards against spending the limit on second attempts that never win, as where
// the duration depends on the request.
TEST(HedgePolicyTest, LostAttemptsEndHedgingForAWhile)
{
  HedgePolicy policy;
  for (int i = 0; i < 200; ++i) {
    policy.recordCompletion(
      kSubject, PreciseMillis(i % 50 == 0 ? 900 : 40), kStart);
  }
  const auto plan = policy.plan(kSubject, 0.05, kStart);
  ASSERT_TRUE(plan);
  for (int i = 0; i < 80; ++i) {
    policy.recordHedge(kSubject, *plan, PreciseMillis(800), false, kStart);
  }
  const auto later = kStart + std::chrono::seconds(1);
  EXPECT_FALSE(policy.plan(kSubject, 0.05, later));
  EXPECT_TRUE(policy.plan(kSubject, 0.05, kStart + std::chrono::minutes(10)));
}

// Guards against second attempts at servers that cannot answer faster: the
// first one's server, leaving, full, avoided, loading and rate-limited servers.
TEST(HedgeTargetTest, UnsuitableServersAreExcluded)
{
  std::vector<RegisteredServer> servers;
  for (const auto* id : { "s0", "s1", "s2", "s3", "s4", "s5", "s6" }) {
    servers.push_back(server(id, "north"));
  }
  servers[1].entry.draining = true;
  servers[2].leaving = true;
  servers[3].running = 2;
  servers[4].avoidUntil = kStart + Millis(10);
  servers[5].statedRate = 5;
  servers[6].loadingUntil = kStart + Millis(10);
  std::vector<const RegisteredServer*> listed;
  for (const auto& one : servers) {
    listed.push_back(&one);
  }
  const HedgeTargetRequest request{ { "s0" }, "north", "north", false };
  EXPECT_EQ(chooseHedgeTarget(listed, request, kStart, 0.5), nullptr);
  servers[4].avoidUntil = {};
  EXPECT_EQ(chooseHedgeTarget(listed, request, kStart, 0.5), &servers[4]);
}

// Guards against a second attempt in a failure domain that is slow as a whole,
// and against one at a far busier server only to change the domain.
TEST(HedgeTargetTest, AnotherDomainIsPreferredAtSimilarLoad)
{
  auto same = server("s1", "north");
  auto other = server("s2", "south");
  same.entry.slots = other.entry.slots = 8;
  const HedgeTargetRequest request{ { "s0" }, "north", "north", false };
  EXPECT_EQ(chooseHedgeTarget({ &same, &other }, request, kStart, 0), &other);
  other.running = 6;
  EXPECT_EQ(chooseHedgeTarget({ &same, &other }, request, kStart, 0), &same);
}

// Guards against second attempts that make an overload worse.
TEST(HedgeControllerTest, BusyServiceGetsNoSecondAttempts)
{
  HedgeController controller;
  controller.setLimit(0.05);
  recordRequests(controller, 500, kStart);
  const auto plan = controller.plan(kSubject, kStart);
  ASSERT_TRUE(plan);
  const auto free = server("s1", "south");
  const HedgeController::Question question{
    kSubject.service, *plan, { { "s0" }, "north", "north", false }, 0, 0
  };
  const auto allowed = controller.decide(question, { &free }, kStart);
  ASSERT_EQ(allowed.verdict, HedgeVerdict::Allowed);
  EXPECT_EQ(allowed.server, &free);
  EXPECT_EQ(controller.decide(question, {}, kStart).verdict,
            HedgeVerdict::NoServer);
  for (int i = 0; i < 600; ++i) {
    controller.recordAttempt(
      kSubject,
      { AttemptEnd::Refused, PreciseMillis(1), 2, false, std::nullopt },
      kStart);
  }
  EXPECT_EQ(controller.decide(question, { &free }, kStart).verdict,
            HedgeVerdict::ServiceBusy);
  // Refusals of some time ago say nothing about the load.
  const auto later = kStart + std::chrono::seconds(9);
  EXPECT_EQ(controller.decide(question, { &free }, later).verdict,
            HedgeVerdict::Allowed);
}

// Guards against a mistyped value in the store that removes the limit or sets
// an impossible one.
TEST(HedgeLimitTest, StoredLimitTakesPrecedence)
{
  HedgeLimit limit(5.0);
  EXPECT_TRUE(limit.applyStored(R"({"limit_percent": 0})"));
  EXPECT_EQ(limit.percent(), 0.0);
  for (const auto* malformed : { "",
                                 "7",
                                 "[]",
                                 "{}",
                                 R"({"limit_percent": "7"})",
                                 R"({"limit_percent": -1})",
                                 R"({"limit_percent": 101})" }) {
    EXPECT_FALSE(limit.applyStored(malformed)) << malformed;
    EXPECT_EQ(limit.percent(), 0.0);
  }
  limit.removeStored();
  EXPECT_EQ(limit.percent(), 5.0);
  EXPECT_FALSE(HedgeLimit(std::nullopt).percent());
}

} // namespace lentilrack::core
