#include "gateway_fixture.h"

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using core::RouteKind;

/// Tests with backend servers that state how many requests per second they take
/// from all instances together.
class ServerRateTest : public GatewayTest
{
protected:
  static constexpr double kStatedRate = 2;

  /// Returns a handler that answers with a stream of one event and states the
  /// rate.
  static FakeServer::Handler stateRate(double rate)
  {
    return [rate](net::HttpExchange& exchange) -> net::Awaitable<void> {
      auto headers = FakeServer::streamHeaders(exchange.request(), 1);
      headers.emplace_back("Server-Limit", std::to_string(rate));
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
};

} // namespace

// Guards against forwarding requests to a server at a higher rate than it
// states.
TEST_F(ServerRateTest, ForwardedRequestsKeepToTheStatedRate)
{
  auto node = makeNode("a");
  FakeServer server(mIo, "s1");
  server.onRequest(stateRate(kStatedRate));
  node->addServer(server, "desk");
  const auto start = Clock::now();
  run([&]() -> net::Awaitable<void> {
    for (int i = 0; i < 30; ++i) {
      auto sent = request("r" + std::to_string(i));
      sent.headers.emplace_back("X-Deadline-Ms", "100");
      TestExchange exchange(std::move(sent));
      const auto route = plainRoute(RouteKind::Repeatable, 2);
      co_await node->forwarder.forward(exchange, route);
    }
  });
  EXPECT_LE(static_cast<double>(server.requests().size()),
            allowedSince(start, kStatedRate));
}

// Guards against starting items of a batch on a server at a higher rate than it
// states.
TEST_F(ServerRateTest, BatchItemsKeepToTheStatedRate)
{
  auto node = makeNode("a");
  FakeServer server(mIo, "s1");
  server.onRequest(stateRate(kStatedRate));
  node->addServer(server, "engine", 2);
  const auto start = Clock::now();
  run([&]() -> net::Awaitable<void> {
    node->replicator.start();
    node->cluster.start();
    node->batches.start();
    co_await until(
      [&] { return node->cluster.isSynced() && node->cluster.isRegistered(); });
    TestExchange exchange(submission("b1", 40));
    const auto* route =
      node->context.desired->findRoute(kHost, exchange.request().target);
    co_await node->batches.submit(exchange, *route);
    co_await net::sleepFor(Millis(500));
  });
  EXPECT_LE(static_cast<double>(server.requests().size()),
            allowedSince(start, kStatedRate));
}

} // namespace lentilrack::gateway
