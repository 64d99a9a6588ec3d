#include "core/batch_home.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace lentilrack::core {

namespace {

std::vector<HomeCandidate>
fleet(int size)
{
  std::vector<HomeCandidate> candidates;
  for (int i = 0; i < size; ++i) {
    candidates.push_back({ fmt::format("instance-{}", i), 0.12 });
  }
  return candidates;
}

} // namespace

// Guards against batches of one model that run in ever different processes: at
// 250 processes each batch opened new connections to all servers of its model,
// and nobody knew how many slots of a server were in use.
TEST(BatchHomeTest, AllProcessesChooseTheSameHome)
{
  for (const int size : { 30, 100, 300, 630 }) {
    auto reversed = fleet(size);
    std::ranges::reverse(reversed);
    EXPECT_EQ(chooseBatchHome(fleet(size), "m0"),
              chooseBatchHome(reversed, "m0"));
  }
}

// Guards against one process that runs the batches of all models.
TEST(BatchHomeTest, ModelsAreSpreadOverTheProcesses)
{
  std::set<std::string> homes;
  for (int i = 0; i < 30; ++i) {
    homes.insert(*chooseBatchHome(fleet(100), fmt::format("m{}", i)));
  }
  EXPECT_GT(homes.size(), 20U);
}

// Guards against homes that move whenever any process leaves.
TEST(BatchHomeTest, HomeStaysWhenAnotherProcessLeaves)
{
  const auto home = *chooseBatchHome(fleet(100), "m0");
  auto rest = fleet(100);
  std::erase_if(rest, [&](const HomeCandidate& candidate) {
    return candidate.instance ==
           (home == "instance-3" ? "instance-4" : "instance-3");
  });
  EXPECT_EQ(chooseBatchHome(rest, "m0"), home);
  std::erase_if(rest, [&](const HomeCandidate& candidate) {
    return candidate.instance == home;
  });
  EXPECT_NE(chooseBatchHome(rest, "m0"), home);
}

// Guards against a home on a small machine while larger ones are present, and
// against a crowd on the only large one.
TEST(BatchHomeTest, LargerMachinesArePreferredIfThereAreSeveral)
{
  auto candidates = fleet(50);
  for (const auto* name : { "large-0", "large-1", "large-2" }) {
    candidates.push_back({ name, 0.5 });
  }
  for (int i = 0; i < 10; ++i) {
    const auto home = chooseBatchHome(candidates, fmt::format("m{}", i));
    EXPECT_TRUE(home->starts_with("large-")) << *home;
  }
  candidates.pop_back();
  std::map<std::string, int> count;
  for (int i = 0; i < 20; ++i) {
    ++count[*chooseBatchHome(candidates, fmt::format("m{}", i))];
  }
  EXPECT_GT(count.size(), 5U);
  EXPECT_FALSE(chooseBatchHome({}, "m0"));
}

} // namespace lentilrack::core
