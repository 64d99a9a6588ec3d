#include "gateway_fixture.h"

#include <algorithm>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using core::RouteKind;

/// A node that answers the calls of its peers about request rates.
struct RateNode
{
  RateNode(net::asio::io_context& io, std::unique_ptr<TestNode> testNode)
    : node(std::move(testNode))
    , server(io, net::HttpLimits{}, [this](net::HttpExchange& exchange) {
      return handle(exchange);
    })
  {
    node->context.settings.peerAddress =
      server.listen({ "127.0.0.1", 0 }).value();
  }

  const std::string& name() const { return node->context.settings.instance; }

  std::unique_ptr<TestNode> node;
  net::HttpServer server;
  /// True if calls of peers get no answer.
  bool isCutOff = false;
  int questions = 0;

private:
  net::Awaitable<void> handle(net::HttpExchange& exchange)
  {
    const auto path = exchange.request().path();
    const std::string_view allocatorPath = peer_paths::kAllocator;
    net::HttpResponse response;
    if (isCutOff) {
      exchange.abort();
      co_return;
    }
    if (path == peer_paths::kPermit) {
      ++questions;
      response = co_await node->permits.answerQuestion(exchange.request());
    } else if (path == peer_paths::kRate) {
      node->permits.applyPeerRate(exchange.request().body);
    } else if (path.starts_with(allocatorPath)) {
      response = node->permits.nameAllocator(path.substr(allocatorPath.size()));
    } else if (path == peer_paths::kState) {
      response = co_await node->replicator.serveFollower(exchange.request());
    } else {
      response.status = 404;
    }
    co_await exchange.respond(std::move(response));
  }
};

/// Tests with backend servers that state how many requests per second they take
/// from all instances together.
class ServerRateTest : public GatewayTest
{
protected:
  static constexpr double kStatedRate = 2;

  /// Returns a handler that answers with a stream of one event and states the
  /// rate, or none if it is 0.
  static FakeServer::Handler stateRate(double rate)
  {
    return [rate](net::HttpExchange& exchange) -> net::Awaitable<void> {
      auto headers = FakeServer::streamHeaders(exchange.request(), 1);
      if (rate > 0) {
        headers.emplace_back("Server-Limit", std::to_string(rate));
      }
      co_await exchange.beginStream(
        200, "text/event-stream", std::move(headers));
      auto text = FakeServer::remainingEvents(exchange.request(), 1);
      co_await exchange.write(std::move(text));
      co_await exchange.endStream();
    };
  }

  /// Returns how many requests a server that states a rate may get in the time
  /// since `start`: half more than the rate, and 5.
  static double allowedSince(Clock::time_point start, double rate)
  {
    constexpr double kTolerance = 1.5;
    constexpr double kAllowance = 5;
    const std::chrono::duration<double> elapsed = Clock::now() - start;
    return kTolerance * rate * elapsed.count() + kAllowance;
  }

  /// Forwards a request that callers allow 100 ms, and returns its status.
  static net::Awaitable<int> forwardOnce(TestNode& node, std::string id)
  {
    auto sent = request(id);
    sent.headers.emplace_back("X-Deadline-Ms", "100");
    TestExchange exchange(std::move(sent));
    const auto route = plainRoute(RouteKind::Repeatable, 2);
    co_await node.forwarder.forward(exchange, route);
    co_return exchange.response.status;
  }

  static net::Awaitable<void> join(TestNode& node)
  {
    node.replicator.start();
    node.cluster.start();
    node.batches.start();
    node.rates.start();
    co_await until(
      [&] { return node.cluster.isSynced() && node.cluster.isRegistered(); });
  }

  /// Starts `count` instances that know of each other.
  net::Awaitable<void> startCluster(std::size_t count)
  {
    for (std::size_t i = 0; i < count; ++i) {
      const auto name = "instance-" + std::to_string(i);
      mNodes.push_back(std::make_unique<RateNode>(mIo, makeNode(name)));
    }
    for (auto& member : mNodes) {
      co_await join(*member->node);
    }
    co_await until([&] {
      return std::ranges::all_of(mNodes, [&](const auto& member) {
        return member->node->cluster.presentPeers().size() == count;
      });
    });
  }

  /// Returns the allocator of the server's rate, as the first instance sees it.
  RateNode& allocatorOf(const std::string& server)
  {
    const auto name = mNodes.front()->node->cluster.rateAllocatorOf(server);
    return **std::ranges::find_if(
      mNodes, [&](const auto& member) { return member->name() == name; });
  }

  /// Makes all instances send requests until `count` were served.
  net::Awaitable<void> untilServed(int count)
  {
    for (int served = 0, sent = 0; served < count;) {
      for (auto& member : mNodes) {
        ++sent;
        const auto status =
          co_await forwardOnce(*member->node, "r" + std::to_string(sent));
        served += status == 200 ? 1 : 0;
      }
      co_await net::sleepFor(Millis(1));
    }
  }

  std::vector<std::unique_ptr<RateNode>> mNodes;
};

} // namespace

// Guards against forwarding requests to a server at a higher rate than it
// states.
TEST_F(ServerRateTest, ForwardedRequestsKeepToTheStatedRate)
{
  FakeServer server(mIo, "s1");
  server.onRequest(stateRate(kStatedRate));
  run([&]() -> net::Awaitable<void> {
    co_await startCluster(1);
    auto& node = *mNodes.front()->node;
    node.addServer(server, "desk");
    const auto start = Clock::now();
    for (int i = 0; i < 30; ++i) {
      co_await forwardOnce(node, "r" + std::to_string(i));
    }
    EXPECT_LE(static_cast<double>(server.requests().size()),
              allowedSince(start, kStatedRate));
  });
}

// Guards against starting items of a batch on a server at a higher rate than it
// states.
TEST_F(ServerRateTest, BatchItemsKeepToTheStatedRate)
{
  FakeServer server(mIo, "s1");
  server.onRequest(stateRate(kStatedRate));
  run([&]() -> net::Awaitable<void> {
    co_await startCluster(1);
    auto& node = *mNodes.front()->node;
    node.addServer(server, "engine", 2);
    const auto start = Clock::now();
    TestExchange exchange(submission("b1", 40));
    const auto* route =
      node.context.desired->findRoute(kHost, exchange.request().target);
    co_await node.batches.submit(exchange, *route);
    co_await net::sleepFor(Millis(500));
    EXPECT_LE(static_cast<double>(server.requests().size()),
              allowedSince(start, kStatedRate));
  });
}

// Guards against instances that each keep to the rate alone, and against
// permits that no instance can use.
TEST_F(ServerRateTest, AllInstancesTogetherKeepToTheStatedRateAndUseIt)
{
  FakeServer server(mIo, "s1");
  server.onRequest(stateRate(kStatedRate));
  run([&]() -> net::Awaitable<void> {
    co_await startCluster(3);
    for (auto& member : mNodes) {
      member->node->addServer(server, "desk");
    }
    const auto start = Clock::now();
    co_await untilServed(8);
    // Each instance learns the rate by its first request.
    EXPECT_LE(static_cast<double>(server.requests().size()),
              allowedSince(start, kStatedRate) +
                static_cast<double>(mNodes.size()));
  });
}

// Guards against instances that learn a rate only by requests of their own: in
// a large fleet these alone would exceed the rate.
TEST_F(ServerRateTest, InstancesLearnTheRateFromTheStore)
{
  FakeServer server(mIo, "s1");
  server.onRequest(stateRate(kStatedRate));
  run([&]() -> net::Awaitable<void> {
    co_await startCluster(3);
    for (auto& member : mNodes) {
      member->node->addServer(server, "desk");
    }
    co_await forwardOnce(*mNodes.front()->node, "r1");
    const auto isKnownToAll = [&](bool isStated) {
      return std::ranges::all_of(mNodes, [&](const auto& member) {
        const auto* known = member->node->context.registry.find("s1", 1);
        return known->statedRate.has_value() == isStated;
      });
    };
    co_await until([&] { return isKnownToAll(true); });
    // The end of the limit spreads the same way.
    server.onRequest(stateRate(0));
    co_await untilServed(1);
    co_await until([&] {
      return isKnownToAll(false) && !mTable->entries.contains(keys::rate("s1"));
    });
  });
}

// Guards against an allocator that has lost the store and goes on granting
// permits beside its successor.
TEST_F(ServerRateTest, AllocatorWithoutRegistrationGrantsNoPermits)
{
  FakeServer server(mIo, "s1");
  server.onRequest(stateRate(kStatedRate));
  run([&]() -> net::Awaitable<void> {
    co_await startCluster(3);
    for (auto& member : mNodes) {
      member->node->addServer(server, "desk");
    }
    co_await untilServed(static_cast<int>(mNodes.size()));
    auto& former = allocatorOf("s1");
    former.node->store.isUnreachable = true;
    co_await until([&] { return !former.node->cluster.isMembershipCurrent(); });
    mTable->expireLeases(Clock::now());
    co_await until([&] {
      return std::ranges::all_of(mNodes, [&](const auto& member) {
        return &*member == &former ||
               member->node->cluster.rateAllocatorOf("s1") != former.name();
      });
    });
    const auto before = server.requests().size();
    for (int i = 0; i < 20; ++i) {
      const auto status =
        co_await forwardOnce(*former.node, "late" + std::to_string(i));
      EXPECT_EQ(status, 503);
    }
    EXPECT_EQ(server.requests().size(), before);
  });
}

// Guards against a rate that nobody may use while the store is away for all
// instances.
TEST_F(ServerRateTest, PermitsAreGrantedWithoutTheStore)
{
  FakeServer server(mIo, "s1");
  server.onRequest(stateRate(kStatedRate));
  run([&]() -> net::Awaitable<void> {
    co_await startCluster(3);
    for (auto& member : mNodes) {
      member->node->addServer(server, "desk");
    }
    co_await untilServed(static_cast<int>(mNodes.size()));
    for (auto& member : mNodes) {
      member->node->store.isUnreachable = true;
    }
    co_await until([&] {
      return std::ranges::none_of(mNodes, [](const auto& member) {
        return member->node->cluster.isMembershipCurrent();
      });
    });
    const auto start = Clock::now();
    const auto before = server.requests().size();
    co_await untilServed(5);
    EXPECT_LE(static_cast<double>(server.requests().size() - before),
              allowedSince(start, kStatedRate));
  });
}

// Guards against work for a server that limits its load while others are free,
// also by hedges.
TEST_F(ServerRateTest, OtherServersAreUsedFirst)
{
  FakeServer limited(mIo, "s1");
  FakeServer free(mIo, "s2");
  limited.onRequest(stateRate(kStatedRate));
  free.onRequest(stateRate(0));
  run([&]() -> net::Awaitable<void> {
    co_await startCluster(1);
    auto& node = *mNodes.front()->node;
    node.addServer(limited, "desk");
    node.addServer(free, "desk");
    for (int i = 0; i < 30; ++i) {
      const auto status = co_await forwardOnce(node, "r" + std::to_string(i));
      EXPECT_EQ(status, 200);
    }
    EXPECT_LE(limited.requests().size(), 1U);
  });
}

// Guards against a request that waits for its deadline, or is reported as
// possibly executed, when no server takes it.
TEST_F(ServerRateTest, RequestWithoutAPermitIsRejectedAsNotExecuted)
{
  FakeServer server(mIo, "s1");
  // The next permit is due after 10 s.
  server.onRequest(stateRate(0.1));
  run([&]() -> net::Awaitable<void> {
    co_await startCluster(1);
    auto& node = *mNodes.front()->node;
    node.addServer(server, "desk");
    int status = 200;
    net::HttpResponse response;
    while (status == 200) {
      TestExchange exchange(request("r1"));
      const auto route = plainRoute(RouteKind::Single, 1);
      co_await node.forwarder.forward(exchange, route);
      response = exchange.response;
      status = response.status;
    }
    EXPECT_EQ(status, 503);
    EXPECT_GT(std::stod(net::headerValue(response.headers, "Retry-After")), 1);
  });
}

// Guards against a malformed message of a peer that ends the process.
TEST_F(ServerRateTest, MalformedMessagesOfPeersAreIgnored)
{
  FakeServer server(mIo, "s1");
  run([&]() -> net::Awaitable<void> {
    co_await startCluster(1);
    auto& node = *mNodes.front()->node;
    node.addServer(server, "desk");
    for (const std::string body : { "",
                                    "[]",
                                    "{\"server\":1}",
                                    "{\"server\":\"s1\",\"per_s\":\"x\"}" }) {
      node.permits.applyPeerRate(body);
      net::HttpRequest question;
      question.body = body;
      const auto response = co_await node.permits.answerQuestion(question);
      EXPECT_EQ(response.status, 400);
    }
    EXPECT_FALSE(node.context.registry.find("s1", 1)->statedRate.has_value());
  });
}

} // namespace lentilrack::gateway
