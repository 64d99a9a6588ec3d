#include "entry/entry_fixture.h"

namespace lentilrack::entry {

using wire::Json;

namespace {

using Orders = EntryTest;

int
countRuns(const FakeDispatcher& first, const FakeDispatcher& second)
{
  return static_cast<int>(first.runs.size() + second.runs.size());
}

/// Returns an engine that blocks each attempt until `isUnblocked` is set. After
/// that it echoes the prompt.
FakeDispatcher::Engine
blockedEngine(std::shared_ptr<bool> isUnblocked)
{
  return [isUnblocked](
           wire::DispatchRequest message,
           FakeDispatcher::Request request) -> net::Awaitable<core::Outcome> {
    // Captures by reference, because g++ 12 destroys a temporary lambda in a
    // co_await expression twice.
    co_await waitUntil([&isUnblocked] { return *isUnblocked; });
    auto outcome = co_await echoEngine(std::move(message), request);
    co_return outcome;
  };
}

} // namespace

TEST_F(Orders, AnswerIsStreamedWithItsVersions)
{
  run([&]() -> net::Awaitable<void> {
    const auto body = orderBody(newId(mEntryProcess), "salt and pepper");
    const auto answer = co_await order(mEntryProcess, body);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.text(), "salt and pepper ");
    const auto last = answer.lines().back();
    EXPECT_EQ(last["event"], "done");
    EXPECT_EQ(last["total"], 3);
    EXPECT_EQ(last["segments"],
              Json::parse(R"([{"version":7,"from":0,"to":3}])"));
    EXPECT_EQ(countRuns(mFirstDispatcher, mSecondDispatcher), 1);
  });
}

// Guards against a duplicate request that runs the order a second time.
TEST_F(Orders, DuplicateGetsTheRunningOrRecordedAnswer)
{
  const auto unblocked = std::make_shared<bool>(false);
  mFirstDispatcher.engine = mSecondDispatcher.engine = blockedEngine(unblocked);
  run([&]() -> net::Awaitable<void> {
    const auto body = orderBody(newId(mEntryProcess), "one two");
    const auto first = startOrder(mEntryProcess, body);
    co_await waitUntil(
      [&] { return countRuns(mFirstDispatcher, mSecondDispatcher) == 1; });
    const auto joined = startOrder(mEntryProcess, body);
    co_await net::sleepFor(core::Millis(20));
    *unblocked = true;
    co_await waitUntil(
      [&] { return first->status != 0 && joined->status != 0; });
    const auto recorded = co_await order(mEntryProcess, body);
    const std::vector<const HttpReply*> answers{ first.get(),
                                                 joined.get(),
                                                 &recorded };
    for (const auto* answer : answers) {
      EXPECT_EQ(answer->text(), "one two ");
      EXPECT_EQ(answer->verdict(), "done");
    }
    EXPECT_EQ(countRuns(mFirstDispatcher, mSecondDispatcher), 1);
  });
}

// Guards against a duplicate at another instance that runs the order a second
// time.
TEST_F(Orders, DuplicateAtAnotherInstanceIsRelayedToItsHome)
{
  const auto unblocked = std::make_shared<bool>(false);
  mFirstDispatcher.engine = mSecondDispatcher.engine = blockedEngine(unblocked);
  run([&]() -> net::Awaitable<void> {
    const auto body = orderBody(newId(mEntryProcess), "one two");
    const auto atHome = startOrder(mEntryProcess, body);
    co_await waitUntil(
      [&] { return countRuns(mFirstDispatcher, mSecondDispatcher) == 1; });
    const auto elsewhere = startOrder(mOtherEntryProcess, body);
    co_await net::sleepFor(core::Millis(20));
    *unblocked = true;
    co_await waitUntil(
      [&] { return atHome->status != 0 && elsewhere->status != 0; });
    EXPECT_EQ(elsewhere->text(), "one two ");
    EXPECT_EQ(elsewhere->lines().back(), atHome->lines().back());
    EXPECT_EQ(countRuns(mFirstDispatcher, mSecondDispatcher), 1);
  });
}

// Guards against replies that reach the wrong caller when they arrive in
// another order than the requests.
TEST_F(Orders, AnswersInReverseOrderReachTheirCallers)
{
  constexpr int kOrders = 10;
  int answered = kOrders;
  const auto answerInReverse =
    [&](wire::DispatchRequest message,
        FakeDispatcher::Request request) -> net::Awaitable<core::Outcome> {
    const int number = std::stoi(message.work.prompt);
    co_await waitUntil([&] {
      return countRuns(mFirstDispatcher, mSecondDispatcher) == kOrders;
    });
    co_await waitUntil([&] { return answered == number + 1; });
    auto outcome = co_await echoEngine(std::move(message), request);
    --answered;
    co_return outcome;
  };
  mFirstDispatcher.engine = mSecondDispatcher.engine = answerInReverse;
  run([&]() -> net::Awaitable<void> {
    std::vector<std::shared_ptr<HttpReply>> answers;
    for (int i = 0; i < kOrders; ++i) {
      answers.push_back(startOrder(
        mEntryProcess, orderBody(newId(mEntryProcess), std::to_string(i))));
    }
    for (int i = 0; i < kOrders; ++i) {
      co_await waitUntil([&] { return answers[i]->status != 0; });
      EXPECT_EQ(answers[i]->text(), std::to_string(i) + " ");
    }
  });
}

// Guards against reporting a truncated answer as done.
TEST_F(Orders, ShortAnswerIsAFailure)
{
  mFirstDispatcher.engine = mSecondDispatcher.engine =
    [](wire::DispatchRequest message,
       FakeDispatcher::Request request) -> net::Awaitable<core::Outcome> {
    auto outcome = co_await echoEngine(std::move(message), request);
    outcome.totalTokens += 1;
    co_return outcome;
  };
  run([&]() -> net::Awaitable<void> {
    const auto answer =
      co_await order(mEntryProcess, orderBody(newId(mEntryProcess), "one two"));
    EXPECT_EQ(answer.lines().back()["event"], "failed");
    EXPECT_EQ(answer.verdict(), "unknown");
    EXPECT_EQ(answer.reason(), "incomplete_answer");
  });
}

// Guards against accepting the same identifier for two different orders.
TEST_F(Orders, IdentifierWithAnotherBodyIsRefused)
{
  run([&]() -> net::Awaitable<void> {
    const auto id = newId(mEntryProcess);
    co_await order(mEntryProcess, orderBody(id, "one"));
    const std::vector<TestEntry*> entries{ &mEntryProcess,
                                           &mOtherEntryProcess };
    for (auto* entry : entries) {
      const auto answer = co_await order(*entry, orderBody(id, "two"));
      EXPECT_EQ(answer.status, 409);
      EXPECT_EQ(answer.json()["error"], "identifier_reused");
      EXPECT_TRUE(answer.json()["verdict"].is_null());
    }
    EXPECT_EQ(countRuns(mFirstDispatcher, mSecondDispatcher), 1);
  });
}

TEST_F(Orders, ExpiredAndForeignTicketsAreRefusedWithoutVerdict)
{
  run([&]() -> net::Awaitable<void> {
    core::Ticket ticket;
    ticket.home = mEntryProcess.node().self();
    ticket.caller = "desk";
    ticket.dispatchers = { mFirstDispatcher.id() };
    const core::TicketSigner signer(kSecret);
    const auto expired = core::RequestId{ signer.sign(ticket), 1 }.text();
    const auto late = co_await order(mEntryProcess, orderBody(expired, "one"));
    EXPECT_EQ(late.status, 410);
    EXPECT_EQ(late.json()["error"], "ticket_expired");
    EXPECT_TRUE(late.json()["verdict"].is_null());
    const auto foreign = co_await order(
      mEntryProcess, orderBody(newId(mEntryProcess, "other"), "one"));
    EXPECT_EQ(foreign.status, 403);
    EXPECT_EQ(foreign.json()["error"], "foreign_ticket");
    const auto forged =
      core::RequestId{ core::TicketSigner("guess").sign(ticket), 1 }.text();
    const auto guessed =
      co_await order(mEntryProcess, orderBody(forged, "one"));
    EXPECT_EQ(guessed.json()["error"], "foreign_ticket");
    EXPECT_EQ(countRuns(mFirstDispatcher, mSecondDispatcher), 0);
  });
}

// Guards against another verdict than not_run for an order that every
// dispatcher refused, and against running the order when the request is
// repeated after the dispatchers have recovered.
TEST_F(Orders, RefusalByEveryDispatcherIsRecordedAsNotRun)
{
  mFirstDispatcher.refusalReason = mSecondDispatcher.refusalReason = "refused";
  run([&]() -> net::Awaitable<void> {
    const auto body = orderBody(newId(mEntryProcess), "one");
    const auto answer = co_await order(mEntryProcess, body);
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(answer.verdict(), "not_run");
    EXPECT_EQ(answer.reason(), "refused");
    mFirstDispatcher.refusalReason = mSecondDispatcher.refusalReason = "";
    const auto again = co_await order(mEntryProcess, body);
    EXPECT_EQ(again.verdict(), "not_run");
    EXPECT_EQ(countRuns(mFirstDispatcher, mSecondDispatcher), 0);
  });
}

TEST_F(Orders, RefusalByOneDispatcherRunsAtTheOther)
{
  mFirstDispatcher.refusalReason = "connection_refused";
  run([&]() -> net::Awaitable<void> {
    for (int i = 0; i < 10; ++i) {
      const auto answer =
        co_await order(mEntryProcess, orderBody(newId(mEntryProcess), "one"));
      EXPECT_EQ(answer.verdict(), "done");
    }
    EXPECT_EQ(mSecondDispatcher.runs.size(), 10U);
  });
}

// Guards against an instance that accepts new work while it is leaving, and
// against a recorded verdict that changes when the request is repeated.
TEST_F(Orders, LeavingInstanceRefusesAsNotRunAndNamesOthers)
{
  run([&]() -> net::Awaitable<void> {
    const auto known = orderBody(newId(mEntryProcess), "one");
    co_await order(mEntryProcess, known);
    mEntryProcess.app().beginDrain();
    const auto body = orderBody(newId(mEntryProcess), "two");
    const auto answer = co_await order(mEntryProcess, body);
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(answer.verdict(), "not_run");
    EXPECT_EQ(answer.json()["addresses"][0]["endpoint"],
              mOtherEntryProcess.http().text());
    const auto relayed = co_await order(mOtherEntryProcess, body);
    EXPECT_EQ(relayed.verdict(), "not_run");
    const auto recorded = co_await order(mEntryProcess, known);
    EXPECT_EQ(recorded.verdict(), "done");
    EXPECT_EQ(countRuns(mFirstDispatcher, mSecondDispatcher), 1);
  });
}

// Guards against cancelling a non-idempotent order, or losing its answer, when
// its caller disconnects.
TEST_F(Orders, DisconnectedCallerGetsItsAnswerOnRepetition)
{
  const auto unblocked = std::make_shared<bool>(false);
  mFirstDispatcher.engine = mSecondDispatcher.engine = blockedEngine(unblocked);
  run([&]() -> net::Awaitable<void> {
    const auto body = orderBody(newId(mEntryProcess), "one two");
    net::HttpCall call;
    call.endpoint = mEntryProcess.http();
    call.useNewConnection = true;
    call.cancel = std::make_shared<net::CancelSignal>();
    call.request = { "POST",
                     "/v1/orders",
                     { { "Authorization", std::string("Bearer ") + kToken } },
                     body.dump() };
    const auto cancel = call.cancel;
    bool isOver = false;
    net::asio::co_spawn(
      mIo,
      mHttpClient.call(std::move(call)),
      [&](const std::exception_ptr&, net::HttpResult) { isOver = true; });
    co_await waitUntil(
      [&] { return countRuns(mFirstDispatcher, mSecondDispatcher) == 1; });
    cancel->cancel();
    co_await waitUntil([&] { return isOver; });
    co_await net::sleepFor(core::Millis(20));
    *unblocked = true;
    const auto answer = co_await order(mEntryProcess, body);
    EXPECT_EQ(answer.text(), "one two ");
    EXPECT_EQ(answer.verdict(), "done");
    EXPECT_EQ(countRuns(mFirstDispatcher, mSecondDispatcher), 1);
    EXPECT_EQ(mFirstDispatcher.cancelledAttempts +
                mSecondDispatcher.cancelledAttempts,
              0);
  });
}

TEST_F(Orders, RowLimitIsReportedWithRetryTime)
{
  auto table = testTable();
  table.revision = 2;
  table.rows[{ "desk", "*" }].ratePerSecond = 0.001;
  mEntryProcess.node().table().applyIfNewer(table);
  run([&]() -> net::Awaitable<void> {
    co_await order(mEntryProcess, orderBody(newId(mEntryProcess), "one"));
    const auto answer =
      co_await order(mEntryProcess, orderBody(newId(mEntryProcess), "two"));
    EXPECT_EQ(answer.status, 429);
    EXPECT_EQ(answer.verdict(), "not_run");
    EXPECT_EQ(answer.reason(), "rate_limit");
    EXPECT_GT(answer.json()["retry_after_ms"], 0);
  });
}

// Guards against accepting a request with an invalid field.
TEST_F(Orders, BadInputNamesTheField)
{
  run([&]() -> net::Awaitable<void> {
    const auto good = orderBody(newId(mEntryProcess), "one");
    const std::vector<std::pair<std::string, Json>> changes{
      { "id", 5 },
      { "kind", nullptr },
      { "max_tokens", -1 },
      { "max_tokens", 1e18 },
      { "max_tokens", 99'000'000 },
      { "max_tokens", "10" },
      { "idempotent", "yes" },
      { "deadline_ms", 0 },
      { "colour", "red" },
    };
    for (const auto& [field, value] : changes) {
      auto body = good;
      body[field] = value;
      const auto answer = co_await order(mEntryProcess, body);
      EXPECT_EQ(answer.status, 400) << field;
      EXPECT_NE(answer.json()["message"].get<std::string>().find(field),
                std::string::npos)
        << answer.body;
    }
    net::HttpRequest malformed{ "POST", "/v1/orders", {}, "{\"id\":" };
    const auto broken = co_await send(mEntryProcess, malformed);
    EXPECT_EQ(broken.status, 400);
    const std::vector<std::string> ids{ "", "no-dot", "ticket.01" };
    for (const auto& id : ids) {
      auto body = good;
      body["id"] = id;
      const auto answer = co_await order(mEntryProcess, body);
      EXPECT_EQ(answer.status, 400) << id;
    }
    EXPECT_EQ(countRuns(mFirstDispatcher, mSecondDispatcher), 0);
  });
}

TEST_F(Orders, UnknownCallerIsRefused)
{
  run([&]() -> net::Awaitable<void> {
    net::HttpCall call;
    call.endpoint = mEntryProcess.http();
    call.request = { "POST",
                     "/v1/orders",
                     { { "Authorization", "Bearer nobody" } },
                     orderBody(newId(mEntryProcess), "one").dump() };
    const auto result = co_await mHttpClient.call(std::move(call));
    EXPECT_EQ(result.response.status, 401);
    EXPECT_EQ(Json::parse(result.response.body)["error"], "unknown_caller");
  });
}

} // namespace lentilrack::entry
