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
    const auto* found = members.find(name);
    return found == nullptr ? MemberState::Dead : found->state;
  }

  Membership members{ member("self", 1, 5), {} };
};

} // namespace

// Guards against a late report that brings an older state back.
TEST_F(MembershipTest, OlderReportNeverReplacesNewer)
{
  members.heard(member("a", 7, 4, MemberState::Leaving), kStart);
  EXPECT_FALSE(members.reported(member("a", 7, 3), kStart));
  EXPECT_EQ(stateOf("a"), MemberState::Leaving);
}

// Guards against a dead process that is reported alive for ever.
TEST_F(MembershipTest, FailedProbeLeadsToDeathUnlessRefuted)
{
  members.heard(member("a", 7, 4), kStart);
  members.heard(member("b", 8, 4), kStart);
  members.probeFailed("a", kStart);
  members.probeFailed("b", kStart);
  EXPECT_EQ(stateOf("a"), MemberState::Suspect);
  EXPECT_TRUE(members.reported(member("b", 8, 5), kStart));
  members.advance(kStart + std::chrono::seconds(3));
  EXPECT_EQ(stateOf("a"), MemberState::Dead);
  EXPECT_EQ(stateOf("b"), MemberState::Alive);
}

// Guards against an old report by others that replaces a restarted process.
TEST_F(MembershipTest, RestartIsBelievedOnlyFromTheProcessItself)
{
  members.heard(member("a", 7, 400), kStart);
  members.heard(member("a", 9, 1), kStart);
  EXPECT_EQ(members.find("a")->id.incarnation, 9U);
  EXPECT_FALSE(members.reported(member("a", 7, 500), kStart));
  EXPECT_EQ(members.find("a")->id.incarnation, 9U);
}

// Guards against a paused process that stays suspected after it woke up.
TEST_F(MembershipTest, SuspectedProcessRefutesWithNewerReport)
{
  members.reported(member("self", 1, 9, MemberState::Suspect), kStart);
  EXPECT_GT(members.self().reportNumber, 9U);
}

TEST_F(MembershipTest, LeavingMembersAreReachableButNotLive)
{
  members.heard(member("a", 7, 4, MemberState::Leaving), kStart);
  EXPECT_EQ(members.live(MemberRole::Dispatch).size(), 1U);
  EXPECT_EQ(members.reachable(MemberRole::Dispatch).size(), 2U);
  members.probeFailed("a", kStart);
  EXPECT_EQ(members.reachable(MemberRole::Dispatch).size(), 1U);
}

// Guards against a report that revives a member after it was declared dead.
TEST_F(MembershipTest, DeadMemberIsForgottenOnlyLater)
{
  members.heard(member("a", 7, 4), kStart);
  members.reported(member("a", 7, 4, MemberState::Dead), kStart);
  EXPECT_FALSE(members.reported(member("a", 7, 4), kStart));
  members.advance(kStart + std::chrono::seconds(30));
  EXPECT_NE(members.find("a"), nullptr);
  members.advance(kStart + std::chrono::seconds(61));
  EXPECT_EQ(members.find("a"), nullptr);
}

// Guards against a shutdown that cuts work off or ends before the others know.
TEST(DrainTest, EndsOnlyWithNothingInFlightAndAfterNotice)
{
  Drain drain(Millis(1000));
  EXPECT_FALSE(drain.mayEnd(0, kStart));
  drain.begin(kStart);
  EXPECT_TRUE(drain.refusesWork());
  EXPECT_FALSE(drain.mayEnd(0, kStart + Millis(999)));
  EXPECT_FALSE(drain.mayEnd(1, kStart + std::chrono::hours(1)));
  EXPECT_TRUE(drain.mayEnd(0, kStart + Millis(1000)));
}

} // namespace lentilrack::core
