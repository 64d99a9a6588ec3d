#include "gateway_fixture.h"

#include <fmt/format.h>

namespace lentilrack::gateway {

namespace {

using core::RouteKind;

/// The exchange of a caller that reads nothing at first.
class SlowExchange : public TestExchange
{
public:
  using TestExchange::TestExchange;

  net::Awaitable<bool> write(std::string data) override
  {
    while (!isReading) {
      co_await net::sleepFor(core::Millis(5));
    }
    co_return co_await TestExchange::write(std::move(data));
  }

  bool isReading = false;
};

} // namespace

// Guards against keeping all events of a server that sends faster than the
// caller reads, and against taking the pause for a server that is silent.
TEST_F(GatewayTest, SlowCallerHoldsUpTheServer)
{
  constexpr int kEvents = 8'000;
  // Above what the queue, the parser and one read may hold.
  constexpr std::size_t kMaxHeld = 256UL * 1024;
  const std::string data(1'000, 'x');
  FakeServer server(mIo, "s1");
  std::string sent;
  bool isSent = false;
  server.onRequest([&](net::HttpExchange& exchange) -> net::Awaitable<void> {
    co_await exchange.beginStream(
      200,
      "text/event-stream",
      FakeServer::streamHeaders(exchange.request(), 1));
    for (int i = 1; i <= kEvents; ++i) {
      auto event = fmt::format("id: {}\ndata: {}\n\n", i, data);
      sent += event;
      co_await exchange.write(std::move(event));
    }
    co_await exchange.endStream();
    isSent = true;
  });
  auto node = makeNode("a");
  node->addServer(server, "desk");
  SlowExchange exchange(request("r1"));
  auto route = plainRoute(RouteKind::Stream, 1);
  route.timeout = core::Millis(60'000);
  route.resumable = true;
  const auto readLater = [&]() -> net::Awaitable<void> {
    // Longer than a server may be silent.
    co_await net::sleepFor(core::Millis(1'500));
    EXPECT_FALSE(isSent);
    EXPECT_GT(node->context.readMemory->used(), 0U);
    exchange.isReading = true;
  };
  net::spawn(mIo, readLater());
  run([&]() { return node->forwarder.stream(exchange, route); });
  EXPECT_TRUE(exchange.isAnswered);
  EXPECT_TRUE(exchange.response.body == sent);
  EXPECT_LT(node->context.readMemory->peak(), kMaxHeld);
  EXPECT_EQ(server.requests().size(), 1U);
}

} // namespace lentilrack::gateway
