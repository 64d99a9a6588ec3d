#include "net/error.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "support/io_test.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace lentilrack::net {

namespace {

using core::Millis;
using Socket = asio::ip::tcp::socket;

/// Bytes after which a peer must have closed the connection. Above the limits
/// of heads and of the bodies in these tests, and what sockets buffer.
constexpr std::size_t kMostBytes = 64UL * 1024 * 1024;
constexpr std::size_t kBodyLimit = 64UL * 1024;
/// Longer than the tests take, so that only the limits of size end the calls.
constexpr Millis kTimeout{ 60'000 };

/// Sends `start`, and then `piece` until the peer closes the connection.
Awaitable<void>
sendEndlessly(Socket& socket,
              std::string start,
              std::string piece,
              std::size_t& written)
{
  boost::system::error_code error;
  auto data = std::move(start);
  while (!error && written < kMostBytes) {
    written += co_await asio::async_write(
      socket,
      asio::buffer(data),
      asio::redirect_error(asio::use_awaitable, error));
    data = piece;
  }
}

class EndlessBytesTest : public testing::IoTest
{
protected:
  /// Calls a server that answers with `start` and then `piece` without end.
  Awaitable<HttpResult> callEndlessServer(std::string start, std::string piece)
  {
    spawn(mIo, serveOnce(std::move(start), std::move(piece)));
    HttpCall call;
    call.endpoint = { "127.0.0.1", mAcceptor.local_endpoint().port() };
    call.timeout = kTimeout;
    call.bodyLimit = kBodyLimit;
    co_return co_await mClient.call(std::move(call));
  }

  HttpClient mClient{ mIo };
  std::size_t mWritten = 0;

private:
  Awaitable<void> serveOnce(std::string start, std::string piece)
  {
    auto socket = co_await mAcceptor.async_accept(asio::use_awaitable);
    co_await sendEndlessly(
      socket, std::move(start), std::move(piece), mWritten);
  }

  asio::ip::tcp::acceptor mAcceptor{ mIo,
                                     { asio::ip::make_address("127.0.0.1"),
                                       0 } };
};

} // namespace

// Guards against a server whose head never ends and fills the memory.
TEST_F(EndlessBytesTest, HeadWithoutEndEndsTheCall)
{
  run([&]() -> Awaitable<void> {
    const auto result = co_await callEndlessServer(
      "HTTP/1.1 200 OK\r\n", "X-Field: " + std::string(100, 'x') + "\r\n");
    EXPECT_TRUE(result.error);
    EXPECT_TRUE(result.sent);
    EXPECT_LT(mWritten, kMostBytes);
  });
}

// Guards against a server whose body, without a length, never ends.
TEST_F(EndlessBytesTest, BodyWithoutLengthEndsTheCall)
{
  run([&]() -> Awaitable<void> {
    const auto result = co_await callEndlessServer("HTTP/1.1 200 OK\r\n\r\n",
                                                   std::string(1'000, 'x'));
    EXPECT_TRUE(result.error);
    EXPECT_LE(result.response.body.size(), kBodyLimit);
    EXPECT_LT(mWritten, kMostBytes);
  });
}

// Guards against a server whose body has chunks without end.
TEST_F(EndlessBytesTest, ChunksWithoutEndEndTheCall)
{
  run([&]() -> Awaitable<void> {
    const auto result = co_await callEndlessServer(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      "64\r\n" + std::string(100, 'x') + "\r\n");
    EXPECT_TRUE(result.error);
    EXPECT_LE(result.response.body.size(), kBodyLimit);
    EXPECT_LT(mWritten, kMostBytes);
  });
}

// Guards against a server that sends no HTTP at all, without end.
TEST_F(EndlessBytesTest, BytesThatAreNoResponseEndTheCall)
{
  run([&]() -> Awaitable<void> {
    const auto result = co_await callEndlessServer("", std::string(1'000, 'x'));
    EXPECT_TRUE(result.error);
    EXPECT_LT(mWritten, kMostBytes);
  });
}

// Guards against a caller whose request has a head without end.
TEST_F(EndlessBytesTest, CallerWithAnEndlessHeadIsCutOff)
{
  int requests = 0;
  HttpServer server(
    mIo, HttpLimits{}, [&](HttpExchange& exchange) -> Awaitable<void> {
      ++requests;
      HttpResponse response;
      co_await exchange.respond(std::move(response));
    });
  const auto endpoint = server.listen({ "127.0.0.1", 0 }).value();
  run([&]() -> Awaitable<void> {
    Socket socket(mIo);
    co_await socket.async_connect(
      { asio::ip::make_address(endpoint.address), endpoint.port },
      asio::use_awaitable);
    co_await sendEndlessly(socket,
                           "GET / HTTP/1.1\r\n",
                           "X-Field: " + std::string(100, 'x') + "\r\n",
                           mWritten);
    EXPECT_LT(mWritten, kMostBytes);
  });
  EXPECT_EQ(requests, 0);
}

} // namespace lentilrack::net
