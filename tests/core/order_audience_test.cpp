#include "core/order_audience.h"

#include "core/takeover_order.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace lentilrack::core {

namespace {

constexpr const char* kLeaderKey = "leader";

std::vector<std::string>
members(int count)
{
  std::vector<std::string> result;
  for (int i = 0; i < count; ++i) {
    result.push_back(fmt::format("instance-{}", i));
  }
  return result;
}

} // namespace

// Guards against a leader whose messages grow with the fleet: in a fleet of 250
// processes and 97 samplers it sent each report of an order to all processes,
// and had no processor time left to give orders.
TEST(OrderAudienceTest, RecipientsDoNotGrowWithTheFleet)
{
  for (const int size : { 30, 100, 300, 630 }) {
    const OrderAudience audience("instance-0", kLeaderKey);
    const auto recipients = audience.recipients(
      members(size), { "instance-7", "instance-9", "instance-7" });
    EXPECT_LE(recipients.size(), OrderAudience::kSuccessors + 2) << size;
  }
}

// Guards against items that are sent to loading servers: the processes that run
// batches of the model must learn of each order.
TEST(OrderAudienceTest, OwnersOfBatchesAreRecipients)
{
  const OrderAudience audience("instance-0", kLeaderKey);
  const auto recipients =
    audience.recipients(members(30), { "instance-7", "instance-0" });
  EXPECT_NE(std::ranges::find(recipients, "instance-7"), recipients.end());
  EXPECT_EQ(std::ranges::find(recipients, "instance-0"), recipients.end());
}

// Guards against a next leader that does not know the last orders, and that
// therefore waits longer than necessary before its first order.
TEST(OrderAudienceTest, NextLeadersAreRecipients)
{
  auto others = members(300);
  std::erase(others, "instance-0");
  const OrderAudience audience("instance-0", kLeaderKey);
  const auto recipients = audience.recipients(members(300), {});
  const auto next = firstInTakeoverOrder(others, kLeaderKey, 3);
  for (const auto& name : next) {
    EXPECT_NE(std::ranges::find(recipients, name), recipients.end()) << name;
  }
}

// Guards against an order that differs from process to process, or in which one
// instance takes over everything.
TEST(TakeoverOrderTest, EachNameHasAnOrderOfItsOwn)
{
  auto reversed = members(100);
  std::ranges::reverse(reversed);
  std::set<std::string> firsts;
  for (int i = 0; i < 50; ++i) {
    const auto name = fmt::format("batch-{}", i);
    const auto order = firstInTakeoverOrder(members(100), name, 2);
    EXPECT_EQ(order, firstInTakeoverOrder(reversed, name, 2));
    firsts.insert(order.front());
  }
  EXPECT_GT(firsts.size(), 25U);
  EXPECT_EQ(firstInTakeoverOrder(members(1), "batch", 3).size(), 1U);
}

} // namespace lentilrack::core
