#include "net/error.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "support/io_test.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace lentilrack::net {

namespace {

using core::Millis;
using Socket = asio::ip::tcp::socket;

/// Bytes after which a peer must have closed the connection. Above the limits
/// of heads and of the bodies in these tests, and what sockets buffer.
constexpr std::size_t kMostBytes = 64UL * 1024 * 1024;
constexpr std::size_t kBodyLimit = 64UL * 1024;
/// Bytes after which a peer must have closed the connection where it keeps what
/// it has received: its limit, and what sockets buffer.
constexpr std::size_t kMostUnparsedBytes = 16UL * 1024 * 1024;
const std::string kChunkedHead =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kZeros(1'000, '0');
/// Longer than the tests take, so that only the limits of size end the calls.
constexpr Millis kTimeout{ 60'000 };

/// Sends `start`, and then `piece`, if it is not empty, until the peer closes
/// the connection.
Awaitable<void>
sendEndlessly(Socket& socket,
              std::string start,
              std::string piece,
              std::size_t& written)
{
  boost::system::error_code error;
  auto data = std::move(start);
  while (!error && !data.empty() && written < kMostBytes) {
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

  /// Sends a server of ours `start` and then `piece` without end.
  Awaitable<void> sendEndlessRequest(std::string start, std::string piece)
  {
    HttpServer server(
      mIo, HttpLimits{}, [this](HttpExchange& exchange) -> Awaitable<void> {
        ++mRequests;
        HttpResponse response;
        co_await exchange.respond(std::move(response));
      });
    const auto endpoint = server.listen({ "127.0.0.1", 0 }).value();
    Socket socket(mIo);
    co_await socket.async_connect(
      { asio::ip::make_address(endpoint.address), endpoint.port },
      asio::use_awaitable);
    co_await sendEndlessly(
      socket, std::move(start), std::move(piece), mWritten);
  }

  HttpClient mClient{ mIo };
  std::size_t mWritten = 0;
  int mRequests = 0;

private:
  Awaitable<void> serveOnce(std::string start, std::string piece)
  {
    auto socket = co_await mAcceptor.async_accept(asio::use_awaitable);
    // Closing a socket with unread data would reset the connection.
    std::string request;
    co_await asio::async_read_until(
      socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::use_awaitable);
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

// Guards against a server whose chunk has a size line that never ends. The
// limit of the body does not count it, so that the call kept all of its bytes.
TEST_F(EndlessBytesTest, ChunkSizeLineWithoutEndEndsTheCall)
{
  run([&]() -> Awaitable<void> {
    const auto result = co_await callEndlessServer(kChunkedHead, kZeros);
    EXPECT_EQ(result.error, NetError::BadMessage);
    EXPECT_LT(mWritten, kMostUnparsedBytes);
  });
}

// Guards against a server whose chunk has an extension that never ends.
TEST_F(EndlessBytesTest, ChunkExtensionWithoutEndEndsTheCall)
{
  run([&]() -> Awaitable<void> {
    const auto result =
      co_await callEndlessServer(kChunkedHead + "5;a=", kZeros);
    EXPECT_EQ(result.error, NetError::BadMessage);
    EXPECT_LT(mWritten, kMostUnparsedBytes);
  });
}

// Guards against a server whose last chunk is followed by trailer fields
// without end.
TEST_F(EndlessBytesTest, TrailerWithoutEndEndsTheCall)
{
  run([&]() -> Awaitable<void> {
    const auto result = co_await callEndlessServer(
      kChunkedHead + "0\r\n", "X-Field: " + std::string(100, 'x') + "\r\n");
    EXPECT_EQ(result.error, NetError::BadMessage);
    EXPECT_LT(mWritten, kMostUnparsedBytes);
  });
}

// Guards against a limit of unparsed bytes that rejects proper responses: a
// long body in small chunks, one with an extension, and a trailer.
TEST_F(EndlessBytesTest, ProperChunksAreReadWhole)
{
  run([&]() -> Awaitable<void> {
    std::string chunks;
    for (int i = 0; i < 20'000; ++i) {
      chunks += "1\r\nx\r\n";
    }
    chunks += "1;name=" + std::string(10'000, 'v') + "\r\nx\r\n";
    const auto result = co_await callEndlessServer(
      kChunkedHead + chunks + "0\r\nX-Trailer: 1\r\n\r\n", "");
    EXPECT_FALSE(result.error);
    EXPECT_EQ(result.response.body, std::string(20'001, 'x'));
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
  run([&]() -> Awaitable<void> {
    co_await sendEndlessRequest("GET / HTTP/1.1\r\n",
                                "X-Field: " + std::string(100, 'x') + "\r\n");
    EXPECT_LT(mWritten, kMostBytes);
  });
  EXPECT_EQ(mRequests, 0);
}

// Guards against a caller whose request has a chunk with a size line that never
// ends.
TEST_F(EndlessBytesTest, CallerWithAnEndlessChunkSizeLineIsCutOff)
{
  run([&]() -> Awaitable<void> {
    co_await sendEndlessRequest(
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
      std::string(100, '0'));
    EXPECT_LT(mWritten, kMostBytes);
  });
  EXPECT_EQ(mRequests, 0);
}

} // namespace lentilrack::net
