#include "net/error.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "support/cutting_server.h"
#include "support/raw_server.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <vector>

namespace lentilrack::net {

namespace {

HttpCall
callTo(const core::Endpoint& endpoint)
{
  HttpCall call;
  call.endpoint = endpoint;
  return call;
}

Awaitable<void>
respondEmpty(HttpExchange& exchange)
{
  HttpResponse response;
  co_await exchange.respond(std::move(response));
}

Awaitable<void>
abortExchange(HttpExchange& exchange)
{
  exchange.abort();
  co_return;
}

Awaitable<void>
throwOnRequest(HttpExchange& exchange)
{
  if (exchange.request().target == "/good") {
    co_await respondEmpty(exchange);
    co_return;
  }
  if (exchange.request().target == "/stream") {
    co_await exchange.beginStream(200, "text/plain", {});
    co_await exchange.write("part");
  }
  throw std::out_of_range("unexpected");
}

/// Returns the result of a call whose server sends these bytes and closes the
/// connection.
HttpResult
callCuttingServer(std::string bytes)
{
  asio::io_context io;
  testing::CuttingServer server(io, std::move(bytes));
  HttpClient client(io);
  HttpResult result;
  const auto run = [&]() -> Awaitable<void> {
    result = co_await client.call(callTo(server.endpoint()));
    io.stop();
  };
  spawn(io, run());
  io.run();
  return result;
}

} // namespace

// Guards against an unexpected error in one request that ends the process and
// thus all its other requests: the read of an item of a batch whose record had
// just been removed did so.
TEST(BrokenExchangeTest, ExceptionOfTheHandlerEndsOnlyItsExchange)
{
  asio::io_context io;
  HttpServer server(io, {}, throwOnRequest);
  std::vector<std::string> reasons;
  server.onHandlerFailure(
    [&](const std::string& reason) { reasons.push_back(reason); });
  const auto endpoint = server.listen({ "127.0.0.1", 0 }).value();
  HttpClient client(io);
  const auto run = [&]() -> Awaitable<void> {
    auto call = callTo(endpoint);
    call.request.target = "/bad";
    const auto failed = co_await client.call(call);
    EXPECT_EQ(failed.response.status, 500);
    call.request.target = "/stream";
    const auto cut = co_await client.call(call);
    EXPECT_EQ(cut.error, NetError::ConnectionLost);
    call.request.target = "/good";
    const auto good = co_await client.call(call);
    EXPECT_TRUE(good.isSuccess());
    io.stop();
  };
  spawn(io, run());
  io.run();
  EXPECT_EQ(reasons, (std::vector<std::string>{ "unexpected", "unexpected" }));
  EXPECT_EQ(server.activeExchanges(), 0U);
}

// Guards against the server sending a response although the handler has aborted
// the exchange.
TEST(BrokenExchangeTest, AbortSendsNoResponse)
{
  asio::io_context io;
  HttpServer server(io, {}, abortExchange);
  const auto endpoint = server.listen({ "127.0.0.1", 0 }).value();
  HttpClient client(io);
  HttpResult result;
  const auto run = [&]() -> Awaitable<void> {
    result = co_await client.call(callTo(endpoint));
    io.stop();
  };
  spawn(io, run());
  io.run();
  EXPECT_EQ(result.error, NetError::ConnectionLost);
  EXPECT_TRUE(result.sent);
}

// Guards against a call failing because it reuses a connection that the server
// has closed after an earlier call.
TEST(BrokenExchangeTest, ClosedConnectionIsNotReused)
{
  asio::io_context io;
  HttpServer server(io, {}, respondEmpty);
  const auto endpoint = server.listen({ "127.0.0.1", 0 }).value();
  HttpClient client(io);
  HttpResult second;
  const auto run = [&]() -> Awaitable<void> {
    const auto first = co_await client.call(callTo(endpoint));
    EXPECT_TRUE(first.isSuccess());
    server.closeAllConnections();
    second = co_await client.call(callTo(endpoint));
    io.stop();
  };
  spawn(io, run());
  io.run();
  EXPECT_TRUE(second.isSuccess());
}

// Guards against taking a response for complete whose server has closed the
// connection within the head, or before the body had its stated length.
TEST(BrokenExchangeTest, ResponseThatIsCutIsNotComplete)
{
  const std::string response = "HTTP/1.1 200 OK\r\nX-Field: value\r\n"
                               "Content-Length: 4\r\n\r\ndone";
  for (std::size_t size = 0; size < response.size(); ++size) {
    EXPECT_EQ(callCuttingServer(response.substr(0, size)).error,
              NetError::ConnectionLost)
      << size;
  }
  EXPECT_TRUE(callCuttingServer(response).isSuccess());
}

// Guards against taking a broken response on a connection that is used again
// for the close of an idle connection: the request would be sent again without
// counting the attempt, and the server would still be taken for healthy.
TEST(BrokenExchangeTest, BrokenResponseOnAUsedConnectionIsNotAnIdleClose)
{
  asio::io_context io;
  const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  testing::RawServer server(io, sound);
  HttpClient client(io);
  HttpResult broken;
  HttpResult cut;
  const auto run = [&]() -> Awaitable<void> {
    co_await client.call(callTo(server.endpoint()));
    server.sendNext("no HTTP\r\n\r\n");
    broken = co_await client.call(callTo(server.endpoint()));
    server.sendNext(sound);
    co_await client.call(callTo(server.endpoint()));
    server.closeAfterNext("HTTP/1.1 2");
    cut = co_await client.call(callTo(server.endpoint()));
    io.stop();
  };
  spawn(io, run());
  io.run();
  EXPECT_TRUE(broken.reusedConnection);
  EXPECT_EQ(broken.error, NetError::BadMessage);
  EXPECT_TRUE(cut.reusedConnection);
  EXPECT_EQ(cut.error, NetError::ConnectionLost);
  EXPECT_TRUE(cut.hasReceivedBytes);
}

// Guards against taking chunks without the last one for a complete body.
TEST(BrokenExchangeTest, ChunksThatAreCutAreNotComplete)
{
  const std::string response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                               "\r\n\r\n4\r\ndone\r\n0\r\n\r\n";
  for (std::size_t size = 0; size < response.size(); ++size) {
    EXPECT_EQ(callCuttingServer(response.substr(0, size)).error,
              NetError::ConnectionLost)
      << size;
  }
  EXPECT_TRUE(callCuttingServer(response).isSuccess());
}

} // namespace lentilrack::net
