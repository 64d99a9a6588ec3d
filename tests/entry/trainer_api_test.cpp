// Tests of the samples of one step over HTTP: delivery, failures, staleness.
#include "entry/trainer_fixture.h"

#include <set>

namespace lentilrack::entry {

using core::Millis;
using net::Awaitable;
using wire::Json;

TEST_F(TrainerApiTest, StepRunsFromOpenToClose)
{
  Home home(mIo, *this);
  run([&]() -> Awaitable<void> {
    const auto opened = co_await open(home, openBody());
    EXPECT_EQ(opened.status, 200) << opened.body;
    EXPECT_EQ(home.api.activeSteps(), 1);
    const auto samples = co_await pullAll(home, 1);
    EXPECT_EQ(samples.size(), 4U);
    const Json segments{ { { "version", 1 }, { "from", 0 }, { "to", 4 } } };
    for (const auto& sample : samples) {
      EXPECT_EQ(sample.at("text"), "tttt");
      EXPECT_EQ(sample.at("tokens"), 4);
      EXPECT_EQ(sample.at("score"), 4.0);
      EXPECT_EQ(sample.at("segments"), segments);
    }
    const auto closed = co_await send(home, "DELETE", "/v1/steps/s1", "");
    EXPECT_EQ(closed.status, 200);
    EXPECT_EQ(home.api.activeSteps(), 0);
  });
}

// Guards against rollouts that are not idempotent, share an identifier, or lack
// the principal, kind or limits of the step. Dispatchers need these for retries
// and quotas.
TEST_F(TrainerApiTest, RolloutsAreIdempotentWorkWithIdentifiersOfTheirOwn)
{
  Home home(mIo, *this);
  run([&]() -> Awaitable<void> {
    co_await open(home, openBody());
    co_await pullAll(home, 1);
  });
  std::set<std::string> ids;
  for (const auto& call : mEngines.calls) {
    EXPECT_TRUE(call.attempt.request.starts_with("idem-"));
    EXPECT_EQ(call.work.type, core::WorkType::Rollout);
    EXPECT_TRUE(call.work.idempotent);
    EXPECT_EQ(call.work.principal, "trainer");
    EXPECT_EQ(call.work.kind, "draft");
    EXPECT_EQ(call.work.target, "model");
    EXPECT_EQ(call.work.maxTokens, 50);
    EXPECT_GT(call.remaining, Millis(0));
    ids.insert(call.attempt.request);
  }
  EXPECT_EQ(ids.size(), mEngines.calls.size());
}

// Guards against losing or changing samples when the reply to a pull is lost,
// and against sending acknowledged samples again.
TEST_F(TrainerApiTest, LostReplyIsRepeatedWithTheSameSamples)
{
  Home home(mIo, *this);
  run([&]() -> Awaitable<void> {
    co_await open(home, openBody());
    const auto lost = co_await pullUntil(home, 4);
    const auto again = co_await pull(home, pullBody(1, Json::array()));
    EXPECT_EQ(lost.body.at("samples"), again.body.at("samples"));
    EXPECT_EQ(again.body.at("samples").size(), 4U);
    const Json have = slotsOf(again.body);
    const Json ackBody{ { "opening", 1 }, { "have", have } };
    const auto acked = co_await ack(home, ackBody);
    EXPECT_EQ(acked.status, 200);
    const auto after = co_await pull(home, pullBody(1, have));
    EXPECT_TRUE(after.body.at("samples").empty());
    EXPECT_EQ(after.body.at("complete"), true);
  });
}

// Guards against losing samples while the scorer is down.
TEST_F(TrainerApiTest, ScorerThatIsDownDelaysSamplesAndLosesNone)
{
  Home home(mIo, *this);
  mScorer.isDown = true;
  run([&]() -> Awaitable<void> {
    co_await open(home, openBody());
    co_await until([&] { return mScorer.calls >= 2; });
    const auto early = co_await pull(home, pullBody(1, Json::array(), 1, 0));
    EXPECT_TRUE(early.body.at("samples").empty());
    mScorer.isDown = false;
    const auto samples = co_await pullAll(home, 1);
    EXPECT_EQ(samples.size(), 4U);
  });
  EXPECT_EQ(mEngines.calls.size(), 4U);
}

// Guards against scoring no further answers after the scorer has refused one.
TEST_F(TrainerApiTest, RefusedAnswerDoesNotBlockOthers)
{
  Home home(mIo, *this);
  auto body = openBody();
  body["quorum"] = 1;
  mEngines.failures = { { 3, core::Verdict::Done } };
  mScorer.refusedText = "ttt";
  run([&]() -> Awaitable<void> {
    co_await open(home, body);
    const auto samples = co_await pullAll(home, 1);
    EXPECT_EQ(samples.size(), 2U);
  });
}

// Guards against losing or repeating tokens that an engine sent before it
// crashed.
TEST_F(TrainerApiTest, RolloutOfACrashedEngineResumes)
{
  Home home(mIo, *this);
  mEngines.failures = { { 2, core::Verdict::Unknown } };
  run([&]() -> Awaitable<void> {
    co_await open(home, openBody());
    const auto samples = co_await pullAll(home, 1);
    EXPECT_EQ(samples.size(), 4U);
    for (const auto& sample : samples) {
      EXPECT_EQ(sample.at("text"), "tttt");
    }
  });
  ASSERT_EQ(mEngines.calls.size(), 5U);
  EXPECT_EQ(mEngines.calls.back().work.offset, 2);
  EXPECT_EQ(mEngines.calls.back().work.version, 1);
}

TEST_F(TrainerApiTest, RefusedRolloutsAreTriedAgain)
{
  Home home(mIo, *this);
  for (int i = 0; i < 6; ++i) {
    mEngines.failures.push_back({ 0, core::Verdict::NotRun });
  }
  run([&]() -> Awaitable<void> {
    co_await open(home, openBody());
    const auto samples = co_await pullAll(home, 1);
    EXPECT_EQ(samples.size(), 4U);
  });
}

// Guards against returning stale samples when only the weight store, and
// neither an engine nor the trainer, has reported a new weight version.
TEST_F(TrainerApiTest, VersionFromTheStoreMakesSamplesStale)
{
  Home home(mIo, *this);
  run([&]() -> Awaitable<void> {
    co_await open(home, openBody());
    co_await pullUntil(home, 4);
    mStore.versions["model"] = 4;
    mEngines.version = 4;
    Json body;
    for (std::size_t dropped = 0; dropped == 0;) {
      const auto answer =
        co_await pull(home, pullBody(1, Json::array(), 1, 100));
      body = answer.body;
      dropped = body.at("dropped_stale").get<std::size_t>();
    }
    const auto samples = co_await pullAll(home, 1);
    EXPECT_EQ(samples.size(), 4U);
    for (const auto& sample : samples) {
      EXPECT_EQ(sample.at("segments")[0].at("version"), 4);
    }
  });
}

// Guards against open steps that ignore a lowered staleness bound.
TEST_F(TrainerApiTest, LoweredStalenessBoundAppliesToOpenSteps)
{
  Home home(mIo, *this);
  home.node.table().applyIfNewer(table(2, 5));
  run([&]() -> Awaitable<void> {
    co_await open(home, openBody());
    co_await pullUntil(home, 4);
    const auto within = co_await pull(home, pullBody(1, Json::array(), 6));
    EXPECT_EQ(within.body.at("samples").size(), 4U);
    home.node.table().applyIfNewer(table(3, 4));
    const auto beyond = co_await pull(home, pullBody(1, Json::array(), 6, 0));
    EXPECT_EQ(beyond.body.at("dropped_stale"), 4);
    EXPECT_TRUE(beyond.body.at("samples").empty());
  });
}

// Guards against rollouts that continue after their group has its quorum.
TEST_F(TrainerApiTest, QuorumCancelsTheRest)
{
  Home home(mIo, *this);
  auto body = openBody();
  body["prompts"] = { "only" };
  body["group_size"] = 3;
  body["quorum"] = 2;
  run([&]() -> Awaitable<void> {
    mEngines.pausedFrom = 2;
    co_await open(home, body);
    const auto samples = co_await pullAll(home, 1);
    EXPECT_EQ(samples.size(), 2U);
    co_await until([&] { return mEngines.running == 0; });
  });
  EXPECT_EQ(mEngines.calls.size(), 3U);
  EXPECT_EQ(mEngines.cancelled, 1);
}

TEST_F(TrainerApiTest, ClosingCancelsRolloutsAndRefusesDelayedMessages)
{
  Home home(mIo, *this);
  run([&]() -> Awaitable<void> {
    mEngines.isPaused = true;
    co_await open(home, openBody());
    co_await until([&] { return mEngines.running == 4; });
    const auto closed = co_await send(home, "DELETE", "/v1/steps/s1", "");
    EXPECT_EQ(closed.status, 200);
    co_await until([&] { return mEngines.running == 0; });
    EXPECT_EQ(mEngines.cancelled, 4);
    const auto delayedOpen = co_await open(home, openBody());
    EXPECT_EQ(delayedOpen.status, 409);
    EXPECT_EQ(delayedOpen.body.at("error"), "step_closed");
    const auto delayedPull = co_await pull(home, pullBody(1, Json::array()));
    EXPECT_EQ(delayedPull.status, 404);
    const auto reopened = co_await open(home, openBody(2));
    EXPECT_EQ(reopened.status, 200);
  });
}

} // namespace lentilrack::entry
