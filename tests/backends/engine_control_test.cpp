#include "backends/engine_client.h"
#include "backends/engine_fixture.h"
#include "backends/error.h"

namespace lentilrack::backends {

namespace {

class EngineControlTest : public EngineTest
{};

} // namespace

// Guards against a leaving engine that accepts new work or aborts its running
// work.
TEST_F(EngineControlTest, LeavingEngineRefusesNewWorkAndFinishesRunningWork)
{
  run([&]() -> Awaitable<void> {
    std::optional<core::Outcome> refused;
    const auto late = [&]() -> Awaitable<void> {
      while (mReceivedChunks.empty()) {
        co_await net::sleepFor(Millis(1));
      }
      co_await control(mEngine.server(), R"({"leaving":true})");
      GenerateCall fresh;
      fresh.request = call("r#2", "x").request;
      refused = co_await generate(std::move(fresh));
    };
    net::spawn(mIo, late());
    const auto running = co_await generate(call("r#1", "len=400"));
    EXPECT_EQ(running.verdict, Verdict::Done);
    while (!refused) {
      co_await net::sleepFor(Millis(1));
    }
    EXPECT_EQ(refused->verdict, Verdict::NotRun);
    EXPECT_EQ(refused->reason, "refused");
    const auto report =
      co_await mEngineClient.loadReport(mEngine.server().endpoint());
    EXPECT_TRUE(report.value().leaving);
  });
}

// Guards against a cancel request that stops other attempts or does not stop
// the attempt that it names.
TEST_F(EngineControlTest, CancelStopsOnlyTheNamedAttempt)
{
  run([&]() -> Awaitable<void> {
    const auto endpoint = mEngine.server().endpoint();
    net::spawn(mIo, occupySlot("old#1"));
    co_await waitForRuns(1);
    const auto unknown = co_await mEngineClient.cancel(endpoint, "other#1");
    EXPECT_FALSE(unknown);
    EXPECT_EQ(mEngine.slots().running(), 1);
    const auto error = co_await mEngineClient.cancel(endpoint, "old#1");
    EXPECT_FALSE(error);
    while (mEngine.slots().running() > 0) {
      co_await net::sleepFor(Millis(1));
    }
    EXPECT_FALSE(mEngine.runs().at(0).finished);
  });
}

// Guards against an engine queue in which urgent work waits for less urgent
// work.
TEST_F(EngineControlTest, UrgentWorkLeavesTheQueueFirst)
{
  run([&]() -> Awaitable<void> {
    net::spawn(mIo, occupySlot("a#1"));
    net::spawn(mIo, occupySlot("b#1"));
    co_await waitForRuns(2);
    const auto start = [&](std::string attempt,
                           std::int64_t priority) -> Awaitable<void> {
      GenerateCall queued;
      queued.request = call(std::move(attempt), "len=1").request;
      queued.request.priority = priority;
      const auto outcome = co_await generate(std::move(queued));
      EXPECT_EQ(outcome.verdict, Verdict::Done);
    };
    net::spawn(mIo, start("slow#1", 7));
    net::spawn(mIo, start("urgent#1", 0));
    while (mEngine.slots().queued() < 2) {
      co_await net::sleepFor(Millis(1));
    }
    co_await mEngineClient.cancel(mEngine.server().endpoint(), "a#1");
    co_await waitForRuns(4);
    EXPECT_EQ(mEngine.runs().at(2).attempt, "urgent#1");
    EXPECT_EQ(mEngine.runs().at(3).attempt, "slow#1");
    while (!mEngine.runs().at(3).finished) {
      co_await net::sleepFor(Millis(1));
    }
  });
}

// Guards against calls that never end after the engine has crashed, both
// running and queued ones.
TEST_F(EngineControlTest, CrashEndsAllStreamsAndTheQueue)
{
  run([&]() -> Awaitable<void> {
    std::vector<Verdict> verdicts;
    const auto start = [&](std::string attempt) -> Awaitable<void> {
      GenerateCall running;
      running.request = call(std::move(attempt), "len=1000").request;
      const auto outcome = co_await generate(std::move(running));
      verdicts.push_back(outcome.verdict);
    };
    net::spawn(mIo, start("a#1"));
    net::spawn(mIo, start("b#1"));
    net::spawn(mIo, start("c#1"));
    while (mEngine.slots().queued() < 1) {
      co_await net::sleepFor(Millis(1));
    }
    co_await control(mEngine.server(), R"({"crash":true})");
    while (verdicts.size() < 3) {
      co_await net::sleepFor(Millis(1));
    }
    EXPECT_EQ(std::ranges::count(verdicts, Verdict::Unknown), 3);
    EXPECT_EQ(mEngine.runs().size(), 2U);
    const auto next = co_await generate(call("d#1", "len=1"));
    EXPECT_EQ(next.verdict, Verdict::Done);
  });
}

// Guards against reporting success when the engine could not load the weights.
TEST_F(EngineControlTest, FailedLoadKeepsTheOldVersion)
{
  run([&]() -> Awaitable<void> {
    const auto engine = mEngine.server().endpoint();
    const auto store = mStore.server().endpoint();
    mStore.announce(kModel, 2);
    co_await control(mEngine.server(), R"({"fail_loads":1})");
    const auto failed =
      co_await mEngineClient.load(engine, kModel, 2, store, Millis(5000));
    EXPECT_EQ(failed, BackendError::Refused);
    const auto before = co_await mEngineClient.loadReport(engine);
    EXPECT_EQ(before.value().weightVersions.at(kModel), 1);
    const auto loaded =
      co_await mEngineClient.load(engine, kModel, 2, store, Millis(5000));
    EXPECT_FALSE(loaded);
    const auto after = co_await mEngineClient.loadReport(engine);
    EXPECT_EQ(after.value().weightVersions.at(kModel), 2);
    EXPECT_EQ(after.value().slots, 2);
    const auto absent =
      co_await mEngineClient.load(engine, kModel, 3, store, Millis(5000));
    EXPECT_EQ(absent, BackendError::Refused);
  });
}

// Guards against reusing the sequence number of a dropped cache event. The gap
// tells a client that an event is missing.
TEST_F(EngineControlTest, CacheEventsHaveSequenceNumbers)
{
  run([&]() -> Awaitable<void> {
    const auto engine = mEngine.server().endpoint();
    const auto use = [&](std::string prefix) -> Awaitable<void> {
      auto cached = call(prefix, prefix + " len=1");
      cached.request.prefix = prefix;
      const auto outcome = co_await generate(std::move(cached));
      EXPECT_EQ(outcome.verdict, Verdict::Done);
    };
    co_await use("red");
    co_await control(mEngine.server(), R"({"drop_cache_events":1})");
    co_await use("white");
    co_await use("rose");
    co_await use("red");
    const auto events = co_await mEngineClient.cacheEvents(engine, 0);
    EXPECT_EQ(events.value().events.size(), 2U);
    EXPECT_EQ(events.value().events.at(0).prefix, "red");
    EXPECT_EQ(events.value().events.at(1).sequence, 3);
    EXPECT_TRUE(events.value().events.at(1).added);
    EXPECT_EQ(events.value().nextSequence, 3);
    const auto none = co_await mEngineClient.cacheEvents(engine, 3);
    EXPECT_TRUE(none.value().events.empty());
  });
}

} // namespace lentilrack::backends
