#include "entry/entry_fixture.h"

#include "net/error.h"

namespace lentilrack::entry {

namespace {

using OrderLoss = EntryTest;

/// Engine that starts each attempt and never answers.
net::Awaitable<core::Outcome>
neverAnsweringEngine(wire::DispatchRequest, FakeDispatcher::Request)
{
  co_await net::sleepFor(core::Millis(3'600'000));
  co_return core::Outcome{};
}

} // namespace

// Guards against another verdict than not_run for an order that was not
// dispatched before its home was lost, and against running the order later at a
// home that was only paused.
TEST_F(OrderLoss, HomeLostBeforeDispatchIsRecordedAsNotRun)
{
  run([&]() -> net::Awaitable<void> {
    const auto body = orderBody(newId(mEntryProcess), "one");
    mEntryProcess.closeLinks();
    const auto answer = co_await order(mOtherEntryProcess, body);
    EXPECT_EQ(answer.verdict(), "not_run");
    EXPECT_EQ(answer.reason(), "home_lost");
    // Sends the same order to the home, as if the home had only been paused.
    const auto answerOfPausedHome = co_await order(mEntryProcess, body);
    EXPECT_EQ(answerOfPausedHome.verdict(), "not_run");
    EXPECT_TRUE(mFirstDispatcher.runs.empty());
    EXPECT_TRUE(mSecondDispatcher.runs.empty());
  });
}

// Guards against reporting an order as not_run when it runs and its home is
// lost.
TEST_F(OrderLoss, HomeLostWhileRunningIsUnknown)
{
  mFirstDispatcher.engine = mSecondDispatcher.engine = neverAnsweringEngine;
  run([&]() -> net::Awaitable<void> {
    const auto body = orderBody(newId(mEntryProcess), "one");
    const auto atHome = startOrder(mEntryProcess, body);
    co_await waitUntil([&] {
      return mFirstDispatcher.runs.size() + mSecondDispatcher.runs.size() > 0;
    });
    mEntryProcess.closeLinks();
    const auto answer = co_await order(mOtherEntryProcess, body);
    EXPECT_EQ(answer.status, 502);
    EXPECT_EQ(answer.verdict(), "unknown");
    EXPECT_EQ(answer.reason(), "home_lost");
  });
}

// Guards against reporting an order as not run, or running it again, when its
// home is lost after the order was relayed there and started. Its outcome must
// be reported as unknown.
TEST_F(OrderLoss, HomeLostDuringARelayIsUnknown)
{
  mFirstDispatcher.engine = mSecondDispatcher.engine = neverAnsweringEngine;
  run([&]() -> net::Awaitable<void> {
    const auto body = orderBody(newId(mEntryProcess), "one");
    const auto relayed = startOrder(mOtherEntryProcess, body);
    co_await waitUntil([&] {
      return mFirstDispatcher.runs.size() + mSecondDispatcher.runs.size() > 0;
    });
    mEntryProcess.closeLinks();
    co_await waitUntil([&] { return relayed->status != 0; });
    EXPECT_EQ(relayed->verdict(), "unknown");
    EXPECT_EQ(relayed->reason(), "home_lost");
    EXPECT_EQ(mFirstDispatcher.runs.size() + mSecondDispatcher.runs.size(), 1U);
  });
}

// Guards against sending work after its deadline, for example after the
// process was paused.
TEST_F(OrderLoss, NothingIsSentAfterTheDeadline)
{
  run([&]() -> net::Awaitable<void> {
    DispatchCall call;
    call.attempt = { "idem-1", 1 };
    call.work.target = "note";
    call.remaining = core::Millis(0);
    const auto result =
      co_await mEntryProcess.app().dispatchClient().run(std::move(call));
    EXPECT_EQ(result.outcome.verdict, core::Verdict::NotRun);
    EXPECT_EQ(result.outcome.reason, "deadline");
    EXPECT_FALSE(result.sent);
    EXPECT_TRUE(mFirstDispatcher.runs.empty());
    EXPECT_TRUE(mSecondDispatcher.runs.empty());
  });
}

TEST_F(OrderLoss, HomeLostAfterCompletionIsDoneWithoutAnswer)
{
  run([&]() -> net::Awaitable<void> {
    const auto body = orderBody(newId(mEntryProcess), "one");
    co_await order(mEntryProcess, body);
    mEntryProcess.closeLinks();
    const auto answer = co_await order(mOtherEntryProcess, body);
    EXPECT_EQ(answer.lines().back()["event"], "failed");
    EXPECT_EQ(answer.verdict(), "done");
    EXPECT_EQ(answer.reason(), "answer_lost");
    EXPECT_EQ(mFirstDispatcher.runs.size() + mSecondDispatcher.runs.size(), 1U);
  });
}

// Guards against reporting not_run when one of the dispatchers that the ticket
// allows to run the order (the dispatch set) cannot be reached. This dispatcher
// may still run the order.
TEST_F(OrderLoss, HomeAndOneDispatcherLostIsUnknown)
{
  run([&]() -> net::Awaitable<void> {
    const auto body = orderBody(newId(mEntryProcess), "one");
    mEntryProcess.closeLinks();
    mSecondDispatcher.shutDown();
    const auto answer = co_await order(mOtherEntryProcess, body);
    EXPECT_EQ(answer.verdict(), "unknown");
  });
}

// Guards against a restarted home that dispatches an order whose ticket was
// issued by the previous incarnation of the home.
TEST_F(OrderLoss, TicketOfAnotherIncarnationIsNeverDispatched)
{
  run([&]() -> net::Awaitable<void> {
    core::Ticket ticket;
    ticket.home = { mEntryProcess.node().self().name,
                    mEntryProcess.node().self().incarnation + 1 };
    ticket.caller = "desk";
    ticket.expiry = core::kTicketLifetime;
    ticket.dispatchers = { mFirstDispatcher.id(), mSecondDispatcher.id() };
    const core::RequestId id{ core::TicketSigner(kSecret).sign(ticket), 1 };
    const auto answer =
      co_await order(mEntryProcess, orderBody(id.text(), "one"));
    EXPECT_EQ(answer.verdict(), "not_run");
    EXPECT_TRUE(mFirstDispatcher.runs.empty());
    EXPECT_TRUE(mSecondDispatcher.runs.empty());
  });
}

// Guards against running an order a second time after its dispatcher crashed.
TEST_F(OrderLoss, LostDispatcherIsUnknownAndNothingRunsElsewhere)
{
  const auto shutDownAfterToken =
    [&](wire::DispatchRequest,
        FakeDispatcher::Request request) -> net::Awaitable<core::Outcome> {
    request->sendEvent(wire::encode(core::Chunk{ "on", 1, 7 }));
    co_await net::sleepFor(core::Millis(20));
    mFirstDispatcher.shutDown();
    mSecondDispatcher.shutDown();
    co_return core::Outcome{};
  };
  mFirstDispatcher.engine = mSecondDispatcher.engine = shutDownAfterToken;
  run([&]() -> net::Awaitable<void> {
    const auto body = orderBody(newId(mEntryProcess), "one");
    const auto answer = co_await order(mEntryProcess, body);
    EXPECT_EQ(answer.lines().back()["event"], "failed");
    EXPECT_EQ(answer.verdict(), "unknown");
    EXPECT_EQ(answer.reason(), "dispatcher_lost");
    const auto again = co_await order(mEntryProcess, body);
    EXPECT_EQ(again.verdict(), "unknown");
    EXPECT_EQ(mFirstDispatcher.runs.size() + mSecondDispatcher.runs.size(), 1U);
  });
}

// Guards against reporting Unknown when the link breaks while an order is sent,
// but the same incarnation of the dispatcher later promises never to start the
// order (a bar). The bar proves that the order did not run.
TEST_F(OrderLoss, LostMessageIsBarredAndNotRun)
{
  const std::string name = "etna-1/dispatch";
  auto stoppedDispatcher = std::make_unique<FakeDispatcher>(mIo, name, 5);
  const auto member = stoppedDispatcher->member();
  std::unique_ptr<FakeDispatcher> reopened;
  stoppedDispatcher->shouldDropMessage = [&] {
    stoppedDispatcher->shutDown();
    return true;
  };
  mEntryProcess.addMember(member);
  run([&]() -> net::Awaitable<void> {
    core::Ticket ticket;
    ticket.home = mEntryProcess.node().self();
    ticket.caller = "desk";
    ticket.expiry = core::kTicketLifetime;
    ticket.dispatchers = { stoppedDispatcher->id() };
    const core::RequestId id{ core::TicketSigner(kSecret).sign(ticket), 1 };
    stoppedDispatcher->shouldDropMessage = [&] {
      stoppedDispatcher->shutDown();
      // Opens the link of the same incarnation again.
      reopened = std::make_unique<FakeDispatcher>(mIo, name, 5, member.link);
      return true;
    };
    const auto answer =
      co_await order(mEntryProcess, orderBody(id.text(), "one"));
    EXPECT_EQ(answer.verdict(), "not_run");
    EXPECT_EQ(answer.reason(), "dispatcher_lost");
    EXPECT_EQ(reopened->ledger.state(id.text()), core::AttemptState::Barred);
  });
}

// Guards against accepting a bar from a restarted dispatcher, which does not
// know what its previous incarnation ran.
TEST_F(OrderLoss, BarOfRestartedDispatcherIsNotAccepted)
{
  const std::string name = "etna-1/dispatch";
  auto stoppedDispatcher = std::make_unique<FakeDispatcher>(mIo, name, 5);
  const auto member = stoppedDispatcher->member();
  std::unique_ptr<FakeDispatcher> restarted;
  mEntryProcess.addMember(member);
  stoppedDispatcher->shouldDropMessage = [&] {
    stoppedDispatcher->shutDown();
    restarted = std::make_unique<FakeDispatcher>(mIo, name, 6, member.link);
    return true;
  };
  run([&]() -> net::Awaitable<void> {
    core::Ticket ticket;
    ticket.home = mEntryProcess.node().self();
    ticket.caller = "desk";
    ticket.expiry = core::kTicketLifetime;
    ticket.dispatchers = { stoppedDispatcher->id() };
    const core::RequestId id{ core::TicketSigner(kSecret).sign(ticket), 1 };
    const auto answer =
      co_await order(mEntryProcess, orderBody(id.text(), "one"));
    EXPECT_EQ(answer.verdict(), "unknown");
    EXPECT_TRUE(restarted->runs.empty());
  });
}

// Guards against reporting Unknown too early. A dispatcher whose reply was lost
// may still run the order, and must be asked again until the order has
// finished.
TEST_F(OrderLoss, DispatcherStillRunningIsAskedAgain)
{
  run([&]() -> net::Awaitable<void> {
    const auto body = orderBody(newId(mEntryProcess), "one");
    for (auto* dispatcher : { &mFirstDispatcher, &mSecondDispatcher }) {
      dispatcher->engine =
        [](wire::DispatchRequest,
           FakeDispatcher::Request request) -> net::Awaitable<core::Outcome> {
        request->reply("not an outcome");
        co_await net::sleepFor(core::Millis(300));
        core::Outcome done;
        done.verdict = core::Verdict::Done;
        co_return done;
      };
    }
    const auto answer = co_await order(mEntryProcess, body);
    EXPECT_EQ(answer.verdict(), "done");
    EXPECT_EQ(answer.reason(), "answer_lost");
    EXPECT_EQ(mFirstDispatcher.runs.size() + mSecondDispatcher.runs.size(), 1U);
  });
}

// Guards against losing or repeating chunks when the reply of a dispatcher was
// lost, but the dispatcher still has the complete answer.
TEST_F(OrderLoss, AnswerKeptByTheDispatcherIsDeliveredCompletely)
{
  run([&]() -> net::Awaitable<void> {
    const auto body = orderBody(newId(mEntryProcess), "one");
    for (auto* dispatcher : { &mFirstDispatcher, &mSecondDispatcher }) {
      dispatcher->keptAnswer = { { "on", 1, 7 }, { "e!", 2, 8 } };
      dispatcher->engine =
        [](wire::DispatchRequest,
           FakeDispatcher::Request request) -> net::Awaitable<core::Outcome> {
        request->sendEvent(wire::encode(core::Chunk{ "on", 1, 7 }));
        request->reply("not an outcome");
        co_await net::sleepFor(core::Millis(50));
        core::Outcome done;
        done.verdict = core::Verdict::Done;
        done.totalTokens = 3;
        co_return done;
      };
    }
    const auto answer = co_await order(mEntryProcess, body);
    EXPECT_EQ(answer.verdict(), "done");
    EXPECT_EQ(answer.lines().back()["event"], "done");
    EXPECT_EQ(answer.lines().back()["total"], 3);
    EXPECT_EQ(answer.lines().back()["segments"].size(), 2U);
    std::string text;
    for (const auto& line : answer.lines()) {
      text += line.value("text", "");
    }
    EXPECT_EQ(text, "one!");
    EXPECT_EQ(mFirstDispatcher.runs.size() + mSecondDispatcher.runs.size(), 1U);
  });
}

} // namespace lentilrack::entry
