#include "gateway_fixture.h"

#include <fmt/format.h>

namespace lentilrack::gateway {

namespace {

using core::Millis;

/// Two processes: `mFront`, to which trainers submit, and `mHome`, which runs
/// the batches of the model and serves calls of its peers.
class BatchHomeTest : public GatewayTest
{
protected:
  void SetUp() override
  {
    mServer = std::make_unique<net::HttpServer>(
      mIo, net::HttpLimits(), [this](net::HttpExchange& exchange) {
        return servePeer(exchange);
      });
    const auto endpoint = mServer->listen({ "127.0.0.1", 0 }).value();
    // Only a process with an address for peers can be chosen to run batches.
    mHome->context.settings.peerAddress = endpoint;
  }

  net::Awaitable<void> servePeer(net::HttpExchange& exchange)
  {
    const auto path = exchange.request().path();
    const std::string_view prefix = peer_paths::kSubmit;
    if (!path.starts_with(prefix)) {
      net::HttpResponse response;
      response.status = 404;
      co_await exchange.respond(std::move(response));
      co_return;
    }
    auto response = co_await mHome->batches.acceptForPeer(
      path.substr(prefix.size()), exchange.request());
    if (mLosesResponses) {
      exchange.abort();
      co_return;
    }
    co_await exchange.respond(std::move(response));
  }

  net::Awaitable<void> joinBoth()
  {
    for (auto* node : { mFront.get(), mHome.get() }) {
      node->replicator.start();
      node->cluster.start();
      node->batches.start();
      co_await until([&] {
        return node->cluster.isSynced() && node->cluster.isRegistered();
      });
    }
    co_await until(
      [&] { return mFront->cluster.homeOf("model") == std::optional("home"); });
  }

  net::Awaitable<int> submitAtFront(std::string id)
  {
    TestExchange exchange(submission(id, 4));
    const auto desired = mFront->context.desired;
    const auto* route = desired->findRoute(kHost, exchange.request().target);
    co_await mFront->batches.submit(exchange, *route);
    co_return exchange.response.status;
  }

  std::string ownerOf(const std::string& id) const
  {
    const auto entry = mTable->entries.find(keys::owner(id));
    const auto holder =
      entry == mTable->entries.end()
        ? std::nullopt
        : Holder::decode({ entry->first, entry->second.value, 1 });
    return holder ? holder->instance : "";
  }

  std::unique_ptr<TestNode> mFront = makeNode("front");
  std::unique_ptr<TestNode> mHome = makeNode("home");
  std::unique_ptr<net::HttpServer> mServer;
  bool mLosesResponses = false;
};

} // namespace

// Guards against batches of one model that run wherever they were submitted, so
// that every process opens connections to all servers of the model.
TEST_F(BatchHomeTest, SubmittedBatchRunsAtTheHomeOfItsModel)
{
  run([&]() -> net::Awaitable<void> {
    co_await joinBoth();
    EXPECT_EQ(co_await submitAtFront("b1"), 202);
    EXPECT_EQ(ownerOf("b1"), "home");
    EXPECT_EQ(mFront->batches.openRunCount(), 0U);
    EXPECT_EQ(mHome->batches.openRunCount(), 1U);
  });
}

// Guards against batches that nobody accepts while the process that should run
// them is gone but still registered.
TEST_F(BatchHomeTest, BatchIsAcceptedLocallyIfTheHomeIsGone)
{
  run([&]() -> net::Awaitable<void> {
    co_await joinBoth();
    mServer.reset();
    EXPECT_EQ(co_await submitAtFront("b1"), 202);
    EXPECT_EQ(ownerOf("b1"), "front");
    EXPECT_EQ(mFront->batches.openRunCount(), 1U);
  });
}

// Guards against a batch that runs twice, or is reported as not accepted, when
// the home has accepted it but its response is lost.
TEST_F(BatchHomeTest, LostResponseOfTheHomeLeadsToOneRun)
{
  mLosesResponses = true;
  run([&]() -> net::Awaitable<void> {
    co_await joinBoth();
    EXPECT_EQ(co_await submitAtFront("b1"), 202);
    co_await net::sleepFor(Millis(300));
    EXPECT_EQ(ownerOf("b1"), "home");
    EXPECT_EQ(mFront->batches.openRunCount(), 0U);
    EXPECT_EQ(mHome->batches.openRunCount(), 1U);
  });
}

// Guards against a batch that is refused but runs later: the home has stored
// it, but cannot say so, and the store refuses the calls of this process.
TEST_F(BatchHomeTest, BatchThatTheHomeMayHaveStoredIsNotRefused)
{
  run([&]() -> net::Awaitable<void> {
    co_await joinBoth();
    mLosesResponses = true;
    mFront->store.isUnreachable = true;
    EXPECT_EQ(co_await submitAtFront("b1"), 504);
    EXPECT_EQ(ownerOf("b1"), "home");
  });
}

// Guards against the same if the outcome is unknown to the home itself: the
// store has executed its write, but the response was lost.
TEST_F(BatchHomeTest, BatchOfUnknownOutcomeAtTheHomeIsNotRefused)
{
  run([&]() -> net::Awaitable<void> {
    co_await joinBoth();
    mHome->store.beforeCommit = [&](const StoreTransaction& transaction) {
      if (transaction.writes.at(0).key == keys::batch("b1")) {
        mHome->store.unansweredCommits = 1;
        mFront->store.isUnreachable = true;
      }
      mHome->store.isUnreachable = mTable->entries.contains(keys::batch("b1"));
    };
    EXPECT_EQ(co_await submitAtFront("b1"), 504);
    EXPECT_TRUE(mTable->entries.contains(keys::batch("b1")));
  });
}

// Guards against a refusal for lack of memory of a batch that the home may have
// stored.
TEST_F(BatchHomeTest, LackOfMemoryDoesNotRefuseWhatTheHomeMayHaveStored)
{
  mLosesResponses = true;
  run([&]() -> net::Awaitable<void> {
    co_await joinBoth();
    EXPECT_EQ(co_await submitAtFront("b0"), 202);
    // Runs of this process use some memory, and it may use none.
    mHome->context.isLeaving = true;
    EXPECT_EQ(co_await submitAtFront("b1"), 202);
    EXPECT_EQ(mFront->batches.openRunCount(), 1U);
    mHome->context.isLeaving = false;
    mFront->context.settings.memoryLimitBytes = 0;
    EXPECT_EQ(co_await submitAtFront("b2"), 202);
    EXPECT_EQ(ownerOf("b2"), "home");
  });
}

// Guards against new batches at a process that is leaving.
TEST_F(BatchHomeTest, LeavingHomeAcceptsNoBatch)
{
  run([&]() -> net::Awaitable<void> {
    co_await joinBoth();
    mHome->context.isLeaving = true;
    EXPECT_EQ(co_await submitAtFront("b1"), 202);
    EXPECT_EQ(ownerOf("b1"), "front");
  });
}

} // namespace lentilrack::gateway
