#include "gateway_fixture.h"

namespace lentilrack::gateway {

namespace {

using core::Millis;
using core::RouteKind;

class ForwarderTest : public GatewayTest
{
protected:
  /// Forwards a resumable stream whose first server answers as the handler
  /// does, and expects that another server completes it.
  void expectStreamToContinueElsewhere(FakeServer::Handler handler)
  {
    auto node = makeNode("a");
    FakeServer broken(mIo, "s1");
    FakeServer healthy(mIo, "s2");
    broken.onRequest(std::move(handler));
    node->addServer(broken, "desk", 8);
    node->addServer(healthy, "desk", 1);
    TestExchange exchange(request("r1"));
    auto route = plainRoute(RouteKind::Stream, 2);
    route.resumable = true;
    run([&]() { return node->forwarder.stream(exchange, route); });
    EXPECT_TRUE(exchange.isAnswered);
    EXPECT_EQ(exchange.response.body,
              FakeServer::remainingEvents(net::HttpRequest(), 3));
  }
};

} // namespace

// Guards against repeating a request that may be executed only once, and
// against reporting it as not executed, when its response was lost.
TEST_F(ForwarderTest, PossiblyExecutedRequestIsNotRepeated)
{
  auto node = makeNode("a");
  FakeServer first(mIo, "s1");
  FakeServer second(mIo, "s2");
  first.onRequest(dropConnection());
  second.onRequest(dropConnection());
  node->addServer(first, "desk");
  node->addServer(second, "desk");
  TestExchange exchange(request("r1"));
  const auto route = plainRoute(RouteKind::Single, 2);
  run([&]() { return node->forwarder.forward(exchange, route); });
  EXPECT_EQ(first.requests().size() + second.requests().size(), 1U);
  EXPECT_EQ(exchange.response.status, 502);
}

// Guards against reporting a request as not executed while a server is still
// executing it at the deadline.
TEST_F(ForwarderTest, RunningRequestIsNotReportedAsNotExecuted)
{
  auto node = makeNode("a");
  FakeServer hanging(mIo, "s1");
  bool isReleased = false;
  hanging.onRequest([&](net::HttpExchange&) -> net::Awaitable<void> {
    co_await until([&] { return isReleased; });
  });
  node->addServer(hanging, "desk");
  auto sent = request("r1");
  sent.headers.emplace_back("X-Deadline-Ms", "100");
  TestExchange exchange(std::move(sent));
  const auto route = plainRoute(RouteKind::Single, 2);
  run([&]() -> net::Awaitable<void> {
    co_await node->forwarder.forward(exchange, route);
    isReleased = true;
  });
  EXPECT_EQ(hanging.requests().size(), 1U);
  EXPECT_EQ(exchange.response.status, 504);
}

// Guards against returning a failure to the caller although another server
// could respond.
TEST_F(ForwarderTest, RepeatableRequestIsRetriedElsewhere)
{
  auto node = makeNode("a");
  FakeServer broken(mIo, "s1");
  FakeServer healthy(mIo, "s2");
  broken.onRequest(dropConnection());
  healthy.onRequest(respondWith(200));
  node->addServer(broken, "desk");
  node->addServer(healthy, "desk", 1);
  TestExchange exchange(request("r1"));
  const auto route = plainRoute(RouteKind::Repeatable, 2);
  run([&]() { return node->forwarder.forward(exchange, route); });
  EXPECT_EQ(exchange.response.status, 200);
  EXPECT_EQ(exchange.response.body, "done");
}

// Guards against making more attempts than the route allows.
TEST_F(ForwarderTest, AttemptsAreBounded)
{
  auto node = makeNode("a");
  std::vector<std::unique_ptr<FakeServer>> servers;
  for (const auto* id : { "s1", "s2", "s3", "s4" }) {
    servers.push_back(std::make_unique<FakeServer>(mIo, id));
    servers.back()->onRequest(respondWith(500));
    node->addServer(*servers.back(), "desk");
  }
  TestExchange exchange(request("r1"));
  const auto route = plainRoute(RouteKind::Repeatable, 2);
  run([&]() { return node->forwarder.forward(exchange, route); });
  std::size_t runs = 0;
  for (const auto& server : servers) {
    runs += server->requests().size();
  }
  EXPECT_EQ(runs, 2U);
  // The failure reported by the server is returned to the caller.
  EXPECT_EQ(exchange.response.status, 500);
  EXPECT_EQ(net::headerValue(exchange.response.headers, "X-Server-Stamp"),
            "stamp");
}

// Guards against letting a caller wait for a hanging server although another
// server is free.
TEST_F(ForwarderTest, HungRequestIsHedged)
{
  auto node = makeNode("a");
  FakeServer hanging(mIo, "s1");
  FakeServer healthy(mIo, "s2");
  bool isReleased = false;
  hanging.onRequest([&](net::HttpExchange&) -> net::Awaitable<void> {
    co_await until([&] { return isReleased; });
  });
  healthy.onRequest(respondWith(200));
  node->addServer(hanging, "desk", 8);
  node->addServer(healthy, "desk", 1);
  TestExchange exchange(request("r1"));
  const auto route = plainRoute(RouteKind::Repeatable, 2);
  run([&]() -> net::Awaitable<void> {
    co_await node->forwarder.forward(exchange, route);
    isReleased = true;
  });
  EXPECT_EQ(exchange.response.status, 200);
}

// Guards against retrying until the deadline when every server refuses the
// request. The caller must learn that the request was not executed.
TEST_F(ForwarderTest, RefusalsAreReportedAsNotExecuted)
{
  auto node = makeNode("a");
  FakeServer full(mIo, "s1");
  full.onRequest(respondWith(503, { { "X-Not-Executed", "1" } }));
  node->addServer(full, "desk");
  TestExchange exchange(request("r1"));
  const auto route = plainRoute(RouteKind::Single, 2);
  run([&]() { return node->forwarder.forward(exchange, route); });
  EXPECT_EQ(exchange.response.status, 503);
  EXPECT_FALSE(
    net::headerValue(exchange.response.headers, "Retry-After").empty());
}

// Guards against forwarding the response to another request, or a successful
// response without a stamp.
TEST_F(ForwarderTest, UntrustedResponsesAreNotForwarded)
{
  auto node = makeNode("a");
  FakeServer mismatched(mIo, "s1");
  mismatched.onRequest([](net::HttpExchange& exchange) -> net::Awaitable<void> {
    auto answer = FakeServer::makeResponse(exchange.request());
    answer.headers = { { "X-Request-Id", "another" },
                       { "X-Server-Stamp", "stamp" } };
    co_await exchange.respond(std::move(answer));
  });
  FakeServer unstamped(mIo, "s2");
  unstamped.onRequest([](net::HttpExchange& exchange) -> net::Awaitable<void> {
    net::HttpResponse answer;
    answer.body = "who knows";
    co_await exchange.respond(std::move(answer));
  });
  node->addServer(mismatched, "desk");
  node->addServer(unstamped, "desk");
  TestExchange exchange(request("r1"));
  const auto route = plainRoute(RouteKind::Repeatable, 2);
  run([&]() { return node->forwarder.forward(exchange, route); });
  EXPECT_EQ(exchange.response.status, 502);
}

// Guards against executing a request whose caller has disconnected.
TEST_F(ForwarderTest, CallerDisconnectCancelsTheRequest)
{
  auto node = makeNode("a");
  FakeServer server(mIo, "s1");
  bool hasServerSeenClose = false;
  server.onRequest([&](net::HttpExchange& exchange) -> net::Awaitable<void> {
    co_await until([&] { return exchange.isClientDisconnected(); });
    hasServerSeenClose = true;
  });
  node->addServer(server, "desk");
  TestExchange exchange(request("r1"));
  const auto route = plainRoute(RouteKind::Repeatable, 1);
  run([&]() -> net::Awaitable<void> {
    net::spawn(mIo, node->forwarder.forward(exchange, route));
    co_await until([&] { return !server.requests().empty(); });
    exchange.closeClient();
    co_await until([&] { return hasServerSeenClose; });
  });
  EXPECT_TRUE(exchange.isAborted);
}

// Guards against forwarding hop-by-hop headers, or the value that the caller
// has sent for a header that this system sets itself.
TEST_F(ForwarderTest, OnlyEndToEndHeadersAreForwarded)
{
  auto node = makeNode("a");
  FakeServer server(mIo, "s1");
  server.onRequest(respondWith(200));
  node->addServer(server, "desk");
  auto sent = request("r1");
  sent.headers.emplace_back("Connection", "X-Hop");
  sent.headers.emplace_back("X-Hop", "1");
  sent.headers.emplace_back("X-Expect-Instance", "other");
  sent.headers.emplace_back("X-Deadline-Ms", "900");
  sent.headers.emplace_back("X-Twice", "1");
  sent.headers.emplace_back("X-Twice", "2");
  TestExchange exchange(std::move(sent));
  const auto route = plainRoute(RouteKind::Repeatable, 1);
  run([&]() { return node->forwarder.forward(exchange, route); });
  ASSERT_EQ(server.requests().size(), 1U);
  const auto& got = server.requests()[0];
  EXPECT_EQ(got.header("X-Hop"), "");
  EXPECT_EQ(got.header("X-Expect-Instance"), "s1");
  EXPECT_EQ(got.header("Host"), kHost);
  EXPECT_LE(std::stoi(got.header("X-Deadline-Ms")), 900);
  EXPECT_EQ(std::ranges::count(
              got.headers, "X-Twice", [](const auto& h) { return h.first; }),
            2);
}

// Guards against mixing up the events of two runs in one stream, and against
// ending a stream that could continue at another server.
TEST_F(ForwarderTest, ResumableStreamContinuesAtAnotherServer)
{
  expectStreamToContinueElsewhere(
    [](net::HttpExchange& exchange) -> net::Awaitable<void> {
      auto headers = FakeServer::streamHeaders(exchange.request(), 1);
      co_await exchange.beginStream(200, "text/event-stream", headers);
      co_await exchange.write("id: 1\ndata: piece 1\n\nid: 2\nda");
      exchange.abort();
    });
}

// Guards against a stalled server that keeps a caller's stream for as long as
// it sends a byte now and then.
TEST_F(ForwarderTest, StreamLeavesAServerThatSendsBytesWithoutEvents)
{
  expectStreamToContinueElsewhere(
    [](net::HttpExchange& exchange) -> net::Awaitable<void> {
      auto headers = FakeServer::streamHeaders(exchange.request(), 1);
      co_await exchange.beginStream(200, "text/event-stream", headers);
      bool isOpen =
        co_await exchange.write("id: 1\ndata: piece 1\n\nid: 2\ndata: ");
      while (isOpen && !exchange.isClientDisconnected()) {
        co_await net::sleepFor(core::Millis(50));
        isOpen = co_await exchange.write("x");
      }
    });
}

// Guards against a response whose bytes never end and fill the memory.
TEST_F(ForwarderTest, StreamLeavesAServerWhoseEventNeverEnds)
{
  std::size_t written = 0;
  expectStreamToContinueElsewhere(
    [&](net::HttpExchange& exchange) -> net::Awaitable<void> {
      constexpr std::size_t kPiece = 64UL * 1024;
      auto headers = FakeServer::streamHeaders(exchange.request(), 1);
      co_await exchange.beginStream(200, "text/event-stream", headers);
      bool isOpen =
        co_await exchange.write("id: 1\ndata: piece 1\n\nid: 2\nda");
      while (isOpen && !exchange.isClientDisconnected()) {
        isOpen = co_await exchange.write(std::string(kPiece, 'x'));
        written += kPiece;
      }
    });
  constexpr std::size_t kMostBytes = 64UL * 1024 * 1024;
  EXPECT_LT(written, kMostBytes);
}

// Guards against a second execution, and against a false promise that there was
// none, when the first event of a stream that may not be repeated is spoiled.
TEST_F(ForwarderTest, StreamWithASpoiledFirstEventIsNotRepeated)
{
  auto node = makeNode("a");
  FakeServer first(mIo, "s1");
  FakeServer second(mIo, "s2");
  for (auto* server : { &first, &second }) {
    server->onRequest([](net::HttpExchange& exchange) -> net::Awaitable<void> {
      auto headers = FakeServer::streamHeaders(exchange.request(), 1);
      co_await exchange.beginStream(200, "text/event-stream", headers);
      co_await exchange.write("\x01garbled\n\n");
      co_await exchange.endStream();
    });
    node->addServer(*server, "desk");
  }
  for (const int attempts : { 1, 2 }) {
    TestExchange exchange(request("r" + std::to_string(attempts)));
    const auto route = plainRoute(RouteKind::Stream, attempts);
    run([&]() { return node->forwarder.stream(exchange, route); });
    EXPECT_EQ(exchange.response.status, 502);
  }
  EXPECT_EQ(first.requests().size() + second.requests().size(), 2U);
}

// Guards against the text of a failure, or a proper end, in the middle of a
// stream: it was interrupted, and the next server answers with an error.
TEST_F(ForwarderTest, FailureOfTheNextServerDoesNotEndAStartedStream)
{
  for (const int status : { 200, 404, 500, 503 }) {
    auto node = makeNode("a");
    FakeServer broken(mIo, "s1");
    FakeServer failing(mIo, "s2");
    broken.onRequest([](net::HttpExchange& exchange) -> net::Awaitable<void> {
      auto headers = FakeServer::streamHeaders(exchange.request(), 1);
      co_await exchange.beginStream(200, "text/event-stream", headers);
      co_await exchange.write("id: 1\ndata: piece 1\n\n");
      exchange.abort();
    });
    failing.onRequest(respondWith(status));
    node->addServer(broken, "desk", 8);
    node->addServer(failing, "desk", 1);
    TestExchange exchange(request("r1"));
    auto route = plainRoute(RouteKind::Stream, 2);
    route.resumable = true;
    run([&]() { return node->forwarder.stream(exchange, route); });
    EXPECT_EQ(failing.requests().size(), 1U);
    EXPECT_EQ(exchange.response.body, "id: 1\ndata: piece 1\n\n");
    EXPECT_FALSE(exchange.isAnswered);
    EXPECT_TRUE(exchange.isAborted);
  }
}

// Guards against ending an interrupted stream as if it were complete.
TEST_F(ForwarderTest, NonResumableStreamIsAborted)
{
  auto node = makeNode("a");
  FakeServer broken(mIo, "s1");
  broken.onRequest([](net::HttpExchange& exchange) -> net::Awaitable<void> {
    auto headers = FakeServer::streamHeaders(exchange.request(), 1);
    co_await exchange.beginStream(200, "text/event-stream", headers);
    co_await exchange.write("id: 1\ndata: piece 1\n\n");
    exchange.abort();
  });
  node->addServer(broken, "desk");
  TestExchange exchange(request("r1"));
  const auto route = plainRoute(RouteKind::Stream, 2);
  run([&]() { return node->forwarder.stream(exchange, route); });
  EXPECT_FALSE(exchange.isAnswered);
  EXPECT_TRUE(exchange.isAborted);
  EXPECT_EQ(broken.requests().size(), 1U);
}

// Guards against a negative time of the caller that overflows the clock, so
// that the request is given any time or none.
TEST_F(ForwarderTest, NegativeTimeMeansThatNoneIsLeft)
{
  auto node = makeNode("a");
  FakeServer server(mIo, "s1");
  node->addServer(server, "desk");
  const auto route = plainRoute(RouteKind::Repeatable, 2);
  for (const auto* time : { "0", "-1", "-9223372036854775808" }) {
    auto sent = request("r1");
    sent.headers.emplace_back("X-Deadline-Ms", time);
    TestExchange exchange(std::move(sent));
    EXPECT_EQ(Forwarder::allowedTime(node->context, exchange, route), Millis(0))
      << time;
    run([&]() { return node->forwarder.forward(exchange, route); });
    EXPECT_GE(exchange.response.status, 500) << time;
  }
  EXPECT_TRUE(server.requests().empty());
}

} // namespace lentilrack::gateway
