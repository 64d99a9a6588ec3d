#include "standins/engine_batch.h"

#include <gtest/gtest.h>

namespace lentilrack::standins {

namespace {

/// A batch whose steps take 1 ms, and 0.5 ms more for each further request.
EngineBatch
batchWith(std::int64_t memoryTokens)
{
  EngineBatchOptions options;
  options.memoryTokens = memoryTokens;
  options.stepTime = Microseconds(1'000);
  options.stepTimePerRequest = Microseconds(500);
  options.prefillTokensPerStep = 10;
  return EngineBatch(options);
}

/// Runs steps until the request has produced the tokens.
void
runUntil(EngineBatch& batch, EngineBatch::Id id, std::int64_t tokens)
{
  constexpr int kMaxSteps = 10'000;
  for (int i = 0; i < kMaxSteps && batch.produced(id) < tokens; ++i) {
    batch.runStep();
  }
  ASSERT_EQ(batch.produced(id), tokens);
}

} // namespace

// Guards against a stand-in whose speed does not depend on its load.
TEST(EngineBatchTest, MoreRequestsSlowEachToken)
{
  auto batch = batchWith(1'000);
  const auto first = batch.submit({ "", 0, 10, 50 });
  runUntil(batch, first, 1);
  const auto alone = batch.runStep();
  const auto second = batch.submit({ "", 0, 10, 50 });
  runUntil(batch, second, 1);
  EXPECT_EQ(batch.runStep(), alone + Microseconds(500));
}

// Guards against a long prompt that stops the streams of other requests.
TEST(EngineBatchTest, PromptsArePrefilledBetweenTheTokensOfOthers)
{
  auto batch = batchWith(1'000);
  const auto running = batch.submit({ "", 0, 10, 100 });
  runUntil(batch, running, 5);
  const auto late = batch.submit({ "", 0, 200, 10 });
  constexpr int kPrefillSteps = 20;
  for (int i = 0; i < kPrefillSteps; ++i) {
    batch.runStep();
  }
  EXPECT_EQ(batch.produced(running), 5 + kPrefillSteps);
  EXPECT_EQ(batch.produced(late), 0);
  batch.runStep();
  EXPECT_EQ(batch.produced(late), 1);
}

// Guards against a cache that keeps the wrong prefixes: the least recently used
// one must make room for a new request.
TEST(EngineBatchTest, LeastRecentlyUsedPrefixIsEvicted)
{
  auto batch = batchWith(100);
  const auto run = [&](std::string prefix) {
    const auto before = batch.prefilledTokens();
    const auto id = batch.submit({ std::move(prefix), 30, 10, 10 });
    runUntil(batch, id, 10);
    batch.remove(id);
    return batch.prefilledTokens() - before;
  };
  EXPECT_EQ(run("a"), 40);
  EXPECT_EQ(run("b"), 40);
  EXPECT_EQ(run("a"), 10);
  EXPECT_EQ(run("c"), 40);
  EXPECT_EQ(run("a"), 10);
  EXPECT_EQ(run("b"), 40);
}

// Guards against a preempted request that loses or repeats tokens, and against
// the preemption of an older request.
TEST(EngineBatchTest, NewestRequestIsPreemptedAndPrefilledAgain)
{
  auto batch = batchWith(100);
  const auto first = batch.submit({ "", 0, 20, 60 });
  const auto second = batch.submit({ "", 0, 20, 60 });
  runUntil(batch, first, 60);
  EXPECT_EQ(batch.preemptions(), 1);
  const auto produced = batch.produced(second);
  EXPECT_LT(produced, 60);
  EXPECT_GT(produced, 0);
  batch.remove(first);
  const auto before = batch.prefilledTokens();
  runUntil(batch, second, 60);
  EXPECT_EQ(batch.prefilledTokens() - before, 20 + produced);
}

// Guards against a small request that overtakes an older one for which the
// memory does not suffice yet.
TEST(EngineBatchTest, RequestsAreAdmittedInOrderOfArrival)
{
  auto batch = batchWith(100);
  const auto first = batch.submit({ "", 0, 60, 30 });
  runUntil(batch, first, 1);
  const auto large = batch.submit({ "", 0, 60, 10 });
  const auto small = batch.submit({ "", 0, 5, 5 });
  runUntil(batch, first, 30);
  EXPECT_EQ(batch.produced(large), 0);
  EXPECT_EQ(batch.produced(small), 0);
  batch.remove(first);
  runUntil(batch, large, 10);
}

TEST(EngineBatchTest, RequestLargerThanTheMemoryDoesNotFit)
{
  const auto batch = batchWith(100);
  EXPECT_TRUE(batch.fits({ "a", 40, 30, 30 }));
  EXPECT_FALSE(batch.fits({ "a", 40, 30, 31 }));
}

} // namespace lentilrack::standins
