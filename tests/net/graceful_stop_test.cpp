#include "net/http_server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

namespace lentilrack::net {

namespace {

using core::Millis;
using Socket = asio::ip::tcp::socket;

const std::string kRequest = "GET / HTTP/1.1\r\nHost: host\r\n\r\n";

class GracefulStopTest : public ::testing::Test
{
protected:
  GracefulStopTest()
  {
    mEndpoint = mServer.listen({ "127.0.0.1", 0 }).value();
    mSocket.connect(
      { asio::ip::make_address(mEndpoint.address), mEndpoint.port });
  }

  /// Sends bytes without letting the server run.
  void send(const std::string& bytes)
  {
    asio::write(mSocket, asio::buffer(bytes));
  }

  /// Lets the server run until it has nothing left to do for now.
  void runServer()
  {
    constexpr Millis kTime{ 50 };
    mIo.restart();
    mIo.run_for(kTime);
  }

  /// Returns the next response of the server; empty if the server has closed
  /// the connection instead.
  std::string receive()
  {
    std::string received;
    boost::system::error_code error;
    mSocket.non_blocking(true);
    for (int i = 0; i < 20 && received.find("\r\n\r\n") == std::string::npos;
         ++i) {
      runServer();
      std::string part(4096, ' ');
      const auto size = mSocket.read_some(asio::buffer(part), error);
      received.append(part, 0, size);
    }
    return received;
  }

  asio::io_context mIo;
  HttpServer mServer{ mIo,
                      HttpLimits{},
                      [](HttpExchange& exchange) -> Awaitable<void> {
                        HttpResponse response;
                        co_await exchange.respond(std::move(response));
                      } };
  core::Endpoint mEndpoint;
  Socket mSocket{ mIo };
};

} // namespace

// Guards against a planned stop that cuts off a request which has arrived but
// which the process has not read yet.
TEST_F(GracefulStopTest, RequestThatHasJustArrivedIsAnswered)
{
  runServer();
  send(kRequest);
  mServer.closeIdleConnections();
  EXPECT_TRUE(receive().starts_with("HTTP/1.1 200"));
}

TEST_F(GracefulStopTest, IdleConnectionIsClosed)
{
  runServer();
  mServer.closeIdleConnections();
  EXPECT_EQ(receive(), "");
}

// Guards against a process that ends while a request arrives, since only
// requests that had arrived completely counted as active.
TEST_F(GracefulStopTest, RequestThatIsArrivingIsActive)
{
  runServer();
  EXPECT_EQ(mServer.activeExchanges(), 0U);
  send(kRequest.substr(0, 8));
  runServer();
  EXPECT_EQ(mServer.activeExchanges(), 1U);
  mServer.closeIdleConnections();
  send(kRequest.substr(8));
  EXPECT_TRUE(receive().starts_with("HTTP/1.1 200"));
  EXPECT_EQ(mServer.activeExchanges(), 0U);
}

} // namespace lentilrack::net
