#include "gateway_fixture.h"

namespace lentilrack::gateway {

namespace {

using core::Millis;

class StateReplicatorTest : public GatewayTest
{
protected:
  static net::Awaitable<net::HttpResponse> requestState(TestNode& node,
                                                        std::string incarnation,
                                                        int position)
  {
    net::HttpRequest request;
    request.target = fmt::format(
      "/peer/state?lifetime={}&operator={}&servers={}&cluster={}&wait=0",
      incarnation,
      position,
      position,
      position);
    co_return co_await node.replicator.serveFollower(std::move(request));
  }

  static net::Awaitable<void> untilReplicated(TestNode& node)
  {
    node.replicator.start();
    co_await until([&] {
      const auto& mirrors = node.context.mirrors;
      return mirrors.operatorKeys.isComplete() &&
             mirrors.servers.isComplete() && mirrors.cluster.isComplete();
    });
  }
};

} // namespace

// Guards against equal incarnations of two processes. A process would take
// another process, or an earlier process of its own instance, for itself.
TEST_F(StateReplicatorTest, EveryProcessHasItsOwnIncarnation)
{
  std::set<std::string> incarnations;
  for (int i = 0; i < 4; ++i) {
    incarnations.insert(makeNode("a")->context.incarnation);
  }
  EXPECT_EQ(incarnations.size(), 4U);
}

// Guards against a follower that misses changes after its reader was restarted,
// because the follower sends a sequence number of the earlier incarnation of
// the reader.
TEST_F(StateReplicatorTest, SequenceOfEarlierIncarnationGetsFullState)
{
  auto node = makeNode("a");
  mTable->put("op/config", R"({"version":3,"routes":[],"services":[]})");
  run([&]() -> net::Awaitable<void> {
    co_await untilReplicated(*node);
    const auto fresh = co_await requestState(*node, "another life", 1);
    EXPECT_EQ(fresh.status, 200);
    EXPECT_NE(fresh.body.find("op/config"), std::string::npos);
    const auto known =
      static_cast<int>(node->context.mirrors.operatorKeys.sequence());
    const auto same =
      co_await requestState(*node, node->context.incarnation, known);
    EXPECT_EQ(same.body.find("op/config"), std::string::npos);
  });
}

// Guards against a reader that serves its mirrors to followers although the
// store has not confirmed them recently.
TEST_F(StateReplicatorTest, StaleMirrorsAreNotServed)
{
  auto node = makeNode("a");
  run([&]() -> net::Awaitable<void> {
    co_await untilReplicated(*node);
    auto answer = co_await requestState(*node, "", 0);
    EXPECT_EQ(answer.status, 200);
    node->store.isUnreachable = true;
    while (answer.status == 200) {
      co_await net::sleepFor(Millis(50));
      answer = co_await requestState(*node, "", 0);
    }
    EXPECT_EQ(answer.status, 503);
    node->store.isUnreachable = false;
    while (answer.status != 200) {
      co_await net::sleepFor(Millis(50));
      answer = co_await requestState(*node, "", 0);
    }
  });
}

// Guards against missing a change if the store compacts its history while the
// watch delivers no changes.
TEST_F(StateReplicatorTest, CompactedHistoryLeadsToNewListing)
{
  auto node = makeNode("a");
  run([&]() -> net::Awaitable<void> {
    co_await untilReplicated(*node);
    node->store.isWatchSilent = true;
    mTable->put("op/config", R"({"version":8,"routes":[],"services":[]})");
    co_await net::sleepFor(Millis(700));
    mTable->compactHistory();
    node->store.isWatchSilent = false;
    co_await until([&] {
      return node->context.desired && node->context.desired->version() == 8;
    });
  });
}

// Guards against treating the failure of a reader as an outage of the store.
// The registry would keep removed servers for a while.
TEST_F(StateReplicatorTest, FailedReaderIsNotAStoreOutage)
{
  for (const auto* name : { "b", "c", "d" }) {
    mTable->put(keys::instance(name), R"({"peers":"127.0.0.1:1"})");
  }
  mTable->put("servers/s1",
              R"({"service":"engine","address":"127.0.0.1:2","zone":"north",)"
              R"("slots":4,"state":"ready","born":1})");
  auto node = makeNode("a");
  core::ReplicationTree tree("a");
  tree.setMembers({ { "a", "" }, { "b", "" }, { "c", "" }, { "d", "" } });
  ASSERT_FALSE(tree.isReader());
  mTable->put(keys::instance("a"), R"({"peers":"127.0.0.1:1"})");
  run([&]() -> net::Awaitable<void> {
    co_await untilReplicated(*node);
    EXPECT_FALSE(node->context.registry.empty());
    // Long enough to request the state from both readers.
    co_await net::sleepFor(Millis(400));
    mTable->remove("servers/s1");
    co_await until(
      [&] { return node->context.mirrors.servers.items().empty(); });
    EXPECT_TRUE(node->context.registry.empty());
  });
}

// Guards against state that is never renewed although the store can be reached:
// the store turns away the processes that supply this one, and these answer
// that their state is too old. On a day of the large site a third of 250
// processes were turned away, and others handled requests by a state that was
// over 4 s old.
TEST_F(StateReplicatorTest, ProcessWithOldStateReadsTheStoreItself)
{
  net::HttpServer outdated(
    mIo, {}, [](net::HttpExchange& exchange) -> net::Awaitable<void> {
      net::HttpResponse response;
      response.status = 503;
      co_await exchange.respond(std::move(response));
    });
  const auto endpoint = outdated.listen({ "127.0.0.1", 0 }).value();
  std::vector<core::ReplicationTree::Member> members{ { "a", "" } };
  for (int i = 0; i < 250; ++i) {
    const auto name = fmt::format("peer-{}", i);
    members.push_back({ name, "" });
    mTable->put(keys::instance(name),
                fmt::format(R"({{"peers":"{}"}})", endpoint.text()));
  }
  mTable->put(keys::instance("a"), R"({"peers":"127.0.0.1:1"})");
  core::ReplicationTree tree("a");
  tree.setMembers(std::move(members));
  ASSERT_FALSE(tree.isReader());
  auto node = makeNode("a");
  run([&]() -> net::Awaitable<void> {
    co_await untilReplicated(*node);
    mTable->put("op/config", R"({"version":9,"routes":[],"services":[]})");
    co_await until([&] {
      return node->context.desired && node->context.desired->version() == 9;
    });
  });
}

// Guards against replacing the desired state by an older version or by a
// malformed one.
TEST_F(StateReplicatorTest, OlderDesiredStateIsIgnored)
{
  auto node = makeNode("a");
  node->context.mirrors.operatorKeys.put(
    { "op/config", R"({"version":5,"routes":[],"services":[]})", 10 });
  EXPECT_EQ(node->context.desired->version(), 5);
  node->context.mirrors.operatorKeys.put(
    { "op/config", R"({"version":4,"routes":[],"services":[]})", 11 });
  EXPECT_EQ(node->context.desired->version(), 5);
  node->context.mirrors.operatorKeys.put({ "op/config", "{", 12 });
  EXPECT_EQ(node->context.desired->version(), 5);
}

} // namespace lentilrack::gateway
