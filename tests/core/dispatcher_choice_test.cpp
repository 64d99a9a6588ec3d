#include "core/dispatcher_choice.h"

#include <gtest/gtest.h>
#include <pcg_random.hpp>
#include <rapidcheck/gtest.h>

#include <map>

namespace lentilrack::core {

namespace {

TargetLoad
loadOf(std::int64_t running, double queuedTokens, double rate = 400)
{
  return { 2, 8, running, queuedTokens, rate };
}

std::vector<DispatcherCandidate>
candidates(const std::vector<TargetLoad>& loads)
{
  std::vector<DispatcherCandidate> result;
  for (const auto& load : loads) {
    result.push_back({ { "d" + std::to_string(result.size()), 1 }, load, {} });
  }
  return result;
}

/// Random numbers with a fixed seed.
struct Random
{
  pcg64 engine{ 20261204 };
  RandomBelow below = [this](std::uint64_t bound) { return engine(bound); };
};

} // namespace

// Guards against sending work to the dispatcher with the longest wait.
TEST(DispatcherChoice, NeverTakesTheSlowestOfThree)
{
  Random random;
  const auto all =
    candidates({ loadOf(8, 100), loadOf(8, 1000), loadOf(8, 100, 4) });
  for (int i = 0; i < 1000; ++i) {
    EXPECT_NE(chooseDispatcher(all, "", random.below), 2U);
  }
}

// Guards against sending all requests between two reports to the dispatcher
// that was the best one in the last report.
TEST(DispatcherChoice, RequestsAreSpreadBetweenReports)
{
  Random random;
  auto all = candidates({ loadOf(0, 0), loadOf(2, 0), loadOf(2, 0) });
  std::map<std::size_t, int> counts;
  for (int i = 0; i < 90; ++i) {
    const auto chosen = chooseDispatcher(all, "", random.below);
    ++counts[chosen];
    ++all[chosen].unreportedLoad.requests;
    all[chosen].unreportedLoad.tokens += 100;
  }
  for (std::size_t i = 0; i < all.size(); ++i) {
    EXPECT_GE(counts[i], 20) << i;
  }
}

TEST(DispatcherChoice, SamePrefixGoesToTheSameDispatcher)
{
  Random random;
  const auto all = candidates({ loadOf(1, 0), loadOf(1, 0), loadOf(1, 0) });
  const auto first = chooseDispatcher(all, "menu", random.below);
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(chooseDispatcher(all, "menu", random.below), first);
  }
}

// Guards against overloading one dispatcher with all requests that share a
// popular prefix.
TEST(DispatcherChoice, AffinityHasBoundedLoad)
{
  Random random;
  auto all = candidates({ loadOf(0, 0), loadOf(0, 0), loadOf(0, 0) });
  for (int i = 0; i < 300; ++i) {
    ++all[chooseDispatcher(all, "menu", random.below)].unreportedLoad.requests;
  }
  for (const auto& candidate : all) {
    EXPECT_LE(candidate.unreportedLoad.requests, 130);
  }
}

// Guards against moving all prefixes to other dispatchers when one leaves.
TEST(DispatcherChoice, OnlyPrefixesOfALeavingDispatcherMove)
{
  Random random;
  const auto all = candidates(std::vector<TargetLoad>(5, loadOf(1, 0)));
  const std::vector<DispatcherCandidate> remaining(all.begin(), all.end() - 1);
  for (int i = 0; i < 200; ++i) {
    const auto prefix = "p" + std::to_string(i);
    const auto before = chooseDispatcher(all, prefix, random.below);
    if (before != 4) {
      EXPECT_EQ(chooseDispatcher(remaining, prefix, random.below), before);
    }
  }
}

RC_GTEST_PROP(DispatcherChoice, AlwaysTakesACandidate, ())
{
  Random random;
  const auto count = *rc::gen::inRange<std::size_t>(1, 8);
  std::vector<TargetLoad> loads;
  for (std::size_t i = 0; i < count; ++i) {
    loads.push_back({ 1,
                      *rc::gen::inRange(0, 4),
                      *rc::gen::inRange(0, 9),
                      *rc::gen::inRange(0, 99) * 1.0,
                      *rc::gen::inRange(0, 3) * 1.0 });
  }
  const auto prefix = *rc::gen::element<std::string>("", "a", "b");
  RC_ASSERT(chooseDispatcher(candidates(loads), prefix, random.below) < count);
  RC_ASSERT(chooseRandomDispatcher(candidates(loads), prefix, random.below) <
            count);
}

// Guards against counting a request twice: once in the dispatcher's report and
// once as unreported.
TEST(SentRequests, CountsOnlyWhatTheReportCannotInclude)
{
  const ProcessId dispatcher{ "d", 1 };
  SentRequests load;
  const auto first = load.started(dispatcher, 4, 100);
  const auto second = load.started(dispatcher, 5, 10);
  EXPECT_EQ(load.unreportedSince(dispatcher, 4).requests, 2);
  EXPECT_EQ(load.unreportedSince(dispatcher, 5).requests, 1);
  EXPECT_DOUBLE_EQ(load.unreportedSince(dispatcher, 5).tokens, 10);
  EXPECT_EQ(load.unreportedSince(dispatcher, 6).requests, 0);
  EXPECT_EQ(load.unreportedSince({ "d", 2 }, 0).requests, 0);
  load.finished(first);
  load.finished(second);
  load.finished(second);
  EXPECT_EQ(load.unreportedSince(dispatcher, 0).requests, 0);
  EXPECT_EQ(load.inFlight(), 0U);
}

} // namespace lentilrack::core
