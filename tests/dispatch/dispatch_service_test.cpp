#include "core/answer_assembler.h"
#include "dispatch_fixture.h"

#include "standins/answer_text.h"

#include <algorithm>

namespace lentilrack::dispatch {

namespace {

using core::Verdict;
using net::Awaitable;

standins::FleetConfig
configOf(std::int64_t engines, std::int64_t slots, bool checksFencing)
{
  standins::FleetConfig config;
  config.networkDelay = standins::Microseconds(0);
  standins::EngineStandin::Options engine;
  engine.model = "m";
  engine.slots = slots;
  engine.tokenRate = 500;
  engine.reportLag = core::Millis(0);
  engine.checksFencing = checksFencing;
  config.engines = { { "m", engines, engine } };
  standins::ServiceStandin::Options service;
  service.service = "stock";
  config.services = { { "stock", 1, service } };
  return config;
}

class DispatchServiceTest : public DispatchFixture
{
protected:
  DispatchServiceTest()
    : DispatchFixture(configOf(2, 1, false))
  {
  }
};

/// Tests with an engine whose memory does not suffice for two orders.
class BatchEngineTest : public DispatchFixture
{
protected:
  BatchEngineTest()
    : DispatchFixture(config())
  {
  }

private:
  static standins::FleetConfig config()
  {
    auto config = configOf(1, 4, false);
    config.engines[0].options.batch.memoryTokens = 150;
    return config;
  }
};

class FencingTest : public DispatchFixture
{
protected:
  FencingTest()
    : DispatchFixture(configOf(1, 1, true))
  {
  }
};

} // namespace

TEST_F(DispatchServiceTest, RunsAnOrderAndStreamsItsAnswer)
{
  run([&]() -> Awaitable<void> {
    auto request = order("r", 20);
    const auto outcome = co_await send(std::move(request));
    EXPECT_EQ(outcome.verdict, Verdict::Done);
    EXPECT_EQ(outcome.totalTokens, 20);
    EXPECT_EQ(mAnswerText, standins::AnswerText("prompt").text(0, 20));
    const auto reply = co_await bar("r");
    EXPECT_EQ(reply->state, wire::BarState::Finished);
    EXPECT_EQ(reply->outcome->verdict, Verdict::Done);
  });
}

TEST_F(DispatchServiceTest, RunsACallToAPlainService)
{
  run([&]() -> Awaitable<void> {
    auto request = order("c");
    request.work.type = core::WorkType::Call;
    request.work.target = "stock";
    request.work.call.path = "lentils";
    request.work.call.body = "{}";
    const auto outcome = co_await send(std::move(request));
    EXPECT_EQ(outcome.verdict, Verdict::Done);
    EXPECT_EQ(outcome.httpStatus, 200);
    EXPECT_EQ(mFleet.services()[0]->calls().size(), 1U);
    EXPECT_EQ(mFleet.services()[0]->calls()[0].requestId, "c");
  });
}

// Guards against a restarted dispatcher that runs work addressed to its
// previous incarnation. The previous incarnation may already have run that
// work.
TEST_F(DispatchServiceTest, RefusesWorkForAnotherIncarnation)
{
  run([&]() -> Awaitable<void> {
    auto request = order("r");
    ++request.dispatcher.incarnation;
    const auto outcome = co_await send(std::move(request));
    EXPECT_EQ(outcome.verdict, Verdict::NotRun);
    EXPECT_EQ(outcome.reason, "other_incarnation");
    EXPECT_EQ(runs(), 0U);
    wire::BarRequest message{ "r", mNode->self() };
    ++message.dispatcher.incarnation;
    auto body = wire::encode(message);
    const auto reply = co_await mLink->call("bar", std::move(body));
    EXPECT_TRUE(reply.error);
  });
}

// Guards against running an order after the dispatcher has promised never to
// start it (a bar). The caller may have been told that the order did not run.
TEST_F(DispatchServiceTest, BarredOrderNeverRuns)
{
  run([&]() -> Awaitable<void> {
    const auto reply = co_await bar("r");
    EXPECT_EQ(reply->state, wire::BarState::Barred);
    auto request = order("r");
    const auto outcome = co_await send(std::move(request));
    EXPECT_EQ(outcome.verdict, Verdict::NotRun);
    EXPECT_EQ(runs(), 0U);
  });
}

TEST_F(DispatchServiceTest, BarRemovesAQueuedOrder)
{
  run([&]() -> Awaitable<void> {
    net::spawn(mIo, sendIgnoringOutcome(order("a", 1000)));
    net::spawn(mIo, sendIgnoringOutcome(order("b", 1000)));
    co_await waitForRuns(2);
    net::spawn(mIo, sendIgnoringOutcome(order("queued", 100)));
    const auto isQueued = [&] { return mApp->scheduler().queued() == 1; };
    co_await waitUntil(isQueued);
    const auto reply = co_await bar("queued");
    EXPECT_EQ(reply->state, wire::BarState::Barred);
    co_await waitForOutcomes(3);
    EXPECT_EQ(mOutcomes[0].verdict, Verdict::NotRun);
    EXPECT_EQ(mOutcomes[0].reason, "barred");
    EXPECT_EQ(runs(), 2U);
  });
}

// Guards against cancelling a non-idempotent order when the link to its entry
// process is lost, which would leave its outcome unknown.
TEST_F(DispatchServiceTest, LostLinkLeavesANonIdempotentOrderRunning)
{
  run([&]() -> Awaitable<void> {
    net::spawn(mIo, sendIgnoringOutcome(order("r", 100)));
    co_await waitForRuns(1);
    mLink = connect();
    co_await waitForOutcomes(1);
    EXPECT_EQ(mOutcomes[0].reason, "no_reply");
    core::Outcome finished;
    std::vector<core::Chunk> answer;
    for (;;) {
      const auto reply = co_await bar("r");
      if (reply->state == wire::BarState::Finished) {
        finished = *reply->outcome;
        answer = reply->answer;
        break;
      }
      EXPECT_EQ(reply->state, wire::BarState::Started);
      co_await net::sleepFor(core::Millis(10));
    }
    EXPECT_EQ(finished.verdict, Verdict::Done);
    EXPECT_EQ(finished.totalTokens, 100);
    // The reply contains the complete answer, which could not be sent over the
    // lost link.
    EXPECT_TRUE(core::outcomeIfComplete(finished, answer));
  });
}

TEST_F(DispatchServiceTest, LostLinkCancelsIdempotentWork)
{
  run([&]() -> Awaitable<void> {
    auto request = order("r", 100'000);
    request.work.idempotent = true;
    net::spawn(mIo, sendIgnoringOutcome(std::move(request)));
    const auto hasText = [&] { return !mAnswerText.empty(); };
    co_await waitUntil(hasText);
    mLink = connect();
    const auto isIdle = [&] { return mApp->hooks().listInFlight().empty(); };
    co_await waitUntil(isIdle);
    const auto reply = co_await bar("r");
    EXPECT_EQ(reply->outcome->verdict, Verdict::Unknown);
  });
}

// Guards against an engine that continues work after its caller has cancelled
// the work.
TEST_F(DispatchServiceTest, CancelEndsIdempotentWorkAtTheEngine)
{
  run([&]() -> Awaitable<void> {
    auto request = order("r", 100'000);
    request.work.idempotent = true;
    net::spawn(mIo, sendIgnoringOutcome(std::move(request)));
    const auto hasText = [&] { return !mAnswerText.empty(); };
    co_await waitUntil(hasText);
    mCancel->cancel();
    co_await waitForOutcomes(1);
    EXPECT_EQ(mOutcomes[0].verdict, Verdict::Unknown);
    EXPECT_EQ(mOutcomes[0].reason, "cancelled");
    const auto isIdle = [&] {
      return std::ranges::all_of(mFleet.engines(), [](const auto& engine) {
        return engine->slots().running() == 0;
      });
    };
    co_await waitUntil(isIdle);
  });
}

// Guards against orders that fail because they were sent to a leaving engine.
TEST_F(DispatchServiceTest, OrdersAvoidALeavingEngine)
{
  run([&]() -> Awaitable<void> {
    auto& leaving = *mFleet.engines()[0];
    wire::Json leave;
    leave["leaving"] = true;
    co_await control(leaving.server(), leave);
    for (int i = 0; i < 4; ++i) {
      auto request = order("r" + std::to_string(i));
      const auto outcome = co_await send(std::move(request));
      EXPECT_EQ(outcome.verdict, Verdict::Done) << outcome.reason;
    }
    EXPECT_EQ(mFleet.engines()[1]->runs().size(), 4U);
    const auto isMarked = [&] {
      const auto* state = mApp->servers().find(leaving.options().id);
      return state != nullptr && state->reportedLeaving;
    };
    co_await waitUntil(isMarked);
  });
}

// Guards against starting an order after its deadline.
TEST_F(DispatchServiceTest, OrdersPastTheirDeadlineDoNotRun)
{
  run([&]() -> Awaitable<void> {
    net::spawn(mIo, sendIgnoringOutcome(order("a", 1000)));
    net::spawn(mIo, sendIgnoringOutcome(order("b", 1000)));
    co_await waitForRuns(2);
    auto request = order("late");
    request.remaining = core::Millis(50);
    const auto outcome = co_await send(std::move(request));
    EXPECT_EQ(outcome.verdict, Verdict::NotRun);
    EXPECT_EQ(runs(), 2U);
  });
}

TEST_F(DispatchServiceTest, DrainingRefusesNewWorkAndFinishesRunningWork)
{
  run([&]() -> Awaitable<void> {
    net::spawn(mIo, sendIgnoringOutcome(order("old", 100)));
    co_await waitForRuns(1);
    mApp->drain();
    auto request = order("new");
    const auto refused = co_await send(std::move(request));
    EXPECT_EQ(refused.reason, "leaving");
    co_await waitForOutcomes(2);
    EXPECT_EQ(mOutcomes[1].verdict, Verdict::Done);
    EXPECT_TRUE(mApp->hooks().listInFlight().empty());
  });
}

TEST_F(DispatchServiceTest, MalformedMessagesRunNothing)
{
  run([&]() -> Awaitable<void> {
    auto body = wire::encode(order("r"));
    body["surprise"] = 1;
    const auto reply = co_await mLink->call("dispatch", body);
    const auto answer = wire::decode<wire::DispatchReply>(reply.body);
    EXPECT_EQ(answer.value().outcome.verdict, Verdict::NotRun);
    EXPECT_EQ(runs(), 0U);
  });
}

// Guards against sending work with the fencing number of an earlier owner. An
// engine that checks fencing numbers refuses such work.
TEST_F(FencingTest, RaisesTheFencingNumberAndSendsIt)
{
  run([&]() -> Awaitable<void> {
    const auto id = mFleet.engines()[0]->options().id;
    const auto isReleased = [&] {
      return mApp->servers().find(id)->holdCount == 0;
    };
    co_await waitUntil(isReleased);
    auto first = order("a");
    const auto done = co_await send(std::move(first));
    EXPECT_EQ(done.verdict, Verdict::Done) << done.reason;
    const auto entry = co_await mNode->kv().read("fence/" + id);
    EXPECT_EQ(entry.value().value, 1);
  });
}

// Guards against work and load reports that together exceed the rate which an
// engine states.
TEST_F(DispatchServiceTest, AllRequestsToAnEngineKeepToItsStatedRate)
{
  run([&]() -> Awaitable<void> {
    constexpr double kRate = 2;
    const wire::Json limit = { { "stated_rate", kRate } };
    auto& limited = mFleet.engines()[0]->server();
    auto& other = mFleet.engines()[1]->server();
    co_await control(limited, limit);
    co_await control(other, limit);
    co_await waitUntil([&] {
      return std::ranges::all_of(mApp->servers().owned(), [](const auto* s) {
        return s->server.role != core::ServerRole::Engine ||
               s->statedRate.has_value();
      });
    });
    const auto start = core::Clock::now();
    const auto before = limited.requests();
    constexpr int kOrders = 60;
    for (int i = 0; i < kOrders; ++i) {
      auto request = order("r" + std::to_string(i), 1);
      net::spawn(mIo, sendIgnoringOutcome(std::move(request)));
    }
    co_await net::sleepFor(core::Millis(1'000));
    const std::chrono::duration<double> elapsed = core::Clock::now() - start;
    // Half more than the rate, and 5, is what operators allow at most.
    EXPECT_LE(static_cast<double>(limited.requests() - before),
              1.5 * kRate * elapsed.count() + 5);
  });
}

// Guards against work that is sent to a limited engine although another one has
// a free slot.
TEST_F(DispatchServiceTest, EngineWithoutAStatedRateIsUsedFirst)
{
  run([&]() -> Awaitable<void> {
    const wire::Json limit = { { "stated_rate", 2 } };
    co_await control(mFleet.engines()[0]->server(), limit);
    co_await waitUntil([&] {
      return std::ranges::any_of(mApp->servers().owned(), [](const auto* s) {
        return s->statedRate.has_value();
      });
    });
    for (int i = 0; i < 10; ++i) {
      auto request = order("r" + std::to_string(i), 1);
      const auto outcome = co_await send(std::move(request));
      EXPECT_EQ(outcome.verdict, Verdict::Done);
    }
    EXPECT_TRUE(mFleet.engines()[0]->runs().empty());
  });
}

// Guards against an answer that loses or repeats tokens when the engine has
// preempted its request in the middle of the stream.
TEST_F(BatchEngineTest, AnswersOfPreemptedRequestsAreComplete)
{
  run([&]() -> Awaitable<void> {
    constexpr std::int64_t kTokens = 100;
    std::size_t expected = 0;
    for (const std::string prompt : { "first", "second", "third" }) {
      auto request = order(prompt, kTokens);
      request.work.prompt = prompt;
      expected += standins::AnswerText(prompt).text(0, kTokens).size();
      net::spawn(mIo, sendIgnoringOutcome(std::move(request)));
    }
    co_await waitForOutcomes(3);
    for (const auto& outcome : mOutcomes) {
      EXPECT_EQ(outcome.verdict, Verdict::Done) << outcome.reason;
      EXPECT_EQ(outcome.totalTokens, kTokens);
    }
    EXPECT_EQ(mAnswerText.size(), expected);
    EXPECT_GT(mFleet.engines()[0]->batch().preemptions(), 0);
  });
}

// Guards against work that is larger than the memory of any engine and blocks
// other work, or that is reported as possibly run.
TEST_F(BatchEngineTest, RequestLargerThanTheMemoryIsNotRun)
{
  run([&]() -> Awaitable<void> {
    auto large = order("large", 10'000);
    large.remaining = core::Millis(1'000);
    const auto outcome = co_await send(std::move(large));
    EXPECT_EQ(outcome.verdict, Verdict::NotRun) << outcome.reason;
    auto small = order("small", 10);
    const auto next = co_await send(std::move(small));
    EXPECT_EQ(next.verdict, Verdict::Done) << next.reason;
  });
}

// Guards against work that waits until its deadline although the stated rates
// leave no time for it.
TEST_F(DispatchServiceTest, WorkBeyondTheStatedRatesIsRejectedAtOnce)
{
  run([&]() -> Awaitable<void> {
    const wire::Json limit = { { "stated_rate", 0.2 } };
    co_await control(mFleet.engines()[0]->server(), limit);
    co_await control(mFleet.engines()[1]->server(), limit);
    co_await waitUntil([&] {
      return std::ranges::all_of(mApp->servers().owned(), [](const auto* s) {
        return s->server.role != core::ServerRole::Engine ||
               s->statedRate.has_value();
      });
    });
    auto request = order("r", 1);
    request.remaining = core::Millis(1'000);
    const auto outcome = co_await send(std::move(request));
    EXPECT_EQ(outcome.verdict, Verdict::NotRun);
    EXPECT_EQ(outcome.reason, "request_rate");
    EXPECT_GT(outcome.retryAfter, core::Millis(1'000));
  });
}

} // namespace lentilrack::dispatch
