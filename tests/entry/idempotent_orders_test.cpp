#include "entry/entry_fixture.h"

#include <algorithm>

namespace lentilrack::entry {

namespace {

/// Tests of idempotent orders. A test chooses how the first attempt of a prompt
/// that starts with "slow" ends: with a failure, late or never.
class IdempotentOrders : public EntryTest
{
protected:
  /// Runs the first attempt with a prompt that starts with "slow" on `engine`,
  /// and all other attempts on echoEngine().
  void setFirstAttemptEngine(FakeDispatcher::Engine engine)
  {
    mFirstAttemptEngine = std::move(engine);
    mFirstDispatcher.engine = mSecondDispatcher.engine =
      [this](wire::DispatchRequest message, FakeDispatcher::Request request) {
        const bool isFirstSlowAttempt =
          message.work.prompt.starts_with("slow") && mSlowPromptRuns++ == 0;
        return isFirstSlowAttempt
                 ? mFirstAttemptEngine(std::move(message), std::move(request))
                 : echoEngine(std::move(message), std::move(request));
      };
  }

  TestEntry& entryWith(RetryHooks hooks)
  {
    EntryOptions options;
    options.retries = std::move(hooks);
    mCustomEntry =
      std::make_unique<TestEntry>(mIo, "etna-3", std::move(options));
    mCustomEntry->addMember(mFirstDispatcher.member());
    mCustomEntry->addMember(mSecondDispatcher.member());
    return *mCustomEntry;
  }

  /// Runs enough orders for the entry process to learn the usual latency, after
  /// which it may send hedged attempts.
  net::Awaitable<void> learnUsualLatency(TestEntry& entry)
  {
    for (int i = 0; i < 25; ++i) {
      auto body = orderBody(newId(entry), "quick", true);
      co_await order(entry, std::move(body));
    }
    mFirstDispatcher.runs.clear();
    mSecondDispatcher.runs.clear();
  }

  std::size_t runs() const
  {
    return mFirstDispatcher.runs.size() + mSecondDispatcher.runs.size();
  }

  FakeDispatcher::Engine mFirstAttemptEngine;
  int mSlowPromptRuns = 0;
  std::unique_ptr<TestEntry> mCustomEntry;
};

net::Awaitable<core::Outcome>
failAfterToken(wire::DispatchRequest, FakeDispatcher::Request request)
{
  const core::Chunk chunk{ "broken ", 1, 6 };
  request->sendEvent(wire::encode(chunk));
  core::Outcome outcome;
  outcome.reason = "interrupted";
  co_return outcome;
}

net::Awaitable<core::Outcome>
hangUntilCancelled(wire::DispatchRequest, FakeDispatcher::Request request)
{
  const auto signal = request->cancelSignal();
  while (!signal->isCancelRequested()) {
    co_await net::sleepFor(core::Millis(1));
  }
  core::Outcome outcome;
  outcome.reason = "cancelled";
  co_return outcome;
}

net::Awaitable<core::Outcome>
answerLate(wire::DispatchRequest message, FakeDispatcher::Request request)
{
  co_await net::sleepFor(core::Millis(300));
  auto outcome = co_await echoEngine(std::move(message), request);
  co_return outcome;
}

} // namespace

// Guards against an answer that contains tokens of two attempts.
TEST_F(IdempotentOrders, FailedAttemptIsReplacedWithoutItsTokens)
{
  setFirstAttemptEngine(failAfterToken);
  run([&]() -> net::Awaitable<void> {
    const auto answer = co_await order(
      mEntryProcess, orderBody(newId(mEntryProcess), "slow food", true));
    EXPECT_EQ(answer.text(), "slow food ");
    EXPECT_EQ(answer.verdict(), "done");
    EXPECT_EQ(answer.lines().back()["segments"][0]["version"], 7);
    EXPECT_EQ(runs(), 2U);
  });
}

// Guards against retry storms: when the retry budget is used up, nothing may be
// retried.
TEST_F(IdempotentOrders, NothingIsRepeatedWithoutBudget)
{
  setFirstAttemptEngine(failAfterToken);
  RetryHooks hooks;
  hooks.takeRetryBudget = [] { return false; };
  auto& entry = entryWith(hooks);
  run([&]() -> net::Awaitable<void> {
    const auto answer =
      co_await order(entry, orderBody(newId(entry), "slow food", true));
    EXPECT_EQ(answer.verdict(), "unknown");
    EXPECT_EQ(answer.reason(), "interrupted");
    EXPECT_EQ(runs(), 1U);
  });
}

// Guards against idempotent orders that fail during a rolling restart. A
// refusal by a leaving dispatcher adds no load to the backend servers, so the
// retry after it needs no retry budget.
TEST_F(IdempotentOrders, LeavingDispatcherCostsNoBudget)
{
  mFirstDispatcher.refusalReason = "leaving";
  RetryHooks hooks;
  hooks.takeRetryBudget = [] { return false; };
  auto& entry = entryWith(hooks);
  run([&]() -> net::Awaitable<void> {
    for (int i = 0; i < 10; ++i) {
      const auto answer =
        co_await order(entry, orderBody(newId(entry), "one", true));
      EXPECT_EQ(answer.verdict(), "done");
    }
    EXPECT_EQ(mSecondDispatcher.runs.size(), 10U);
  });
}

// Guards against reporting not_run because the last attempt did not run, when
// an earlier attempt may have run.
TEST_F(IdempotentOrders, RefusedRetryDoesNotHideTheFirstAttempt)
{
  setFirstAttemptEngine(
    [this](wire::DispatchRequest message, FakeDispatcher::Request request) {
      mFirstDispatcher.refusalReason = mSecondDispatcher.refusalReason =
        "overload";
      return failAfterToken(std::move(message), std::move(request));
    });
  run([&]() -> net::Awaitable<void> {
    const auto answer = co_await order(
      mEntryProcess, orderBody(newId(mEntryProcess), "slow food", true));
    EXPECT_EQ(answer.verdict(), "unknown");
    EXPECT_EQ(answer.reason(), "overload");
  });
}

// Guards against waiting for a slow server while other servers are idle.
TEST_F(IdempotentOrders, SlowAttemptIsHedgedAtAnotherDispatcherAndCancelled)
{
  setFirstAttemptEngine(hangUntilCancelled);
  run([&]() -> net::Awaitable<void> {
    co_await learnUsualLatency(mEntryProcess);
    const auto answer = co_await order(
      mEntryProcess, orderBody(newId(mEntryProcess), "slow food", true));
    EXPECT_EQ(answer.text(), "slow food ");
    EXPECT_EQ(mFirstDispatcher.runs.size(), 1U);
    EXPECT_EQ(mSecondDispatcher.runs.size(), 1U);
    co_await waitUntil([&] {
      return mFirstDispatcher.cancelledAttempts +
               mSecondDispatcher.cancelledAttempts ==
             1;
    });
  });
}

TEST_F(IdempotentOrders, NonIdempotentWorkIsNeverHedged)
{
  setFirstAttemptEngine(answerLate);
  run([&]() -> net::Awaitable<void> {
    co_await learnUsualLatency(mEntryProcess);
    const auto answer = co_await order(
      mEntryProcess, orderBody(newId(mEntryProcess), "slow food", false));
    EXPECT_EQ(answer.text(), "slow food ");
    EXPECT_EQ(runs(), 1U);
  });
}

TEST_F(IdempotentOrders, BaselineDoesNotHedge)
{
  setFirstAttemptEngine(answerLate);
  RetryHooks hooks;
  hooks.isHedgingEnabled = false;
  auto& entry = entryWith(hooks);
  run([&]() -> net::Awaitable<void> {
    co_await learnUsualLatency(entry);
    const auto answer =
      co_await order(entry, orderBody(newId(entry), "slow food", true));
    EXPECT_EQ(answer.text(), "slow food ");
    EXPECT_EQ(runs(), 1U);
  });
}

TEST_F(IdempotentOrders, RowWithoutHedgingIsNotHedged)
{
  setFirstAttemptEngine(answerLate);
  auto table = testTable();
  table.revision = 2;
  table.rows[{ "desk", "*" }].hedge = false;
  mEntryProcess.node().table().applyIfNewer(table);
  run([&]() -> net::Awaitable<void> {
    co_await learnUsualLatency(mEntryProcess);
    co_await order(mEntryProcess,
                   orderBody(newId(mEntryProcess), "slow food", true));
    EXPECT_EQ(runs(), 1U);
  });
}

// Guards against continuing an order whose caller has disconnected, and against
// recording this cancellation as the outcome that a repeated request then gets.
TEST_F(IdempotentOrders, DisconnectCancelsAndTheOrderCanBeRepeated)
{
  setFirstAttemptEngine(hangUntilCancelled);
  run([&]() -> net::Awaitable<void> {
    const auto body = orderBody(newId(mEntryProcess), "slow food", true);
    net::HttpCall call;
    call.endpoint = mEntryProcess.http();
    call.useNewConnection = true;
    call.cancel = std::make_shared<net::CancelSignal>();
    call.request = { "POST",
                     "/v1/orders",
                     { { "Authorization", std::string("Bearer ") + kToken } },
                     body.dump() };
    const auto cancel = call.cancel;
    net::asio::co_spawn(
      mIo, mHttpClient.call(std::move(call)), net::asio::detached);
    co_await waitUntil([&] { return runs() == 1; });
    cancel->cancel();
    co_await waitUntil([&] {
      return mFirstDispatcher.cancelledAttempts +
               mSecondDispatcher.cancelledAttempts ==
             1;
    });
    co_await waitUntil(
      [&] { return mEntryProcess.app().orderService().inFlight() == 0; });
    const auto answer = co_await order(mEntryProcess, body);
    EXPECT_EQ(answer.verdict(), "done");
  });
}

// Guards against idempotent orders that fail because their home is lost.
TEST_F(IdempotentOrders, LostHomeDoesNotStopIdempotentWork)
{
  run([&]() -> net::Awaitable<void> {
    const auto body = orderBody(newId(mEntryProcess), "one", true);
    mEntryProcess.closeLinks();
    const auto answer = co_await order(mOtherEntryProcess, body);
    EXPECT_EQ(answer.text(), "one ");
    EXPECT_EQ(answer.verdict(), "done");
    mFirstDispatcher.refusalReason = mSecondDispatcher.refusalReason =
      "overload";
    const auto refused = co_await order(
      mOtherEntryProcess, orderBody(newId(mEntryProcess), "two", true));
    EXPECT_EQ(refused.verdict(), "unknown");
  });
}

} // namespace lentilrack::entry
