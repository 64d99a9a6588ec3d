#include "gateway_fixture.h"
#include "support/repeating_server.h"

namespace lentilrack::gateway {

namespace {

/// Tests with a server that names the request of each response (r1, r2, ...)
/// and sends a second copy of it.
class ServerClientTest : public GatewayTest
{
protected:
  ServerClientTest()
  {
    mEntry.id = "s1";
    mEntry.service = "engine";
    mEntry.endpoint = mServer.endpoint();
    mEntry.startedAt = 1;
    mNode->context.registry.apply({ mEntry }, core::Clock::now());
  }

  /// Sends a request with this identifier, or without one if it is empty.
  net::Awaitable<net::HttpResult> call(std::string id,
                                       ServerRequestKind kind,
                                       bool useNewConnection = false)
  {
    net::HttpCall call;
    call.useNewConnection = useNewConnection;
    call.endpoint = mEntry.endpoint;
    if (!id.empty()) {
      call.request.headers = { { "X-Request-Id", std::move(id) } };
    }
    co_return co_await mNode->context.servers.call(
      mEntry, std::move(call), kind);
  }

  testing::RepeatingServer mServer{
    mIo,
    [](int request) {
      const auto headers = "X-Request-Id: r" + std::to_string(request) + "\r\n";
      return testing::RepeatingServer::Response{ headers, "{}" };
    }
  };
  core::ServerEntry mEntry;
  std::unique_ptr<TestNode> mNode = makeNode("a");
};

} // namespace

// Guards against taking a late second copy of another request's response for
// the response to an order of weights: the leader would believe that weights
// were loaded that were not.
TEST_F(ServerClientTest, LateCopyIsNotTakenForTheResponseToAnOrder)
{
  run([&]() -> net::Awaitable<void> {
    const auto answered = co_await call("r1", ServerRequestKind::Forward);
    EXPECT_EQ(answered.response.status, 200);
    const auto order = co_await call("", ServerRequestKind::WeightOrder);
    EXPECT_EQ(mServer.requests(), 2);
    EXPECT_TRUE(order.error);
    EXPECT_TRUE(order.sent);
  });
}

// Guards against a late second copy that is delivered to the next caller.
TEST_F(ServerClientTest, LateCopyIsNotTakenForTheResponseToTheNextRequest)
{
  run([&]() -> net::Awaitable<void> {
    const auto first = co_await call("r1", ServerRequestKind::Forward);
    EXPECT_FALSE(first.error);
    const auto second = co_await call("r2", ServerRequestKind::Forward);
    EXPECT_TRUE(second.error);
  });
}

// Guards against taking the late second copy of a response for the response to
// a repetition of the same request, which has the same id.
TEST_F(ServerClientTest, RepeatedRequestUsesAnotherConnection)
{
  run([&]() -> net::Awaitable<void> {
    const auto first = co_await call("r1", ServerRequestKind::Item);
    EXPECT_FALSE(first.error);
    const auto repeated = co_await call("r1", ServerRequestKind::Item);
    EXPECT_FALSE(repeated.reusedConnection);
    const auto report = co_await call("", ServerRequestKind::Report);
    EXPECT_TRUE(report.reusedConnection);
    const auto order = co_await call("", ServerRequestKind::WeightOrder);
    EXPECT_FALSE(order.reusedConnection);
  });
}

// Guards against taking the late copy of a response without an id, such as that
// to an order, for the response to a request with one.
TEST_F(ServerClientTest, CopyWithoutAnIdIsNotTakenForAResponse)
{
  testing::RepeatingServer server(mIo, [](int) {
    return testing::RepeatingServer::Response{ "", "{}", 500 };
  });
  mEntry.endpoint = server.endpoint();
  run([&]() -> net::Awaitable<void> {
    const auto order = co_await call("", ServerRequestKind::WeightOrder);
    EXPECT_FALSE(order.error);
    const auto item = co_await call("r1", ServerRequestKind::Item);
    EXPECT_TRUE(item.reusedConnection);
    EXPECT_TRUE(item.error);
  });
}

// Guards against a request that must not be repeated on a connection that the
// server may have closed, and against closing its connection although later
// requests could reuse it. A repetition with the same id must not reuse it.
TEST_F(ServerClientTest, ConnectionOfAnUnrepeatableRequestServesLaterRequests)
{
  FakeServer server(mIo, "s1");
  mEntry.endpoint = server.endpoint();
  run([&]() -> net::Awaitable<void> {
    const auto kind = ServerRequestKind::Forward;
    const auto first = co_await call("r1", kind, true);
    EXPECT_FALSE(first.error);
    EXPECT_FALSE(first.reusedConnection);
    const auto repeatable = co_await call("r2", kind);
    EXPECT_FALSE(repeatable.error);
    EXPECT_TRUE(repeatable.reusedConnection);
    const auto repeated = co_await call("r1", kind);
    EXPECT_FALSE(repeated.reusedConnection);
    const auto unrepeatable = co_await call("r3", kind, true);
    EXPECT_FALSE(unrepeatable.reusedConnection);
  });
}

} // namespace lentilrack::gateway
