#include "net/http_client.h"
#include "net/http_server.h"
#include "support/io_test.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace lentilrack::net {

namespace {

constexpr std::uint32_t kHeadLimit = 100'000;
/// More than the HTTP library can hold in the name and value of one header.
constexpr std::size_t kLargeHeader = 70'000;

/// A server that sends back the header X-Large in the body, and a client.
class OddRequestsTest : public testing::IoTest
{
protected:
  static HttpLimits limits()
  {
    HttpLimits result;
    result.maxHeaderBytes = kHeadLimit;
    return result;
  }

  HttpCall callWith(HttpRequest request) const
  {
    HttpCall call;
    call.endpoint = mEndpoint;
    call.request = std::move(request);
    return call;
  }

  /// Sends bytes to the server and returns what it sends until it closes the
  /// connection.
  Awaitable<std::string> exchangeBytes(std::string bytes)
  {
    asio::ip::tcp::socket socket(mIo);
    co_await socket.async_connect(
      { asio::ip::make_address(mEndpoint.address), mEndpoint.port },
      asio::use_awaitable);
    co_await asio::async_write(
      socket, asio::buffer(bytes), asio::use_awaitable);
    std::string answer;
    boost::system::error_code error;
    co_await asio::async_read(socket,
                              asio::dynamic_buffer(answer),
                              asio::redirect_error(asio::use_awaitable, error));
    co_return answer;
  }

  std::vector<HttpRequest> mRequests;
  HttpServer mServer{ mIo,
                      limits(),
                      [this](HttpExchange& exchange) -> Awaitable<void> {
                        mRequests.push_back(exchange.request());
                        HttpResponse response;
                        response.body = exchange.request().header("X-Large");
                        co_await exchange.respond(std::move(response));
                      } };
  core::Endpoint mEndpoint = mServer.listen({ "127.0.0.1", 0 }).value();
  HttpClient mClient{ mIo };
};

} // namespace

// Guards against an exception that ends the process: the HTTP library cannot
// hold a header of more than 64 KB, although the limit of the server allows it.
TEST_F(OddRequestsTest, HeaderAboveTheLimitOfTheLibraryIsServed)
{
  const std::string value(kLargeHeader, 'x');
  const HttpRequest request{ "GET", "/a", { { "X-Large", value } }, "" };
  run([&]() -> Awaitable<void> {
    const auto result = co_await mClient.call(callWith(request));
    EXPECT_EQ(result.response.status, 200);
    EXPECT_EQ(result.response.body, value);
  });
}

// Guards against a request that is too large or malformed and gets no answer,
// or ends the process and all requests that it serves.
TEST_F(OddRequestsTest, RefusalsAreAnsweredAndOthersAreServed)
{
  const std::string head = " /a HTTP/1.1\r\nHost: a.example\r\n";
  const std::string close = "Connection: close\r\n";
  const std::string tooLarge(kHeadLimit, 'x');
  run([&]() -> Awaitable<void> {
    const auto large = co_await exchangeBytes(
      "GET" + head + "X-Large: " + tooLarge + "\r\n\r\n");
    EXPECT_TRUE(large.starts_with("HTTP/1.1 431 ")) << large;
    const auto trace =
      co_await exchangeBytes("TRACE" + head + "Content-Length: 4\r\n\r\nbody");
    EXPECT_TRUE(trace.starts_with("HTTP/1.1 400 ")) << trace;
    const auto malformed =
      co_await exchangeBytes("GET" + head + "Bad Name: 1\r\n\r\n");
    EXPECT_TRUE(malformed.starts_with("HTTP/1.1 400 ")) << malformed;
    EXPECT_TRUE(mRequests.empty());
    const auto good =
      co_await exchangeBytes("GET" + head + close + "X-Large: x\r\n\r\n");
    EXPECT_TRUE(good.starts_with("HTTP/1.1 200 ")) << good;
  });
  EXPECT_EQ(mServer.activeExchanges(), 0U);
}

} // namespace lentilrack::net
