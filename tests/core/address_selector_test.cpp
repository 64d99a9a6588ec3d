#include "core/address_selector.h"

#include <gtest/gtest.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <set>

namespace lentilrack::core {

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr std::size_t kTestSetSize = 8;

Member
entryOf(const std::string& name,
        const std::string& domain,
        std::int64_t inFlight = 0,
        MemberState state = MemberState::Alive)
{
  Member member;
  member.id = { name, 1 };
  member.failureDomain = domain;
  member.http = Endpoint{ "127.0.0.1", 1000 };
  member.state = state;
  member.inFlight = inFlight;
  return member;
}

Member
dispatcherOf(const std::string& name,
             const std::string& domain,
             const std::vector<std::string>& targets)
{
  auto member = entryOf(name, domain);
  member.role = MemberRole::Dispatch;
  for (const auto& target : targets) {
    member.load[target].servers = 1;
  }
  return member;
}

struct Random
{
  pcg64 engine{ 20261204 };
  RandomBelow below = [this](std::uint64_t bound) { return engine(bound); };
};

/// Returns the mean weight of an instance over many lists.
double
meanShare(const AddressSelector& selector,
          const std::string& name,
          const std::string& callerDomain,
          TimePoint now)
{
  Random random;
  double sum = 0;
  constexpr int kLists = 2000;
  for (int i = 0; i < kLists; ++i) {
    for (const auto& share : selector.choose(callerDomain, random.below, now)) {
      sum += share.id.name == name ? share.weight : 0;
    }
  }
  return sum / kLists;
}

} // namespace

// Guards against sending callers to an instance that is leaving or suspect.
TEST(AddressSelector, ListsOnlyAliveInstances)
{
  AddressSelector selector;
  selector.update({ entryOf("a", "x"), entryOf("b", "y") }, kStart);
  selector.update({ entryOf("a", "x", 0, MemberState::Leaving),
                    entryOf("b", "y"),
                    entryOf("c", "y", 0, MemberState::Suspect) },
                  kStart);
  Random random;
  const auto shares = selector.choose("", random.below, kStart);
  ASSERT_EQ(shares.size(), 1U);
  EXPECT_EQ(shares.front().id.name, "b");
  EXPECT_DOUBLE_EQ(shares.front().weight, 1);
}

TEST(AddressSelector, IsEmptyWithoutInstances)
{
  Random random;
  EXPECT_TRUE(AddressSelector().choose("", random.below, kStart).empty());
}

// Guards against giving a new instance its full share at once.
TEST(AddressSelector, NewInstanceStartsSlowly)
{
  AddressSelector selector;
  selector.update({ entryOf("a", "x"), entryOf("b", "x") }, kStart);
  const std::vector<Member> later{ entryOf("a", "x"),
                                   entryOf("b", "x"),
                                   entryOf("c", "x") };
  selector.update(later, kStart + Millis(1000));
  const auto early = meanShare(selector, "c", "", kStart + Millis(1000));
  const auto half = meanShare(selector, "c", "", kStart + Millis(16'000));
  const auto late = meanShare(selector, "c", "", kStart + Millis(40'000));
  EXPECT_NEAR(early, 0.1 / 2.1, 0.001);
  EXPECT_NEAR(half, 0.5 / 2.5, 0.001);
  EXPECT_NEAR(late, 1.0 / 3, 0.001);
}

// Guards against skipping the slow start of an instance that restarts under the
// same name.
TEST(AddressSelector, OtherIncarnationIsNew)
{
  AddressSelector selector;
  selector.update({ entryOf("a", "x"), entryOf("b", "x") }, kStart);
  auto restarted = entryOf("b", "x");
  restarted.id.incarnation = 2;
  selector.update({ entryOf("a", "x"), restarted }, kStart);
  EXPECT_LT(meanShare(selector, "b", "", kStart), 0.2);
}

TEST(AddressSelector, LoadedInstanceGetsASmallerShare)
{
  AddressSelector selector;
  selector.update({ entryOf("a", "x", 9), entryOf("b", "x", 0) }, kStart);
  EXPECT_NEAR(meanShare(selector, "a", "", kStart), 1.0 / 11, 0.001);
}

// Guards against a list whose addresses all fail together because they are in
// the same failure domain.
TEST(AddressSelector, PrefersTheCallersDomainButCoversASecondOne)
{
  AddressSelector selector;
  std::vector<Member> members;
  for (int i = 0; i < 20; ++i) {
    members.push_back(entryOf("x" + std::to_string(i), "x"));
  }
  members.push_back(entryOf("y", "y", 50));
  selector.update(members, kStart);
  Random random;
  for (int i = 0; i < 100; ++i) {
    const auto shares = selector.choose("x", random.below, kStart);
    std::set<std::string> domains;
    double inX = 0;
    for (const auto& share : shares) {
      domains.insert(share.failureDomain);
      inX += share.failureDomain == "x" ? share.weight : 0;
    }
    EXPECT_EQ(shares.size(), 4U);
    EXPECT_EQ(domains.size(), 2U);
    EXPECT_GT(inX, 0.9);
  }
}

// Guards against issuing a ticket whose dispatchers do not serve the caller's
// model.
TEST(DispatchSet, CoversTargets)
{
  std::vector<Member> members;
  for (int i = 0; i < 20; ++i) {
    members.push_back(dispatcherOf("a" + std::to_string(i), "x", { "common" }));
  }
  members.push_back(dispatcherOf("rare", "y", { "rare" }));
  const auto set = chooseDispatchSet(members, "", "x", kTestSetSize);
  EXPECT_EQ(set.size(), kTestSetSize);
  EXPECT_EQ(std::ranges::count(set, ProcessId{ "rare", 1 }), 1);
}

TEST(DispatchSet, HalfOfTheSetServesTheRequestedTarget)
{
  std::vector<Member> members;
  for (int i = 0; i < 20; ++i) {
    const auto number = std::to_string(i);
    members.push_back(dispatcherOf("a" + number, "x", { "m" + number }));
    members.push_back(dispatcherOf("w" + number, "y", { "wanted" }));
  }
  const auto set = chooseDispatchSet(members, "wanted", "x", kTestSetSize);
  EXPECT_EQ(std::ranges::count_if(
              set, [](const auto& id) { return id.name.front() == 'w'; }),
            4);
}

// Guards against choosing a dispatcher that exits before it can run the
// request.
TEST(DispatchSet, ExcludesLeavingDispatchers)
{
  auto leaving = dispatcherOf("a", "x", { "m" });
  leaving.state = MemberState::Leaving;
  EXPECT_TRUE(chooseDispatchSet({ leaving }, "m", "x", 8).empty());
}

} // namespace lentilrack::core
