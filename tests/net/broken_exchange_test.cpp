#include "net/error.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <gtest/gtest.h>

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

} // namespace

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

} // namespace lentilrack::net
