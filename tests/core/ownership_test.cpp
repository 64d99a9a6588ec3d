#include "core/ownership.h"

#include <gtest/gtest.h>

#include <map>

namespace lentilrack::core {

namespace {

Member
dispatcher(std::string name, std::string domain)
{
  Member member;
  member.id.name = std::move(name);
  member.failureDomain = std::move(domain);
  member.role = MemberRole::Dispatch;
  return member;
}

BackendServer
server(int number, std::string domain)
{
  BackendServer made;
  made.id = "engine-" + std::to_string(number);
  made.failureDomain = std::move(domain);
  return made;
}

} // namespace

TEST(Ownership, PrefersTheSameFailureDomain)
{
  const std::vector<Member> members{ dispatcher("a", "etna"),
                                     dispatcher("b", "siracusa") };
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(ownerOf(server(i, "etna"), members), "a");
    EXPECT_EQ(ownerOf(server(i, "siracusa"), members), "b");
    EXPECT_FALSE(ownerOf(server(i, "messina"), members).empty());
  }
}

TEST(Ownership, NoOwnerWithoutDispatchers)
{
  EXPECT_EQ(ownerOf(server(1, "etna"), {}), "");
}

// Guards against different owners in processes that list the same members in a
// different order.
TEST(Ownership, DoesNotDependOnTheOrderOfMembers)
{
  std::vector<Member> members{ dispatcher("a", "etna"),
                               dispatcher("b", "etna"),
                               dispatcher("c", "etna") };
  const std::vector<Member> reversed(members.rbegin(), members.rend());
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(ownerOf(server(i, "etna"), members),
              ownerOf(server(i, "etna"), reversed));
  }
}

// Guards against moving servers between the remaining dispatchers when one
// dispatcher is lost.
TEST(Ownership, LossOfADispatcherMovesOnlyItsServers)
{
  std::vector<Member> members;
  for (int i = 0; i < 5; ++i) {
    members.push_back(dispatcher("d" + std::to_string(i), "etna"));
  }
  auto fewer = members;
  fewer.pop_back();
  std::map<std::string, int> counts;
  for (int i = 0; i < 1000; ++i) {
    const auto before = ownerOf(server(i, "etna"), members);
    ++counts[before];
    if (before != "d4") {
      EXPECT_EQ(ownerOf(server(i, "etna"), fewer), before);
    }
  }
  for (const auto& [name, count] : counts) {
    EXPECT_NEAR(count, 200, 60) << name;
  }
}

} // namespace lentilrack::core
