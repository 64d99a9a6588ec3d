#include "gateway/read_limits.h"
#include "gateway_fixture.h"
#include "support/repeating_server.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lentilrack::gateway {

namespace {

using core::Millis;

class BatchFaultsTest : public GatewayTest
{
protected:
  net::Awaitable<void> join()
  {
    mNode->replicator.start();
    mNode->cluster.start();
    mNode->batches.start();
    co_await until([&] {
      return mNode->cluster.isSynced() && mNode->cluster.isRegistered();
    });
  }

  net::Awaitable<void> submit(net::HttpRequest request)
  {
    TestExchange exchange(std::move(request));
    const auto desired = mNode->context.desired;
    const auto* route = desired->findRoute(kHost, exchange.request().target);
    co_await mNode->batches.submit(exchange, *route);
  }

  /// Waits until the batch has results, and returns the first one.
  net::Awaitable<nlohmann::json> firstResult(std::string id)
  {
    for (;;) {
      ReadBatch call;
      call.id = id;
      call.wait = Millis(50);
      TestExchange exchange{ net::HttpRequest() };
      co_await mNode->batches.reader().read(exchange, std::move(call));
      const auto page =
        nlohmann::json::parse(exchange.response.body, nullptr, false);
      if (page.is_object() && !page["results"].empty()) {
        co_return page["results"][0];
      }
    }
  }

  std::unique_ptr<TestNode> mNode = makeNode("a");
};

} // namespace

// Guards against an item that is given up after one failure: the server sends
// the response with status 500 once more, late, when the same item arrives
// again on the connection.
TEST_F(BatchFaultsTest, LateCopyOfAFailureIsNoSecondFailure)
{
  testing::RepeatingServer server(mIo, [](int request) {
    const std::string headers = "X-Request-Id: b1-0\r\n"
                                "X-Server-Stamp: stamp\r\n"
                                "X-Weight-Versions: 1\r\n";
    return request == 1
             ? testing::RepeatingServer::Response{ headers, "failed", 500 }
             : testing::RepeatingServer::Response{ headers,
                                                   "id: 1\ndata: piece 1\n\n" };
  });
  core::ServerEntry entry;
  entry.id = "s1";
  entry.service = "engine";
  entry.endpoint = server.endpoint();
  entry.slots = 1;
  entry.startedAt = 1;
  entry.versions["model"] = 1;
  mNode->context.registry.apply({ entry }, core::Clock::now());
  run([&]() -> net::Awaitable<void> {
    co_await join();
    co_await submit(submission("b1", 1));
    const auto result = co_await firstResult("b1");
    EXPECT_EQ(result.value("state", ""), "completed");
    EXPECT_EQ(result.value("output", ""), "piece 1");
  });
  EXPECT_EQ(server.requests(), 2);
}

// Guards against a server whose proper events never end and fill the memory.
TEST_F(BatchFaultsTest, TextWithoutEndIsGivenUp)
{
  FakeServer endless(mIo, "s1");
  FakeServer healthy(mIo, "s2");
  std::size_t sent = 0;
  endless.onRequest([&](net::HttpExchange& exchange) -> net::Awaitable<void> {
    auto headers = FakeServer::streamHeaders(exchange.request(), 1);
    co_await exchange.beginStream(200, "text/event-stream", headers);
    const std::string data(10'000, 'x');
    bool isOpen = true;
    for (int i = 1; isOpen && !exchange.isClientDisconnected(); ++i) {
      auto event = fmt::format("id: {}\ndata: {}\n\n", i, data);
      isOpen = co_await exchange.write(std::move(event));
      sent += data.size();
    }
  });
  mNode->addServer(endless, "engine", 1);
  run([&]() -> net::Awaitable<void> {
    co_await join();
    co_await submit(submission("b1", 1));
    co_await until([&] { return !endless.requests().empty(); });
    mNode->addServer(healthy, "engine", 1);
    const auto result = co_await firstResult("b1");
    EXPECT_EQ(result.value("output", ""), "piece 1\npiece 2\npiece 3");
  });
  // The buffers of the sockets may hold some megabytes more.
  EXPECT_LT(sent, kMaxItemTextBytes + 16UL * 1024 * 1024);
}

} // namespace lentilrack::gateway
