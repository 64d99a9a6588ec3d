#include "gateway_fixture.h"
#include "support/repeating_server.h"

namespace lentilrack::gateway {

namespace {

using core::Clock;

class ServerClientTest : public GatewayTest
{
protected:
  /// Returns a server that names the request of each response and sends a
  /// second copy of it.
  testing::RepeatingServer repeatingServer()
  {
    return testing::RepeatingServer(mIo, [](int request) {
      const auto headers = "X-Request-Id: r" + std::to_string(request) + "\r\n";
      return std::pair(headers, std::string("{}"));
    });
  }

  static core::ServerEntry entryFor(const core::Endpoint& endpoint)
  {
    core::ServerEntry entry;
    entry.id = "s1";
    entry.service = "engine";
    entry.endpoint = endpoint;
    entry.startedAt = 1;
    return entry;
  }

  static net::HttpCall callTo(const core::Endpoint& endpoint)
  {
    net::HttpCall call;
    call.endpoint = endpoint;
    return call;
  }
};

} // namespace

// Guards against taking a late second copy of another request's response for
// the response to an order of weights: the leader would believe that weights
// were loaded that were not.
TEST_F(ServerClientTest, LateCopyIsNotTakenForTheResponseToAnOrder)
{
  auto node = makeNode("a");
  auto server = repeatingServer();
  const auto entry = entryFor(server.endpoint());
  node->context.registry.apply({ entry }, Clock::now());
  run([&]() -> net::Awaitable<void> {
    auto request = callTo(server.endpoint());
    request.request.headers = { { "X-Request-Id", "r1" } };
    const auto answered = co_await node->context.servers.call(
      entry, std::move(request), ServerRequestKind::Forward);
    EXPECT_EQ(answered.response.status, 200);
    const auto order = co_await node->context.servers.call(
      entry, callTo(server.endpoint()), ServerRequestKind::WeightOrder);
    EXPECT_EQ(server.requests(), 2);
    EXPECT_TRUE(order.error);
    EXPECT_TRUE(order.sent);
  });
}

// Guards against a late second copy that is delivered to the next caller.
TEST_F(ServerClientTest, LateCopyIsNotTakenForTheResponseToTheNextRequest)
{
  auto node = makeNode("a");
  auto server = repeatingServer();
  const auto entry = entryFor(server.endpoint());
  node->context.registry.apply({ entry }, Clock::now());
  run([&]() -> net::Awaitable<void> {
    for (int i = 1; i <= 2; ++i) {
      auto request = callTo(server.endpoint());
      const auto id = "r" + std::to_string(i);
      request.request.headers = { { "X-Request-Id", id } };
      const auto result = co_await node->context.servers.call(
        entry, std::move(request), ServerRequestKind::Forward);
      EXPECT_EQ(static_cast<bool>(result.error), i == 2);
    }
  });
}

} // namespace lentilrack::gateway
