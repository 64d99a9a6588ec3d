#include "gateway_fixture.h"

#include <nlohmann/json.hpp>

namespace lentilrack::gateway {

namespace {

using core::Millis;

class BatchServiceTest : public GatewayTest
{
protected:
  static net::Awaitable<void> join(TestNode& node)
  {
    node.replicator.start();
    node.cluster.start();
    node.batches.start();
    co_await until(
      [&] { return node.cluster.isSynced() && node.cluster.isRegistered(); });
  }

  static net::Awaitable<int> submit(TestNode& node, net::HttpRequest request)
  {
    TestExchange exchange(std::move(request));
    const auto desired = node.context.desired;
    const auto* route = desired->findRoute(kHost, exchange.request().target);
    co_await node.batches.submit(exchange, *route);
    co_return exchange.response.status;
  }

  static net::Awaitable<nlohmann::json> readAll(TestNode& node,
                                                std::string id,
                                                std::size_t after)
  {
    ReadBatch call;
    call.id = std::move(id);
    call.after = after;
    call.wait = Millis(50);
    TestExchange exchange{ net::HttpRequest() };
    co_await node.batches.reader().read(exchange, std::move(call));
    auto json = nlohmann::json::parse(exchange.response.body, nullptr, false);
    json["status"] = exchange.response.status;
    co_return json;
  }

  static net::Awaitable<void> untilResultCount(TestNode& node,
                                               std::string id,
                                               std::size_t total)
  {
    for (std::size_t listed = 0; listed < total;) {
      const auto page = co_await readAll(node, id, 0);
      listed = page.value("next_token", std::size_t{ 0 });
      co_await net::sleepFor(Millis(5));
    }
  }
};

} // namespace

// Guards against responding with 202 before the batch is in the store. The
// batch would be lost if this process died.
TEST_F(BatchServiceTest, AcceptedBatchIsStoredBeforeTheResponse)
{
  auto node = makeNode("a");
  run([&]() -> net::Awaitable<void> {
    co_await join(*node);
    const auto status = co_await submit(*node, submission("b1", 4));
    EXPECT_EQ(status, 202);
    EXPECT_TRUE(mTable->entries.contains(keys::batch("b1")));
    EXPECT_TRUE(mTable->entries.contains(keys::bodyPart("b1", 0)));
  });
}

// Guards against rejecting a batch that may be stored: here the store has
// committed the write, but its response was lost.
TEST_F(BatchServiceTest, LostStoreResponseDoesNotRejectTheBatch)
{
  auto node = makeNode("a");
  FakeServer server(mIo, "s1");
  node->addServer(server, "engine");
  run([&]() -> net::Awaitable<void> {
    co_await join(*node);
    node->store.unansweredCommits = 1;
    const auto status = co_await submit(*node, submission("b1", 4));
    EXPECT_EQ(status, 202);
    co_await untilResultCount(*node, "b1", 4);
  });
}

// Guards against storing a batch that is rejected. The batch would run although
// its trainer was told that it does not.
TEST_F(BatchServiceTest, RejectedBatchIsNotStored)
{
  auto node = makeNode("a");
  run([&]() -> net::Awaitable<void> {
    co_await join(*node);
    node->store.isUnreachable = true;
    const auto status = co_await submit(*node, submission("b1", 4));
    EXPECT_EQ(status, 503);
    EXPECT_FALSE(mTable->entries.contains(keys::batch("b1")));
  });
}

// Guards against running a batch twice if it is submitted at two processes.
TEST_F(BatchServiceTest, RepeatedSubmissionRunsOnce)
{
  auto first = makeNode("a");
  auto second = makeNode("b");
  FakeServer server(mIo, "s1");
  first->addServer(server, "engine");
  second->addServer(server, "engine");
  run([&]() -> net::Awaitable<void> {
    co_await join(*first);
    co_await join(*second);
    EXPECT_EQ(co_await submit(*first, submission("b1", 4)), 202);
    EXPECT_EQ(co_await submit(*second, submission("b1", 4)), 202);
    co_await untilResultCount(*second, "b1", 4);
    EXPECT_EQ(server.requests().size(), 4U);
  });
}

// Guards against results that are lost or get another position when a batch is
// taken over from an owner that has failed.
TEST_F(BatchServiceTest, NewOwnerContinuesAtTheSamePositions)
{
  auto first = makeNode("a");
  auto second = makeNode("b");
  FakeServer server(mIo, "s1");
  first->addServer(server, "engine", 1);
  second->addServer(server, "engine", 1);
  run([&]() -> net::Awaitable<void> {
    co_await join(*first);
    co_await submit(*first, submission("b1", 6));
    auto before = nlohmann::json::object();
    while (before.value("next_token", 0) < 2) {
      before = co_await readAll(*first, "b1", 0);
    }
    // Cut the first process off from the store and revoke its lease, as if the
    // process hung. It can no longer write.
    first->store.isUnreachable = true;
    mTable->revokeAll();
    co_await join(*second);
    co_await untilResultCount(*second, "b1", 6);
    const auto after = co_await readAll(*second, "b1", 0);
    for (std::size_t i = 0; i < before["results"].size(); ++i) {
      EXPECT_EQ(before["results"][i], after["results"][i]);
    }
    std::set<std::string> ids;
    for (const auto& result : after["results"]) {
      ids.insert(result["id"].get<std::string>());
    }
    EXPECT_EQ(ids.size(), 6U);
  });
}

// Guards against a former owner of a batch that resumes after a pause and
// overwrites results of the new owner.
TEST_F(BatchServiceTest, FormerOwnerWritesNothing)
{
  auto first = makeNode("a");
  auto second = makeNode("b");
  FakeServer slow(mIo, "s1");
  FakeServer quick(mIo, "s2");
  bool isReleased = false;
  slow.onRequest([&](net::HttpExchange& exchange) -> net::Awaitable<void> {
    co_await until([&] { return isReleased; });
    auto headers = FakeServer::streamHeaders(exchange.request(), 1);
    co_await exchange.beginStream(200, "text/event-stream", headers);
    co_await exchange.write("id: 1\ndata: other text\n\n");
    co_await exchange.endStream();
  });
  first->addServer(slow, "engine");
  second->addServer(quick, "engine");
  run([&]() -> net::Awaitable<void> {
    co_await join(*first);
    co_await submit(*first, submission("b1", 2));
    co_await until([&] { return slow.requests().size() == 2; });
    first->store.isUnreachable = true;
    mTable->revokeAll();
    co_await join(*second);
    co_await untilResultCount(*second, "b1", 2);
    const auto before = mTable->entries;
    isReleased = true;
    first->store.isUnreachable = false;
    co_await until([&] { return first->batches.openRunCount() == 0; });
    for (const auto& [key, entry] : before) {
      if (key.starts_with(keys::resultsPrefix("b1"))) {
        EXPECT_EQ(entry.value, mTable->entries[key].value);
      }
    }
    const auto page = co_await readAll(*second, "b1", 0);
    EXPECT_EQ(page["total"], 2);
    EXPECT_EQ(page["results"].size(), 2U);
  });
}

// Guards against running items after a trainer has ended their batch. Here the
// batch is ended during its takeover, when it has no run yet that could be
// stopped.
TEST_F(BatchServiceTest, EndDuringTakeoverStopsTheRun)
{
  auto first = makeNode("a");
  auto second = makeNode("b");
  FakeServer server(mIo, "s1");
  run([&]() -> net::Awaitable<void> {
    co_await join(*first);
    co_await submit(*first, submission("b1", 4));
    first->store.isUnreachable = true;
    first->context.isLeaving = true;
    second->addServer(server, "engine");
    bool isEnded = false;
    second->store.beforeList = [&](const std::string& prefix) {
      if (prefix == keys::dataPrefix("b1") && !isEnded) {
        isEnded = true;
        const auto& entry = mTable->entries[keys::batch("b1")];
        auto record = *BatchRecord::decode({ "", entry.value, entry.revision });
        record.state = BatchState::Ended;
        mTable->put(keys::batch("b1"), record.encode());
        second->cluster.recordItem(
          { keys::batch("b1"), record.encode(), mTable->revision });
        second->batches.onClusterChange();
      }
    };
    mTable->revokeAll();
    co_await join(*second);
    co_await until([&] { return isEnded; });
    co_await net::sleepFor(Millis(200));
    EXPECT_EQ(second->batches.openRunCount(), 0U);
    EXPECT_TRUE(server.requests().empty());
  });
}

// Guards against responding that a batch does not exist although the store
// could not be read.
TEST_F(BatchServiceTest, BatchIsReportedAbsentOnlyAfterReadingTheStore)
{
  auto node = makeNode("a");
  run([&]() -> net::Awaitable<void> {
    co_await join(*node);
    const auto absent = co_await readAll(*node, "nothing", 0);
    EXPECT_EQ(absent["status"], 404);
    node->store.isUnreachable = true;
    const auto unsure = co_await readAll(*node, "nothing", 0);
    EXPECT_EQ(unsure["status"], 503);
  });
}

// Guards against mixing up the outputs of two runs of an item: the second run
// must be asked to continue after the last complete event of the first.
TEST_F(BatchServiceTest, InterruptedRunResumesAfterTheLastCompleteEvent)
{
  auto node = makeNode("a");
  FakeServer broken(mIo, "s1");
  FakeServer healthy(mIo, "s2");
  broken.onRequest([&](net::HttpExchange& exchange) -> net::Awaitable<void> {
    auto headers = FakeServer::streamHeaders(exchange.request(), 1);
    co_await exchange.beginStream(200, "text/event-stream", headers);
    co_await exchange.write("id: 1\ndata: piece 1\n\nid: 2\ndata: pie");
    exchange.abort();
  });
  node->addServer(broken, "engine", 1);
  run([&]() -> net::Awaitable<void> {
    co_await join(*node);
    co_await submit(*node, submission("b1", 1));
    co_await until([&] { return !broken.requests().empty(); });
    node->addServer(healthy, "engine", 1);
    co_await untilResultCount(*node, "b1", 1);
    const auto page = co_await readAll(*node, "b1", 0);
    EXPECT_EQ(page["results"][0]["output"], "piece 1\npiece 2\npiece 3");
    EXPECT_EQ(healthy.requests().at(0).header("Last-Event-Id"), "1");
  });
}

// Guards against accepting samples that were generated with older weights than
// the trainer allows.
TEST_F(BatchServiceTest, ResponseFromOldWeightsIsRejected)
{
  auto node = makeNode("a");
  FakeServer old(mIo, "s1");
  FakeServer current(mIo, "s2");
  old.version = 0;
  node->addServer(old, "engine", 1);
  run([&]() -> net::Awaitable<void> {
    co_await join(*node);
    co_await submit(*node, submission("b1", 1));
    co_await until([&] { return !old.requests().empty(); });
    node->addServer(current, "engine", 1);
    co_await untilResultCount(*node, "b1", 1);
    const auto page = co_await readAll(*node, "b1", 0);
    EXPECT_EQ(page["results"][0]["versions"], nlohmann::json({ 1 }));
    EXPECT_EQ(page["results"][0]["state"], "completed");
  });
}

// Guards against retrying an item for ever, and against giving it up before its
// attempts are used up.
TEST_F(BatchServiceTest, ItemIsDeadAfterAllAttempts)
{
  auto node = makeNode("a");
  FakeServer failing(mIo, "s1");
  failing.onRequest([&](net::HttpExchange& exchange) -> net::Awaitable<void> {
    auto answer = FakeServer::makeResponse(exchange.request(), 500);
    co_await exchange.respond(std::move(answer));
  });
  node->addServer(failing, "engine", 1);
  run([&]() -> net::Awaitable<void> {
    co_await join(*node);
    co_await submit(*node, submission("b1", 1));
    co_await untilResultCount(*node, "b1", 1);
    const auto page = co_await readAll(*node, "b1", 0);
    EXPECT_EQ(page["results"][0]["state"], "dead");
    EXPECT_EQ(failing.requests().size(), 2U);
  });
}

// Guards against cancelling a slow reward call as if it were a run without
// events. The call would be cancelled each time, and the item would never
// finish.
TEST_F(BatchServiceTest, SlowRewardCallIsNotASilentRun)
{
  auto node = makeNode("a");
  FakeServer engine(mIo, "s1");
  FakeServer scorer(mIo, "s2");
  scorer.onRequest([&](net::HttpExchange& exchange) -> net::Awaitable<void> {
    co_await net::sleepFor(Millis(1'700));
    auto answer = FakeServer::makeResponse(exchange.request());
    co_await exchange.respond(std::move(answer));
  });
  node->addServer(engine, "engine");
  node->addServer(scorer, "desk");
  run([&]() -> net::Awaitable<void> {
    co_await join(*node);
    auto request = submission("b1", 1);
    request.body = R"({"model":"model","min_version":1,"items":[{"id":"i",)"
                   R"("path":"/batch/x","scorer":{"id":"r",)"
                   R"("host":"host.example","path":"/plain/r"}}]})";
    co_await submit(*node, std::move(request));
    co_await untilResultCount(*node, "b1", 1);
    const auto page = co_await readAll(*node, "b1", 0);
    EXPECT_EQ(page["results"][0]["score"], "stamp");
    EXPECT_EQ(scorer.requests().size(), 1U);
  });
}

// Guards against storing a submission that cannot be decoded or has no items.
TEST_F(BatchServiceTest, MalformedSubmissionsAreRejectedWithoutEffect)
{
  auto node = makeNode("a");
  run([&]() -> net::Awaitable<void> {
    co_await join(*node);
    const std::vector<std::string> bodies{
      "",
      "{",
      "[]",
      R"({"items":{}})",
      R"({"items":[]})",
      R"({"items":[{"id":1,"path":"/x"}]})",
      R"({"items":[{"id":"x"}]})",
      R"({"items":[{"id":"x","path":"/x","body":"***"}]})"
    };
    for (const auto& body : bodies) {
      auto request = submission("b1", 1);
      request.body = body;
      const auto status = co_await submit(*node, std::move(request));
      EXPECT_EQ(status, 400) << body;
    }
    EXPECT_FALSE(mTable->entries.contains(keys::batch("b1")));
  });
}

// Guards against treating a server as slow because it pauses while it loads
// weights during a run. Its runs would be moved to other servers.
TEST_F(BatchServiceTest, WeightLoadDoesNotCountAsSlowness)
{
  constexpr Millis kLoad{ 300 };
  auto node = makeNode("a");
  FakeServer server(mIo, "s1");
  node->addServer(server, "engine");
  server.onRequest([&](net::HttpExchange& exchange) -> net::Awaitable<void> {
    auto headers = FakeServer::streamHeaders(exchange.request(), 1);
    co_await exchange.beginStream(200, "text/event-stream", std::move(headers));
    co_await exchange.write("id: 1\ndata: a\n\n");
    co_await net::sleepFor(kLoad);
    co_await exchange.write(node->format.headers().weightVersionField +
                            ": 2\nid: 2\ndata: b\n\n"
                            "id: 3\ndata: c\n\nid: 4\ndata: d\n\n");
    co_await exchange.endStream();
  });
  run([&]() -> net::Awaitable<void> {
    co_await join(*node);
    co_await submit(*node, submission("b1", 1));
    co_await untilResultCount(*node, "b1", 1);
  });
  const auto servers = node->context.registry.all();
  ASSERT_EQ(servers.size(), 1U);
  EXPECT_EQ(servers.front()->entry.versions.at("model"), 2);
  // A new observation has a weight of a fifth in the measured time per event.
  // If the pause were observed, the measured time would be at least a fifth of
  // the pause.
  EXPECT_LT(servers.front()->millisPerUnit,
            static_cast<double>(kLoad.count()) / 10);
}

// Guards against a long item that waits for the load of weights of its server
// although another server is free: each change of version cost such an item the
// time of a load, and these items decide when a step is complete.
TEST_F(BatchServiceTest, LongItemLeavesALoadingServer)
{
  auto node = makeNode("a");
  FakeServer loading(mIo, "s1");
  FakeServer other(mIo, "s2");
  bool isReleased = false;
  loading.onRequest([&](net::HttpExchange& exchange) -> net::Awaitable<void> {
    auto headers = FakeServer::streamHeaders(exchange.request(), 1);
    co_await exchange.beginStream(200, "text/event-stream", headers);
    if (exchange.request().header("X-Request-Id") == "b1-0") {
      co_await exchange.write("id: 1\ndata: piece 1\n\n");
      co_await exchange.endStream();
      co_return;
    }
    co_await exchange.write("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n");
    while (!isReleased && !exchange.isClientDisconnected()) {
      co_await net::sleepFor(Millis(5));
    }
  });
  node->addServer(loading, "engine", 2);
  run([&]() -> net::Awaitable<void> {
    co_await join(*node);
    co_await submit(*node, submission("b1", 2));
    co_await untilResultCount(*node, "b1", 1);
    node->addServer(other, "engine", 2);
    node->context.registry.markLoading(
      "s1", 1, core::Clock::now() + Millis(60'000));
    co_await until([&] { return !other.requests().empty(); });
    EXPECT_EQ(other.requests().at(0).header("Last-Event-Id"), "2");
    co_await untilResultCount(*node, "b1", 2);
    isReleased = true;
    const auto page = co_await readAll(*node, "b1", 0);
    EXPECT_EQ(page["results"][1]["output"], "piece 1\npiece 2\npiece 3");
  });
}

// Guards against a stalled server that keeps its item for as long as it sends a
// byte now and then.
TEST_F(BatchServiceTest, BytesWithoutEventsDoNotKeepARunAlive)
{
  auto node = makeNode("a");
  FakeServer stalled(mIo, "s1");
  FakeServer healthy(mIo, "s2");
  bool isClosed = false;
  stalled.onRequest([&](net::HttpExchange& exchange) -> net::Awaitable<void> {
    auto headers = FakeServer::streamHeaders(exchange.request(), 1);
    co_await exchange.beginStream(200, "text/event-stream", headers);
    co_await exchange.write("id: 1\ndata: piece 1\n\nid: 2\ndata: ");
    while (!exchange.isClientDisconnected()) {
      co_await exchange.write("x");
      co_await net::sleepFor(Millis(20));
    }
    isClosed = true;
  });
  node->addServer(stalled, "engine", 1);
  run([&]() -> net::Awaitable<void> {
    co_await join(*node);
    co_await submit(*node, submission("b1", 1));
    co_await until([&] { return !stalled.requests().empty(); });
    node->addServer(healthy, "engine", 1);
    co_await untilResultCount(*node, "b1", 1);
    const auto page = co_await readAll(*node, "b1", 0);
    EXPECT_EQ(page["results"][0]["output"], "piece 1\npiece 2\npiece 3");
    EXPECT_EQ(healthy.requests().at(0).header("Last-Event-Id"), "1");
    co_await until([&] { return isClosed; });
  });
}

// Guards against reading bytes without end from a server in trouble: the memory
// of the process would be used up.
TEST_F(BatchServiceTest, EventWithoutEndEndsTheRun)
{
  auto node = makeNode("a");
  FakeServer endless(mIo, "s1");
  FakeServer healthy(mIo, "s2");
  std::size_t sent = 0;
  bool isClosed = false;
  endless.onRequest([&](net::HttpExchange& exchange) -> net::Awaitable<void> {
    auto headers = FakeServer::streamHeaders(exchange.request(), 1);
    co_await exchange.beginStream(200, "text/event-stream", headers);
    const std::string piece(64UL * 1024, 'x');
    while (!exchange.isClientDisconnected()) {
      co_await exchange.write(piece);
      sent += piece.size();
    }
    isClosed = true;
  });
  node->addServer(endless, "engine", 1);
  run([&]() -> net::Awaitable<void> {
    co_await join(*node);
    co_await submit(*node, submission("b1", 1));
    co_await until([&] { return !endless.requests().empty(); });
    node->addServer(healthy, "engine", 1);
    co_await untilResultCount(*node, "b1", 1);
    co_await until([&] { return isClosed; });
  });
  // The buffers of the sockets may hold some megabytes more.
  EXPECT_LT(sent, 32UL * 1024 * 1024);
}

// Guards against dropping finished results when a process leaves: they may have
// been collected for up to a second, and their items would run again.
TEST_F(BatchServiceTest, HandOverWritesTheResultsThatAreNotWrittenYet)
{
  FakeServer server(mIo, "s1");
  server.onRequest([](net::HttpExchange& exchange) -> net::Awaitable<void> {
    const auto& request = exchange.request();
    co_await exchange.beginStream(
      200, "text/event-stream", FakeServer::streamHeaders(request, 1));
    const bool isFirst = request.header("X-Request-Id") == "b1-0";
    if (isFirst) {
      co_await exchange.write(FakeServer::remainingEvents(request, 3));
      co_await exchange.endStream();
    }
    while (!isFirst && !exchange.isClientDisconnected()) {
      co_await net::sleepFor(Millis(5));
    }
  });
  auto node = makeNode("a");
  node->addServer(server, "engine", 4);
  run([&]() -> net::Awaitable<void> {
    co_await join(*node);
    co_await submit(*node, submission("b1", 4));
    co_await until([&] {
      return node->context.metrics.counter("items_completed_total") > 0;
    });
    node->context.isLeaving = true;
    co_await node->batches.handOverAll();
    co_await until(
      [&] { return !mTable->entries.contains(keys::owner("b1")); });
    EXPECT_TRUE(mTable->entries.contains(keys::results("b1", 0)));
  });
}

} // namespace lentilrack::gateway
