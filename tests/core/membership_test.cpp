#include "core/drain.h"
#include "core/membership.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

const TimePoint kStart{ std::chrono::hours(1) };

Member
member(const std::string& name,
       Incarnation incarnation,
       std::uint64_t report,
       MemberState state = MemberState::Alive)
{
  Member m;
  m.id = { name, incarnation };
  m.role = MemberRole::Dispatch;
  m.failureDomain = "etna";
  m.link = { "127.0.0.1", 1 };
  m.state = state;
  m.reportNumber = report;
  return m;
}

class MembershipTest : public ::testing::Test
{
protected:
  MemberState stateOf(const std::string& name) const
  {
    const auto* found = mMembers.find(name);
    return found == nullptr ? MemberState::Dead : found->state;
  }

  Membership mMembers{ member("self", 1, 5), {} };
};

} // namespace

// Guards against restoring an older state of a member because a report arrives
// late.
TEST_F(MembershipTest, OlderReportNeverReplacesNewer)
{
  mMembers.applyHeartbeat(member("a", 7, 4, MemberState::Leaving), kStart);
  EXPECT_FALSE(mMembers.applyReport(member("a", 7, 3), kStart));
  EXPECT_EQ(stateOf("a"), MemberState::Leaving);
}

// Guards against a dead process that is considered alive forever.
TEST_F(MembershipTest, UnrefutedSuspectIsDeclaredDead)
{
  mMembers.applyHeartbeat(member("a", 7, 4), kStart);
  mMembers.applyHeartbeat(member("b", 8, 4), kStart);
  mMembers.recordFailedProbe("a", kStart);
  mMembers.recordFailedProbe("b", kStart);
  EXPECT_EQ(stateOf("a"), MemberState::Suspect);
  EXPECT_TRUE(mMembers.applyReport(member("b", 8, 5), kStart));
  mMembers.expireStates(kStart + std::chrono::seconds(3));
  EXPECT_EQ(stateOf("a"), MemberState::Dead);
  EXPECT_EQ(stateOf("b"), MemberState::Alive);
}

// Guards against replacing a restarted process by its former incarnation
// because others pass on an old report.
TEST_F(MembershipTest, RestartIsAcceptedOnlyFromTheProcessItself)
{
  mMembers.applyHeartbeat(member("a", 7, 400), kStart);
  mMembers.applyHeartbeat(member("a", 9, 1), kStart);
  EXPECT_EQ(mMembers.find("a")->id.incarnation, 9U);
  EXPECT_FALSE(mMembers.applyReport(member("a", 7, 500), kStart));
  EXPECT_EQ(mMembers.find("a")->id.incarnation, 9U);
}

// Guards against suspecting a process for ever although it answers again after
// a pause.
TEST_F(MembershipTest, SuspectedProcessRefutesWithNewerReport)
{
  mMembers.applyReport(member("self", 1, 9, MemberState::Suspect), kStart);
  EXPECT_GT(mMembers.self().reportNumber, 9U);
}

TEST_F(MembershipTest, LeavingMembersAreReachableButNotLive)
{
  mMembers.applyHeartbeat(member("a", 7, 4, MemberState::Leaving), kStart);
  EXPECT_EQ(mMembers.liveMembers(MemberRole::Dispatch).size(), 1U);
  EXPECT_EQ(mMembers.reachableMembers(MemberRole::Dispatch).size(), 2U);
  mMembers.recordFailedProbe("a", kStart);
  EXPECT_EQ(mMembers.reachableMembers(MemberRole::Dispatch).size(), 1U);
}

// Guards against treating a dead member as alive because a report from before
// its death arrives late.
TEST_F(MembershipTest, DeadMemberIsKeptForTheRetentionTime)
{
  mMembers.applyHeartbeat(member("a", 7, 4), kStart);
  mMembers.applyReport(member("a", 7, 4, MemberState::Dead), kStart);
  EXPECT_FALSE(mMembers.applyReport(member("a", 7, 4), kStart));
  mMembers.expireStates(kStart + std::chrono::seconds(30));
  EXPECT_NE(mMembers.find("a"), nullptr);
  mMembers.expireStates(kStart + std::chrono::seconds(61));
  EXPECT_EQ(mMembers.find("a"), nullptr);
}

// Guards against heartbeats that repeat old updates and therefore stay large,
// and against updates that are passed on too rarely to reach all members.
TEST_F(MembershipTest, UpdatesArePassedOnALimitedNumberOfTimes)
{
  mMembers.applyHeartbeat(member("a", 7, 4), kStart);
  mMembers.applyHeartbeat(member("b", 8, 4), kStart);
  std::size_t sent = 0;
  for (int i = 0; i < 50; ++i) {
    sent += mMembers.takeUpdates(8).size();
  }
  EXPECT_EQ(sent, 12U);
  mMembers.applyHeartbeat(member("a", 7, 5), kStart);
  EXPECT_TRUE(mMembers.takeUpdates(8).empty());
  mMembers.applyHeartbeat(member("a", 7, 6, MemberState::Leaving), kStart);
  const auto updates = mMembers.takeUpdates(8);
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_EQ(updates.front().state, MemberState::Leaving);
}

// Guards against a process that exits while it still has work, or before the
// other processes have had time to learn that it is leaving.
TEST(DrainTest, ExitsOnlyWithNothingInFlightAndAfterNotice)
{
  Drain drain(Millis(1000));
  EXPECT_FALSE(drain.canExit(0, kStart));
  drain.startDraining(kStart);
  EXPECT_TRUE(drain.refusesWork());
  EXPECT_FALSE(drain.canExit(0, kStart + Millis(999)));
  EXPECT_FALSE(drain.canExit(1, kStart + std::chrono::hours(1)));
  EXPECT_TRUE(drain.canExit(0, kStart + Millis(1000)));
}

} // namespace lentilrack::core
