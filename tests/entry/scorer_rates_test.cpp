#include "entry/scorer_rates.h"
#include "entry_fixture.h"
#include "trainer_fixture.h"

#include <array>

namespace lentilrack::entry {

namespace {

using core::Clock;
using core::Millis;
using net::Awaitable;

constexpr double kStatedRate = 2;

/// Returns how many calls a scorer that states a rate may get in the time since
/// `start`: half more than the rate, and 5, is what operators allow at most.
double
allowedSince(core::TimePoint start)
{
  const std::chrono::duration<double> elapsed = Clock::now() - start;
  return 1.5 * kStatedRate * elapsed.count() + 5;
}

class ScorerRatesTest : public EntryTest
{
protected:
  std::array<ScorerRates*, 2> rates()
  {
    return { &mEntryProcess.app().trainerApi().scorerRates(),
             &mOtherEntryProcess.app().trainerApi().scorerRates() };
  }

  const core::Endpoint mScorer{ "127.0.0.1", 1 };
  const core::Endpoint mOtherScorer{ "127.0.0.1", 2 };
};

} // namespace

// Guards against entry processes that each keep to a scorer's rate alone, and
// against permits that none of them can use.
TEST_F(ScorerRatesTest, AllProcessesTogetherKeepToTheRateAndUseIt)
{
  run([&]() -> Awaitable<void> {
    for (auto* process : rates()) {
      process->recordStatedRate(mScorer, kStatedRate);
    }
    const auto start = Clock::now();
    constexpr int kCalls = 6;
    std::array<int, 2> granted{};
    while (granted[0] + granted[1] < kCalls) {
      for (std::size_t i = 0; i < granted.size(); ++i) {
        const auto delay = co_await rates()[i]->takePermit(mScorer);
        granted[i] += delay == Millis(0) ? 1 : 0;
      }
      co_await net::sleepFor(Millis(1));
    }
    EXPECT_LE(granted[0] + granted[1], allowedSince(start));
  });
}

// Guards against a process that grants permits although another one is the
// allocator, or without an answer of the allocator.
TEST_F(ScorerRatesTest, UnreachableAllocatorMeansNoPermits)
{
  run([&]() -> Awaitable<void> {
    mEntryProcess.closeLinks();
    mOtherEntryProcess.closeLinks();
    int refused = 0;
    for (auto* process : rates()) {
      process->recordStatedRate(mScorer, kStatedRate);
    }
    for (auto* process : rates()) {
      const auto delay = co_await process->takePermit(mScorer);
      refused += delay > Millis(0) ? 1 : 0;
    }
    EXPECT_GE(refused, 1);
  });
}

// Guards against calls to a limited scorer while another one is free, and
// against a scorer that stays unused after its limit has ended.
TEST_F(ScorerRatesTest, ScorersWithoutAStatedRateAreUsedFirst)
{
  auto& process = *rates().front();
  const std::vector<core::Endpoint> both{ mScorer, mOtherScorer };
  EXPECT_EQ(process.preferred(both), both);
  process.recordStatedRate(mScorer, kStatedRate);
  EXPECT_EQ(process.preferred(both), std::vector{ mOtherScorer });
  process.recordStatedRate(mOtherScorer, kStatedRate);
  EXPECT_EQ(process.preferred(both), both);
  process.recordStatedRate(mScorer, std::nullopt);
  EXPECT_EQ(process.preferred(both), std::vector{ mScorer });
}

// Guards against a malformed question of a peer that is granted.
TEST_F(ScorerRatesTest, MalformedQuestionsAreRejected)
{
  run([&]() -> Awaitable<void> {
    net::LinkPool links(mIo, { { "etna-3", 1 }, kSecret });
    const auto link = links.clientFor(mEntryProcess.member().link);
    const wire::Json valid = { { "scorer", mScorer.text() },
                               { "per_s", kStatedRate },
                               { "instance", "etna-3" } };
    auto negative = valid;
    negative["per_s"] = -1;
    auto incomplete = valid;
    incomplete.erase("instance");
    for (const auto& body : { negative, incomplete, wire::Json::array() }) {
      const auto reply = co_await link->call("scorer_permit", body);
      EXPECT_TRUE(reply.error);
    }
  });
}

// Guards against calls to a scorer that exceed the rate which it states: a
// refused batch is repeated, and each step sends calls of its own.
TEST_F(TrainerApiTest, CallsToAScorerKeepToItsStatedRate)
{
  Home home(mIo, *this);
  mScorer.statedRate = kStatedRate;
  run([&]() -> Awaitable<void> {
    const auto start = Clock::now();
    for (int step = 0; step < 8; ++step) {
      auto body = openBody();
      body["step"] = "s" + std::to_string(step);
      const auto opened = co_await open(home, body);
      EXPECT_EQ(opened.status / 100, 2);
    }
    // The answers are sent to be scored when they are complete.
    co_await until([&] { return mEngines.running == 0; });
    co_await net::sleepFor(Millis(300));
    EXPECT_GE(mScorer.calls, 1);
    EXPECT_LE(mScorer.calls, allowedSince(start));
  });
}

} // namespace lentilrack::entry
