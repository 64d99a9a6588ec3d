#include "core/server_set.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

const TimePoint kStart{ Millis(1'000'000) };

BackendServer
engine(std::string id, std::int64_t slots = 8)
{
  BackendServer server;
  server.id = std::move(id);
  server.models = { "m" };
  server.slots = slots;
  return server;
}

bool
all(const BackendServer& /*server*/)
{
  return true;
}

bool
none(const BackendServer& /*server*/)
{
  return false;
}

ServerReport
reportAt(TimePoint observedAt, bool leaving)
{
  ServerReport report;
  report.observedAt = observedAt;
  report.leaving = leaving;
  return report;
}

} // namespace

// Guards against new work on a server that reports that it is leaving while the
// outdated instance list still shows it as live.
TEST(ServerSet, LoadReportStopsNewWorkBeforeTheList)
{
  ServerSet set;
  set.update({ engine("a") }, all, kStart);
  EXPECT_TRUE(set.find("a")->isOpen(kStart));
  set.applyReport("a", reportAt(kStart, true));
  EXPECT_FALSE(set.find("a")->isOpen(kStart));
  set.update({ engine("a") }, all, kStart + Millis(1000));
  EXPECT_FALSE(set.find("a")->isOpen(kStart + Millis(1000)));
}

TEST(ServerSet, ListStopsNewWorkBeforeAnyReport)
{
  ServerSet set;
  auto server = engine("a");
  set.update({ server }, all, kStart);
  server.leaving = true;
  set.update({ server }, all, kStart);
  set.applyReport("a", reportAt(kStart, false));
  EXPECT_FALSE(set.find("a")->isOpen(kStart));
}

TEST(ServerSet, RefusalPausesNewWork)
{
  ServerSet set;
  set.update({ engine("a") }, all, kStart);
  set.recordRefusal("a", kStart);
  EXPECT_FALSE(set.find("a")->isOpen(kStart + Millis(2999)));
  EXPECT_TRUE(set.find("a")->isOpen(kStart + Millis(3000)));
}

// Guards against a single request that no engine can run, such as one larger
// than its memory, and that closes each server it is sent to for seconds.
TEST(ServerSet, ReportAfterASingleRefusalEndsThePause)
{
  ServerSet set;
  set.update({ engine("a") }, all, kStart);
  set.recordRefusal("a", kStart);
  set.applyReport("a", reportAt(kStart - Millis(1), false));
  EXPECT_FALSE(set.find("a")->isOpen(kStart + Millis(10)));
  set.applyReport("a", reportAt(kStart + Millis(1), false));
  EXPECT_TRUE(set.find("a")->isOpen(kStart + Millis(10)));
  // A server that refuses again without having run anything stays closed.
  set.recordRefusal("a", kStart + Millis(20));
  set.applyReport("a", reportAt(kStart + Millis(30), false));
  EXPECT_FALSE(set.find("a")->isOpen(kStart + Millis(40)));
  set.started("a", false, kStart + Millis(4'000));
  set.finished("a", false, true);
  set.recordRefusal("a", kStart + Millis(5'000));
  set.applyReport("a", reportAt(kStart + Millis(5'010), false));
  EXPECT_TRUE(set.find("a")->isOpen(kStart + Millis(5'020)));
}

// Guards against sending work to a leaving server because an older report, from
// before it was leaving, arrives after the newer one.
TEST(ServerSet, OlderReportDoesNotReplaceANewerOne)
{
  ServerSet set;
  set.update({ engine("a") }, all, kStart);
  set.applyReport("a", reportAt(kStart, true));
  set.applyReport("a", reportAt(kStart - Millis(5000), false));
  EXPECT_FALSE(set.find("a")->isOpen(kStart));
  set.applyReport("a", reportAt(kStart + Millis(1), false));
  EXPECT_TRUE(set.find("a")->isOpen(kStart));
}

TEST(ServerSet, RestartAtAnotherAddressIsANewServer)
{
  ServerSet set;
  auto server = engine("a");
  set.update({ server }, all, kStart);
  set.applyReport("a", reportAt(kStart, true));
  server.endpoint.port = 99;
  set.update({ server }, all, kStart);
  EXPECT_TRUE(set.find("a")->isOpen(kStart));
}

// Guards against forgetting a server that has another owner now while it still
// runs jobs of this dispatcher.
TEST(ServerSet, KeepsAServerUntilItsWorkHasEnded)
{
  ServerSet set;
  set.update({ engine("a") }, all, kStart);
  set.started("a", false, kStart);
  set.update({ engine("a") }, none, kStart);
  ASSERT_NE(set.find("a"), nullptr);
  EXPECT_FALSE(set.find("a")->isOpen(kStart));
  set.finished("a", false, true);
  set.advance(kStart);
  EXPECT_EQ(set.find("a"), nullptr);
}

TEST(ServerSet, ServerThatVanishesFromTheListGetsNoNewWork)
{
  ServerSet set;
  set.update({ engine("a"), engine("b") }, all, kStart);
  set.started("a", false, kStart);
  set.update({ engine("b") }, all, kStart);
  EXPECT_FALSE(set.find("a")->isOpen(kStart));
  EXPECT_EQ(set.owned().size(), 1U);
}

// Guards against overloading a server whose owner changes: jobs of the old
// owner may still run there while the new owner starts its own.
TEST(ServerSet, NewOwnerStartsWithASmallWindow)
{
  ServerSet set;
  set.update({ engine("a") }, all, kStart);
  EXPECT_EQ(set.find("a")->freeSlots(), 1);
  set.started("a", false, kStart);
  EXPECT_EQ(set.find("a")->freeSlots(), 0);
  set.finished("a", false, true);
  EXPECT_EQ(set.find("a")->freeSlots(), 2);
  set.advance(kStart + Millis(5000));
  EXPECT_EQ(set.find("a")->freeSlots(), 8);
}

TEST(ServerSet, HoldsAreCounted)
{
  ServerSet set;
  set.update({ engine("a") }, all, kStart);
  EXPECT_TRUE(set.hold("a"));
  EXPECT_TRUE(set.hold("a"));
  set.release("a");
  EXPECT_FALSE(set.find("a")->isOpen(kStart));
  set.release("a");
  set.release("a");
  EXPECT_TRUE(set.find("a")->isOpen(kStart));
  EXPECT_FALSE(set.hold("missing"));
}

TEST(ServerSet, VersionsOnlyGoUpOutsideReports)
{
  ServerSet set;
  set.update({ engine("a") }, all, kStart);
  set.setVersion("a", "m", 5, kStart);
  set.setVersion("a", "m", 4, kStart);
  EXPECT_EQ(set.find("a")->versions.at("m"), 5);
  auto late = reportAt(kStart - Millis(1000), false);
  late.models = { { "m", 3 } };
  set.applyReport("a", late);
  EXPECT_EQ(set.find("a")->versions.at("m"), 5);
}

// Guards against work that exceeds the rate which a server states, and against
// a server that stays without work after its limit has ended.
TEST(ServerSet, ServerThatStatesARateTakesWorkAtThatRate)
{
  ServerSet set;
  set.update({ engine("a") }, all, kStart);
  const auto endpoint = set.find("a")->server.endpoint;
  const auto index = *set.indexOf("a");
  constexpr double kRate = 2;
  set.recordStatedRate(endpoint, kRate, kStart);
  int started = 0;
  constexpr Millis kDuration{ 10'000 };
  for (auto now = kStart; now < kStart + kDuration; now += Millis(10)) {
    if (set.slots(index).hasFreeSlot(now)) {
      set.started("a", false, now);
      set.finished("a", false, true);
      ++started;
    }
  }
  // Half more than the rate, and 5, is what operators allow at most.
  EXPECT_LE(started, 1.5 * kRate * 10 + 5);
  EXPECT_GE(started, 0.8 * kRate * 10);
  set.recordStatedRate(endpoint, std::nullopt, kStart + kDuration);
  EXPECT_TRUE(set.slots(index).hasFreeSlot(kStart + kDuration));
}

// Guards against work that waits in the queue although the stated rates leave
// no time for it.
TEST(ServerSet, RateWaitGrowsWithTheQueue)
{
  ServerSet set;
  auto first = engine("a");
  first.endpoint = { "127.0.0.1", 1 };
  auto second = engine("b");
  second.endpoint = { "127.0.0.1", 2 };
  set.update({ first, second }, all, kStart);
  EXPECT_EQ(set.rateWait("m", 10, kStart), Millis(0));
  set.recordStatedRate(first.endpoint, 1.0, kStart);
  EXPECT_EQ(set.rateWait("m", 10, kStart), Millis(0));
  set.recordStatedRate(second.endpoint, 1.0, kStart);
  EXPECT_GE(set.rateWait("m", 21, kStart), Millis(10'000));
}

// Guards against work that waits for servers which state that they take
// nothing, and against a wait that does not fit into its type.
TEST(ServerSet, RatesOfZeroAndTinyRatesLeaveABoundedWait)
{
  constexpr double kTinyRate = 1e-300;
  for (const double rate : { 0.0, kTinyRate }) {
    ServerSet set;
    auto server = engine("a");
    server.endpoint = { "127.0.0.1", 1 };
    set.update({ server }, all, kStart);
    set.recordStatedRate(server.endpoint, rate, kStart);
    EXPECT_GE(set.rateWait("m", 3, kStart), Millis(10'000));
    EXPECT_LE(set.rateWait("m", 3, kStart), Millis(std::chrono::minutes(1)));
  }
}

} // namespace lentilrack::core
