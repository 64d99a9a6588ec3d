#include "core/fair_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace lentilrack::core {

namespace {

const TimePoint kStart{ Millis(1'000'000) };
const TimePoint kNever = kStart + Millis(1'000'000);

bool
isAlwaysEligible(const QueueItem& /*item*/)
{
  return true;
}

QueueItem
item(std::uint64_t id,
     std::string principal,
     double cost = 10,
     std::int64_t weight = 1,
     std::int64_t priority = 5)
{
  QueueItem result;
  result.id = id;
  result.flow = { std::move(principal), "k" };
  result.weight = weight;
  result.priority = priority;
  result.cost = cost;
  result.queuedAt = kStart;
  result.latestStart = kNever;
  return result;
}

/// Pops `count` items and sums their cost by principal.
std::map<std::string, double>
serve(FairQueue& queue, int count, TimePoint now = kStart)
{
  std::map<std::string, double> served;
  for (int i = 0; i < count; ++i) {
    const auto next = queue.pop(now, isAlwaysEligible);
    if (!next) {
      break;
    }
    served[next->flow.first] += next->cost;
  }
  return served;
}

} // namespace

TEST(FairQueue, ServesMoreUrgentClassesFirst)
{
  FairQueue queue;
  queue.push(item(1, "a", 10, 1, 5));
  queue.push(item(2, "b", 10, 1, 2));
  EXPECT_EQ(queue.pop(kStart, isAlwaysEligible)->id, 2U);
  EXPECT_EQ(queue.pop(kStart, isAlwaysEligible)->id, 1U);
  EXPECT_FALSE(queue.pop(kStart, isAlwaysEligible));
}

// Guards against sharing by the number of requests, which would give a caller
// with large requests more than its weight.
TEST(FairQueue, SharesFollowWeightsInTokens)
{
  FairQueue queue;
  std::uint64_t id = 0;
  for (int i = 0; i < 1000; ++i) {
    queue.push(item(++id, "large", 90, 1));
    queue.push(item(++id, "small", 10, 3));
    queue.push(item(++id, "small", 10, 3));
    queue.push(item(++id, "small", 10, 3));
  }
  const auto served = serve(queue, 1000);
  EXPECT_NEAR(served.at("small") / served.at("large"), 3.0, 0.15);
}

// Guards against a flow that accumulates credit while it is idle and then
// delays all other flows.
TEST(FairQueue, IdleFlowGetsNoCredit)
{
  FairQueue queue;
  std::uint64_t id = 0;
  for (int i = 0; i < 200; ++i) {
    queue.push(item(++id, "busy"));
  }
  serve(queue, 100);
  for (int i = 0; i < 100; ++i) {
    queue.push(item(++id, "late"));
  }
  const auto served = serve(queue, 20);
  EXPECT_NEAR(served.at("busy"), served.at("late"), 10);
}

// Guards against a caller that gets more than its share because the cost of its
// requests is underestimated.
TEST(FairQueue, CorrectionChargesTheRealCost)
{
  FairQueue queue;
  std::uint64_t id = 0;
  for (int i = 0; i < 2000; ++i) {
    queue.push(item(++id, "honest"));
    queue.push(item(++id, "liar"));
  }
  std::map<std::string, double> actual;
  for (int i = 0; i < 1000; ++i) {
    const auto next = queue.pop(kStart, isAlwaysEligible);
    const double cost = next->flow.first == "liar" ? 50 : 10;
    actual[next->flow.first] += cost;
    queue.correctCharge(
      next->flow, next->priority, next->weight, next->cost, cost);
  }
  EXPECT_NEAR(actual.at("liar") / actual.at("honest"), 1.0, 0.05);
}

// Guards against work of a low priority class that never starts because urgent
// work arrives all the time.
TEST(FairQueue, AgeingPreventsStarvation)
{
  FairQueue queue({ Millis(1000), Millis(2000) });
  queue.push(item(1, "old", 10, 1, 9));
  auto urgent = item(2, "new", 10, 1, 0);
  urgent.queuedAt = kStart + Millis(9000);
  queue.push(urgent);
  EXPECT_EQ(queue.peek(kStart + Millis(8999), isAlwaysEligible)->id, 2U);
  EXPECT_EQ(queue.peek(kStart + Millis(9000), isAlwaysEligible)->id, 1U);
}

// Guards against ageing that raises a whole class because of old work that
// cannot start.
TEST(FairQueue, OnlyEligibleWorkAgesItsClass)
{
  FairQueue queue({ Millis(1000), Millis(2000) });
  auto blocked = item(1, "trainer", 10, 1, 9);
  blocked.lane = "long";
  queue.push(blocked);
  auto low = item(2, "trainer", 10, 1, 9);
  low.queuedAt = kStart + Millis(20'000);
  queue.push(low);
  auto urgent = item(3, "caller", 10, 1, 3);
  urgent.queuedAt = kStart + Millis(20'000);
  queue.push(urgent);
  const auto shortOnly = [](const QueueItem& candidate) {
    return candidate.lane != "long";
  };
  EXPECT_EQ(queue.pop(kStart + Millis(20'000), shortOnly)->id, 3U);
}

// Guards against head-of-line blocking: an item that cannot start yet must not
// hold back the items of other lanes in the same flow.
TEST(FairQueue, BlockedLaneDoesNotBlockTheFlow)
{
  FairQueue queue;
  auto blocked = item(1, "a");
  blocked.lane = "long";
  queue.push(blocked);
  queue.push(item(2, "a"));
  const auto shortOnly = [](const QueueItem& candidate) {
    return candidate.lane != "long";
  };
  EXPECT_EQ(queue.pop(kStart, shortOnly)->id, 2U);
}

TEST(FairQueue, RemovesExpiredWork)
{
  FairQueue queue;
  auto late = item(1, "a");
  late.latestStart = kStart + Millis(10);
  queue.push(late);
  queue.push(item(2, "a"));
  EXPECT_TRUE(queue.takeExpired(kStart + Millis(10)).empty());
  const auto expired = queue.takeExpired(kStart + Millis(11));
  ASSERT_EQ(expired.size(), 1U);
  EXPECT_EQ(expired[0].id, 1U);
  EXPECT_EQ(queue.size(), 1U);
}

TEST(FairQueue, RequeuedWorkIsNext)
{
  FairQueue queue;
  queue.push(item(1, "a"));
  queue.push(item(2, "a"));
  auto first = queue.pop(kStart, isAlwaysEligible);
  queue.requeueItem(*first);
  EXPECT_EQ(queue.pop(kStart, isAlwaysEligible)->id, 1U);
}

TEST(FairQueue, TokensAheadCountUrgentClassesAndTheShare)
{
  FairQueue queue;
  queue.push(item(1, "urgent", 100, 1, 0));
  queue.push(item(2, "other", 1000, 1, 5));
  queue.push(item(3, "own", 50, 1, 5));
  queue.push(item(4, "later", 500, 1, 9));
  const RowKey own{ "own", "k" };
  EXPECT_DOUBLE_EQ(queue.tokensAhead(own, 5, 1), 100 + 50 + 50);
  EXPECT_DOUBLE_EQ(queue.tokensAhead({ "new", "k" }, 5, 1), 100);
}

// Guards against a wait estimate that ignores more urgent work arriving later.
// Such work lowers the observed service rate of the flow, and so the estimate
// must be based on that rate.
TEST(FairQueue, ObservedWaitFollowsTheServiceRate)
{
  FairQueue queue;
  std::uint64_t id = 0;
  for (int i = 0; i < 400; ++i) {
    queue.push(item(++id, "a"));
  }
  const RowKey flow{ "a", "k" };
  EXPECT_FALSE(queue.observedWait(flow, 5, kStart + Millis(500)));
  auto now = kStart;
  for (int i = 0; i < 200; ++i) {
    now += Millis(20);
    queue.pop(now, isAlwaysEligible);
  }
  // 200 items of 10 tokens are left, and one item was served every 20 ms: 2,000
  // tokens at 500 tokens per second take 4,000 ms.
  const auto wait = queue.observedWait(flow, 5, now);
  ASSERT_TRUE(wait);
  EXPECT_NEAR(static_cast<double>(wait->count()), 4000, 400);
}

// Checks that every item leaves the queue exactly once and that the sums return
// to zero.
RC_GTEST_PROP(FairQueue, KeepsEveryItem, ())
{
  FairQueue queue;
  std::set<std::uint64_t> inside;
  std::uint64_t id = 0;
  const auto steps =
    *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 400));
  for (const auto step : steps) {
    if (step % 4 < 2) {
      auto result = item(++id,
                         std::string(1, static_cast<char>('a' + step % 5)),
                         1 + step,
                         1 + step % 7,
                         step % 3);
      result.lane = step % 2 == 0 ? "x" : "y";
      queue.push(result);
      inside.insert(id);
    } else if (step % 4 == 2) {
      const auto next = queue.pop(kStart, isAlwaysEligible);
      RC_ASSERT(next.has_value() == !inside.empty());
      RC_ASSERT(!next || inside.erase(next->id) == 1);
    } else {
      const auto victim = static_cast<std::uint64_t>(step);
      RC_ASSERT(queue.remove(victim).has_value() ==
                (inside.erase(victim) == 1));
    }
    RC_ASSERT(queue.size() == inside.size());
  }
  while (const auto next = queue.pop(kStart, isAlwaysEligible)) {
    RC_ASSERT(inside.erase(next->id) == 1);
  }
  RC_ASSERT(inside.empty());
  RC_ASSERT(queue.tokens() == 0);
}

} // namespace lentilrack::core
