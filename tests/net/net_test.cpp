#include "net/error.h"
#include "net/http_client.h"
#include "net/http_router.h"
#include "net/link.h"

#include <gtest/gtest.h>

namespace lentilrack::net {

namespace {

using core::Endpoint;
using core::Millis;
using wire::Json;

const Endpoint kLoopback{ "127.0.0.1", 0 };

/// Fixture that runs a coroutine to completion on its io_context.
class NetTest : public ::testing::Test
{
protected:
  template<typename Function>
  void run(Function function)
  {
    bool finished = false;
    asio::co_spawn(mIo, function(), [&](const std::exception_ptr& exception) {
      finished = true;
      mIo.stop();
      if (exception) {
        std::rethrow_exception(exception);
      }
    });
    mIo.run();
    ASSERT_TRUE(finished);
  }

  asio::io_context mIo;
};

Awaitable<void>
echo(HttpExchange& exchange)
{
  HttpResponse response;
  response.contentType = "text/plain";
  response.body =
    exchange.pathParameter("name") + ":" + exchange.request().body;
  co_await exchange.respond(std::move(response));
}

Awaitable<void>
sendTruncatedStream(HttpExchange& exchange)
{
  co_await exchange.beginStream(200, "text/plain");
  co_await exchange.write("first");
}

} // namespace

TEST_F(NetTest, RoutesRequestsAndReusesConnections)
{
  HttpRouter router;
  router.add("POST", "/echo/:name", echo);
  HttpServer server(
    mIo, {}, [&](HttpExchange& exchange) { return router.handle(exchange); });
  const auto endpoint = server.listen(kLoopback).value();
  HttpClient client(mIo);
  run([&]() -> Awaitable<void> {
    for (int i = 0; i < 3; ++i) {
      HttpCall call;
      call.endpoint = endpoint;
      call.request = { "POST", "/echo/a?x=1", {}, "body" };
      const auto result = co_await client.call(std::move(call));
      EXPECT_TRUE(result.isSuccess());
      EXPECT_EQ(result.response.body, "a:body");
    }
    HttpCall wrongMethod;
    wrongMethod.endpoint = endpoint;
    wrongMethod.request = { "GET", "/echo/a", {}, "" };
    const auto result = co_await client.call(std::move(wrongMethod));
    EXPECT_EQ(result.response.status, 405);
  });
}

// Guards against idle connections that are dropped earlier than the server
// allows, or reused when the server may be about to close them, and against
// keeping a connection of a call that asked for one of its own.
TEST_F(NetTest, ConnectionIsKeptAsLongAsTheServerAllows)
{
  std::string keepAlive;
  HttpServer server(mIo, {}, [&](HttpExchange& exchange) -> Awaitable<void> {
    HttpResponse response;
    response.headers.emplace_back("Keep-Alive", keepAlive);
    co_await exchange.respond(std::move(response));
  });
  const auto endpoint = server.listen(kLoopback).value();
  run([&]() -> Awaitable<void> {
    for (const auto* header : { "timeout=0", "timeout=5", "max=3" }) {
      HttpClient client(mIo);
      keepAlive = header;
      HttpCall call;
      call.endpoint = endpoint;
      call.request = { "GET", "/", {}, "" };
      call.useNewConnection = true;
      EXPECT_TRUE((co_await client.call(call)).isSuccess());
      EXPECT_FALSE(client.hasIdleConnection(endpoint));
      call.keepNewConnection = true;
      EXPECT_TRUE((co_await client.call(call)).isSuccess());
      EXPECT_EQ(client.hasIdleConnection(endpoint), keepAlive != "timeout=0");
    }
  });
}

// Guards against the client treating a chunked response as complete when the
// handler returns without ending it.
TEST_F(NetTest, StreamWithoutEndIsAnError)
{
  HttpServer server(mIo, {}, sendTruncatedStream);
  const auto endpoint = server.listen(kLoopback).value();
  HttpClient client(mIo);
  run([&]() -> Awaitable<void> {
    HttpCall call;
    call.endpoint = endpoint;
    std::string data;
    call.onData = [&](std::string_view piece) { data += piece; };
    const auto result = co_await client.call(std::move(call));
    EXPECT_EQ(result.error, NetError::ConnectionLost);
    EXPECT_TRUE(result.sent);
    EXPECT_EQ(data, "first");
  });
}

// Guards against `sent` being true when the connection was refused or
// beforeFirstByte stopped the call. The verdict "not run" relies on false to
// prove that no byte was written.
TEST_F(NetTest, RefusedConnectionAndGuardReportNothingSent)
{
  Endpoint closed;
  {
    HttpServer server(mIo, {}, echo);
    closed = server.listen(kLoopback).value();
  }
  HttpServer server(mIo, {}, echo);
  const auto open = server.listen(kLoopback).value();
  HttpClient client(mIo);
  run([&]() -> Awaitable<void> {
    HttpCall refused;
    refused.endpoint = closed;
    const auto result = co_await client.call(std::move(refused));
    EXPECT_EQ(result.error, NetError::ConnectFailed);
    EXPECT_FALSE(result.sent);

    HttpCall guarded;
    guarded.endpoint = open;
    guarded.beforeFirstByte = [] { return false; };
    const auto stopped = co_await client.call(std::move(guarded));
    EXPECT_EQ(stopped.error, NetError::NotStarted);
    EXPECT_FALSE(stopped.sent);
  });
}

TEST_F(NetTest, OversizedBodyIsRefusedWithReason)
{
  HttpLimits limits;
  limits.maxBodyBytes = 100;
  HttpServer server(mIo, limits, echo);
  const auto endpoint = server.listen(kLoopback).value();
  HttpClient client(mIo);
  run([&]() -> Awaitable<void> {
    HttpCall call;
    call.endpoint = endpoint;
    call.request = { "POST", "/", {}, std::string(1000, 'x') };
    const auto result = co_await client.call(std::move(call));
    EXPECT_EQ(result.response.status, 413);
  });
}

// Guards against a handler that continues its work because the server did not
// notice that the client has disconnected.
TEST_F(NetTest, ServerDetectsClientDisconnect)
{
  bool noticed = false;
  HttpServer server(mIo, {}, [&](HttpExchange& exchange) -> Awaitable<void> {
    const auto gone = std::make_shared<CancelSignal>();
    exchange.onClientDisconnect([gone] { gone->cancel(); });
    co_await exchange.beginStream(200, "text/plain");
    while (!gone->isCancelRequested()) {
      co_await sleepFor(Millis(1));
    }
    noticed = true;
  });
  const auto endpoint = server.listen(kLoopback).value();
  HttpClient client(mIo);
  run([&]() -> Awaitable<void> {
    const auto cancel = std::make_shared<CancelSignal>();
    HttpCall call;
    call.endpoint = endpoint;
    call.cancel = cancel;
    call.onStatus = [&](int) { cancel->cancel(); };
    const auto result = co_await client.call(std::move(call));
    EXPECT_EQ(result.error, NetError::Cancelled);
    while (!noticed) {
      co_await sleepFor(Millis(1));
    }
  });
}

TEST_F(NetTest, LinkCarriesEventsRepliesAndRejections)
{
  LinkServer server(mIo, { { "server", 7 }, "secret" });
  server.registerHandler(
    "count", [](std::shared_ptr<LinkRequest> request) -> Awaitable<void> {
      for (int i = 0; i < request->body().get<int>(); ++i) {
        request->sendEvent(i);
      }
      request->reply("counted for " + request->peer().name);
      co_return;
    });
  const auto endpoint = server.listen(kLoopback).value();
  LinkClient client(mIo, { { "client", 9 }, "secret" }, endpoint);
  run([&]() -> Awaitable<void> {
    int events = 0;
    LinkCallOptions options;
    options.onEvent = [&](const Json& event) { EXPECT_EQ(event, events++); };
    const auto reply = co_await client.call("count", 3, options);
    EXPECT_FALSE(reply.error);
    EXPECT_EQ(reply.body, "counted for client");
    EXPECT_EQ(events, 3);
    EXPECT_EQ(client.peer(), (core::ProcessId{ "server", 7 }));
    const auto unknown = co_await client.call("other", 1);
    EXPECT_EQ(unknown.error, NetError::Rejected);
  });
}

// Guards against accepting a link from a client whose link secret differs from
// the server's.
TEST_F(NetTest, LinkRefusesAnotherSecret)
{
  LinkServer server(mIo, { { "server", 7 }, "secret" });
  const auto endpoint = server.listen(kLoopback).value();
  LinkClient client(mIo, { { "client", 9 }, "guess" }, endpoint);
  run([&]() -> Awaitable<void> {
    const auto reply = co_await client.call("count", 3);
    EXPECT_EQ(reply.error, NetError::NotAuthenticated);
    EXPECT_FALSE(reply.sent);
  });
}

// Guards against the client reporting a call as not sent when the server has
// received this call and closes the link before it replies.
TEST_F(NetTest, LostLinkFailsOpenCallsAsSent)
{
  auto server = std::make_unique<LinkServer>(
    mIo, LinkIdentity{ { "server", 7 }, "secret" });
  std::shared_ptr<LinkRequest> held;
  bool serverSawLoss = false;
  server->registerHandler(
    "hold", [&](std::shared_ptr<LinkRequest> request) -> Awaitable<void> {
      held = request;
      request->linkLostSignal()->addCallback([&] { serverSawLoss = true; });
      server->close();
      co_return;
    });
  const auto endpoint = server->listen(kLoopback).value();
  LinkClient client(mIo, { { "client", 9 }, "secret" }, endpoint);
  run([&]() -> Awaitable<void> {
    const auto reply = co_await client.call("hold", nullptr);
    EXPECT_EQ(reply.error, NetError::ConnectionLost);
    EXPECT_TRUE(reply.sent);
    while (!serverSawLoss) {
      co_await sleepFor(Millis(1));
    }
  });
}

} // namespace lentilrack::net
