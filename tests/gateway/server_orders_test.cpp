#include "gateway/server_orders.h"

#include "gateway_fixture.h"

#include <nlohmann/json.hpp>

namespace lentilrack::gateway {

namespace {

using core::Millis;
using Json = nlohmann::json;

/// A provider on loopback, and a process that may hold the duty of ordering
/// servers from it. Overrides make the process order.
class ServerOrdersTest : public GatewayTest
{
protected:
  struct Call
  {
    Json body;
    std::string fencingToken;
  };

  ServerOrdersTest()
    : mProvider(mIo, net::HttpLimits{}, [this](net::HttpExchange& exchange) {
      return answer(exchange);
    })
  {
    mEndpoint = mProvider.listen({ "127.0.0.1", 0 }).value();
  }

  /// Returns a process of a fleet with one server in the failure domain
  /// "north".
  std::unique_ptr<TestNode> makeOrderingNode()
  {
    auto node = makeNode("a");
    core::ServiceSpec service{ "engine", { "model" } };
    service.autoscaling = core::AutoscalingSpec{ .minServers = 0,
                                                 .maxServers = 8,
                                                 .bootTime = Millis(800) };
    node->context.desired =
      std::make_shared<const core::DesiredState>(1,
                                                 std::vector<core::Route>{},
                                                 std::vector{ service },
                                                 core::CallerLimits{});
    ProviderSettings provider;
    provider.endpoint = mEndpoint;
    provider.takesServerOrders = true;
    node->context.settings.provider = provider;
    node->addServer(mServer, "engine");
    return node;
  }

  std::unique_ptr<ServerOrders> makeOrders(TestNode& node)
  {
    ServerOrders::Options options;
    options.planner.bootMargin = Millis(0);
    options.planner.initialBackoff = Millis(60'000);
    options.planInterval = Millis(100);
    return std::make_unique<ServerOrders>(
      node.context,
      node.cluster,
      node.peers,
      ProviderDuty{ [this] { return mIsHeld; },
                    [this] { return mIsHeld; },
                    [this] {
                      return DutyHolder{ "a", mFencingToken };
                    },
                    [this] {
                      return [this, token = mFencingToken] {
                        return mIsHeld && token == mFencingToken;
                      };
                    } },
      options);
  }

  /// Sets the number of ordinary servers of the failure domain "north".
  static void setOverride(TestNode& node, const std::string& value)
  {
    static std::int64_t revision = 0;
    node.context.mirrors.cluster.put(
      { keys::serverOverrides("engine") + "north", value, ++revision });
  }

  net::HttpServer mProvider;
  core::Endpoint mEndpoint;
  FakeServer mServer{ mIo, "s1" };
  std::vector<Call> mCalls;
  /// Status of the next answers; 0 closes the connection without an answer.
  std::vector<int> mStatuses;
  bool mIsHeld = true;
  std::int64_t mFencingToken = 7;

private:
  net::Awaitable<void> answer(net::HttpExchange& exchange)
  {
    mCalls.push_back({ Json::parse(exchange.request().body),
                       exchange.request().header("X-Fencing-Token") });
    const int status = mStatuses.empty() ? 200 : mStatuses.front();
    if (!mStatuses.empty()) {
      mStatuses.erase(mStatuses.begin());
    }
    if (status == 0) {
      exchange.abort();
      co_return;
    }
    net::HttpResponse response;
    response.status = status;
    co_await exchange.respond(std::move(response));
  }
};

} // namespace

// Guards against a holder that does not order, that repeats accepted orders, or
// that releases the servers of the start.
TEST_F(ServerOrdersTest, HolderSendsEachChangeOnce)
{
  auto node = makeOrderingNode();
  auto orders = makeOrders(*node);
  orders->start();
  run([&]() -> net::Awaitable<void> {
    co_await net::sleepFor(Millis(500));
    EXPECT_TRUE(mCalls.empty());
    setOverride(*node, R"({"ordinary":3})");
    co_await until([&] { return !mCalls.empty(); });
    co_await net::sleepFor(Millis(600));
  });
  ASSERT_EQ(mCalls.size(), 1U);
  EXPECT_EQ(mCalls[0].body,
            Json::parse(R"({"service":"engine","zone":"north","desired":3})"));
  EXPECT_EQ(mCalls[0].fencingToken, "7");
}

// Guards against orders of a process that does not hold the duty, or holds it
// no longer.
TEST_F(ServerOrdersTest, OtherProcessesSendNothing)
{
  auto node = makeOrderingNode();
  auto orders = makeOrders(*node);
  mIsHeld = false;
  orders->start();
  setOverride(*node, R"({"ordinary":3})");
  run([&]() -> net::Awaitable<void> {
    co_await net::sleepFor(Millis(600));
    EXPECT_TRUE(mCalls.empty());
    mIsHeld = true;
    co_await until([&] { return !mCalls.empty(); });
    mIsHeld = false;
    setOverride(*node, R"({"ordinary":4})");
    co_await net::sleepFor(Millis(600));
  });
  EXPECT_EQ(mCalls.size(), 1U);
}

// Guards against an order that is lost with its answer, and against another
// order that overtakes it.
TEST_F(ServerOrdersTest, UnansweredOrderIsRepeated)
{
  auto node = makeOrderingNode();
  auto orders = makeOrders(*node);
  mStatuses = { 0, 0, 200 };
  orders->start();
  setOverride(*node, R"({"ordinary":3})");
  run([&]() -> net::Awaitable<void> {
    co_await until([&] { return !mCalls.empty(); });
    setOverride(*node, R"({"ordinary":5})");
    co_await until([&] { return mCalls.size() == 4; });
  });
  EXPECT_EQ(mCalls[1].body, mCalls[0].body);
  EXPECT_EQ(mCalls[2].body, mCalls[0].body);
  EXPECT_EQ(mCalls[3].body.at("desired"), 5);
}

// Guards against orders that are repeated at once although the provider has no
// servers of this kind.
TEST_F(ServerOrdersTest, RefusedOrderIsNotRepeatedAtOnce)
{
  auto node = makeOrderingNode();
  auto orders = makeOrders(*node);
  mStatuses = { 409 };
  orders->start();
  setOverride(*node, R"({"ordinary":3})");
  run([&]() -> net::Awaitable<void> {
    co_await until([&] { return !mCalls.empty(); });
    co_await net::sleepFor(Millis(900));
  });
  EXPECT_EQ(mCalls.size(), 1U);
  EXPECT_EQ(node->context.metrics.counter(
              R"(server_orders_total{outcome="unavailable"})"),
            1);
}

// Guards against an override that cannot be read and releases all servers.
TEST_F(ServerOrdersTest, MalformedOverrideIsIgnored)
{
  auto node = makeOrderingNode();
  auto orders = makeOrders(*node);
  orders->start();
  setOverride(*node, "{}");
  run([&]() -> net::Awaitable<void> {
    co_await net::sleepFor(Millis(1'000));
    setOverride(*node, "3");
    co_await net::sleepFor(Millis(400));
  });
  EXPECT_TRUE(mCalls.empty());
}

// Guards against a dry run that orders.
TEST_F(ServerOrdersTest, DryRunSendsNothing)
{
  auto node = makeOrderingNode();
  node->context.settings.isServerOrderDryRun = true;
  auto orders = makeOrders(*node);
  orders->start();
  setOverride(*node, R"({"ordinary":3})");
  run([&]() -> net::Awaitable<void> { co_await net::sleepFor(Millis(1'200)); });
  EXPECT_TRUE(mCalls.empty());
  EXPECT_NE(node->context.metrics.text().find("servers_planned"),
            std::string::npos);
}

} // namespace lentilrack::gateway
