#include "gateway_fixture.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lentilrack::gateway {

namespace {

using core::Millis;

struct Page
{
  int status = 0;
  std::size_t results = 0;

  /// Returns true if the page says that the batch has no result.
  bool saysNone() const { return status == 200 && results == 0; }
};

/// Two processes with a server each. The first one owns the batches.
class BatchOwnerTest : public GatewayTest
{
protected:
  void SetUp() override
  {
    mFirst->addServer(mHanging, "engine");
    mSecond->addServer(mQuick, "engine");
    mHanging.onRequest([](net::HttpExchange& exchange) -> net::Awaitable<void> {
      co_await until([&] { return exchange.isClientDisconnected(); });
    });
  }

  static net::Awaitable<void> join(TestNode& node)
  {
    node.replicator.start();
    node.cluster.start();
    node.batches.start();
    co_await until(
      [&] { return node.cluster.isSynced() && node.cluster.isRegistered(); });
  }

  static net::Awaitable<void> submit(TestNode& node, int items)
  {
    TestExchange exchange(submission("b1", items));
    const auto desired = node.context.desired;
    const auto* route = desired->findRoute(kHost, exchange.request().target);
    co_await node.batches.submit(exchange, *route);
    EXPECT_EQ(exchange.response.status, 202);
  }

  /// Has the first process accept a batch of two items, which it does not
  /// finish.
  net::Awaitable<void> submitToFirst()
  {
    co_await join(*mFirst);
    co_await submit(*mFirst, 2);
    co_await until([&] { return mHanging.requests().size() == 2; });
  }

  static net::Awaitable<Page> read(TestNode& node)
  {
    ReadBatch call;
    call.id = "b1";
    TestExchange exchange{ net::HttpRequest() };
    co_await node.batches.reader().read(exchange, std::move(call));
    const auto json =
      nlohmann::json::parse(exchange.response.body, nullptr, false);
    const auto results = json.is_object()
                           ? json.value("results", nlohmann::json::array())
                           : nlohmann::json::array();
    co_return Page{ exchange.response.status, results.size() };
  }

  static net::Awaitable<void> untilResultCount(TestNode& node,
                                               std::size_t count)
  {
    for (Page page; page.results < count;) {
      page = co_await read(node);
      co_await net::sleepFor(Millis(5));
    }
  }

  std::int64_t ownerRevision() const
  {
    const auto entry = mTable->entries.find(keys::owner("b1"));
    return entry == mTable->entries.end() ? 0 : entry->second.revision;
  }

  FakeServer mHanging{ mIo, "s1" };
  FakeServer mQuick{ mIo, "s2" };
  std::unique_ptr<TestNode> mFirst = makeNode("a");
  std::unique_ptr<TestNode> mSecond = makeNode("b");
};

} // namespace

// Guards against a former owner that answers from its old list: it was cut off
// or suspended, and another process has finished the batch.
TEST_F(BatchOwnerTest, FormerOwnerHidesNoResult)
{
  run([&]() -> net::Awaitable<void> {
    co_await submitToFirst();
    const auto owned = co_await read(*mFirst);
    EXPECT_TRUE(owned.saysNone());
    mFirst->store.isUnreachable = true;
    co_await until([&] { return !mFirst->cluster.isLeaseValid(Millis(0)); });
    co_await join(*mSecond);
    co_await untilResultCount(*mSecond, 2);
    const auto whileCutOff = co_await read(*mFirst);
    EXPECT_EQ(whileCutOff.status, 503);
    mFirst->store.isUnreachable = false;
    const auto afterwards = co_await read(*mFirst);
    EXPECT_EQ(afterwards.status, 200);
    EXPECT_EQ(afterwards.results, 2U);
  });
}

// Guards against a process that goes on to run the items of a batch that
// another one has finished: it noticed only when it had a result to write.
TEST_F(BatchOwnerTest, FormerOwnerStopsWithoutAResultToWrite)
{
  run([&]() -> net::Awaitable<void> {
    co_await submitToFirst();
    mFirst->store.isUnreachable = true;
    mTable->revokeAll();
    co_await join(*mSecond);
    co_await untilResultCount(*mSecond, 2);
    mFirst->store.isUnreachable = false;
    co_await until([&] { return mFirst->batches.openRunCount() == 0; });
  });
  EXPECT_EQ(mHanging.requests().size(), 2U);
}

// Guards against a batch that nobody owns for as long as its owner, which has
// lost its lease, has no result to write.
TEST_F(BatchOwnerTest, OwnerWithoutLeaseReclaimsTheBatch)
{
  run([&]() -> net::Awaitable<void> {
    co_await submitToFirst();
    const auto before = ownerRevision();
    mTable->revokeAll();
    co_await until([&] { return ownerRevision() > before; });
    co_await until(
      [&] { return mFirst->cluster.isProvenOwner("b1", ownerRevision()); });
    const auto page = co_await read(*mFirst);
    EXPECT_TRUE(page.saysNone());
  });
  EXPECT_EQ(mFirst->batches.openRunCount(), 1U);
}

// Guards against an owner that claims its batch again and does not know of the
// results that another process has written in the meantime.
TEST_F(BatchOwnerTest, ReclaimedBatchHidesNoResult)
{
  mQuick.onRequest([&](net::HttpExchange& exchange) -> net::Awaitable<void> {
    if (exchange.request().header("X-Request-Id") == "b1-0") {
      co_await exchange.beginStream(
        200,
        "text/event-stream",
        FakeServer::streamHeaders(exchange.request(), 1));
      co_await exchange.write("id: 1\ndata: text\n\n");
      co_await exchange.endStream();
    }
    co_await until([&] { return exchange.isClientDisconnected(); });
  });
  run([&]() -> net::Awaitable<void> {
    co_await submitToFirst();
    mFirst->store.isUnreachable = true;
    mTable->revokeAll();
    co_await join(*mSecond);
    co_await untilResultCount(*mSecond, 1);
    mSecond->store.isUnreachable = true;
    mTable->revokeAll();
    co_await until([&] { return !mFirst->cluster.isLeaseValid(Millis(0)); });
    mFirst->store.isUnreachable = false;
    const auto before = ownerRevision();
    while (!mFirst->cluster.isProvenOwner("b1", ownerRevision()) ||
           ownerRevision() == before) {
      const auto page = co_await read(*mFirst);
      EXPECT_FALSE(page.saysNone());
      co_await net::sleepFor(Millis(5));
    }
    const auto page = co_await read(*mFirst);
    EXPECT_EQ(page.results, 1U);
  });
}

// Guards against an owner that says that there is no result while the store has
// one: its write was executed, and the response was lost.
TEST_F(BatchOwnerTest, WriteWithoutResponseHidesNoResult)
{
  run([&]() -> net::Awaitable<void> {
    co_await join(*mSecond);
    co_await submit(*mSecond, 1);
    mSecond->store.beforeCommit = [&](const StoreTransaction& transaction) {
      const bool writesResults =
        std::ranges::any_of(transaction.writes, [](const auto& write) {
          return write.key.starts_with(keys::resultsPrefix("b1"));
        });
      if (writesResults) {
        mSecond->store.unansweredCommits = 1;
      }
    };
    co_await until(
      [&] { return mTable->entries.contains(keys::results("b1", 0)); });
    mSecond->store.isUnreachable = true;
    co_await net::sleepFor(Millis(700));
    const auto page = co_await read(*mSecond);
    EXPECT_FALSE(page.saysNone());
  });
}

// Guards against passing on the page of a peer that does not own the batch any
// more, or that is of an earlier version and does not prove that it owns it.
TEST_F(BatchOwnerTest, PageOfAFormerOwnerIsNotPassedOn)
{
  std::optional<std::string> revision;
  int asked = 0;
  net::HttpServer peer(
    mIo, {}, [&](net::HttpExchange& exchange) -> net::Awaitable<void> {
      const auto path = exchange.request().path();
      // The process also asks its peers for the state of the cluster.
      if (!path.starts_with(peer_paths::kResults)) {
        co_return;
      }
      ++asked;
      net::HttpResponse response;
      response.body = R"({"total":2,"next_token":0,"results":[]})";
      if (revision) {
        response.headers.emplace_back(peer_headers::kOwnerRevision, *revision);
      }
      co_await exchange.respond(std::move(response));
    });
  const auto endpoint = peer.listen({ "127.0.0.1", 0 }).value();
  const std::vector<std::optional<std::string>> unproven{
    std::nullopt, "", "1", "9000000", "-1", "none"
  };
  const Peer described{ "old", "north", {}, endpoint, 1.0, false };
  run([&]() -> net::Awaitable<void> {
    co_await join(*mSecond);
    co_await submit(*mSecond, 2);
    co_await untilResultCount(*mSecond, 2);
    // The home of the model is asked for the results of finished batches.
    mTable->put(keys::instance("old"), described.encode());
    co_await join(*mFirst);
    co_await until(
      [&] { return mFirst->cluster.homeOf("model") == std::optional("old"); });
    for (const auto& value : unproven) {
      revision = value;
      const auto page = co_await read(*mFirst);
      EXPECT_EQ(page.results, 2U) << value.value_or("no header");
    }
    // A page that does not depend on the owner is passed on.
    revision = "0";
    const auto page = co_await read(*mFirst);
    EXPECT_TRUE(page.saysNone());
  });
  EXPECT_EQ(asked, 7);
}

} // namespace lentilrack::gateway
