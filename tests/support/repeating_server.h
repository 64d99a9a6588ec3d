#pragma once

#include "net/asio.h"

#include "core/endpoint.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <functional>
#include <string>

namespace lentilrack::testing {

/// HTTP server that sends a second copy of each response, late: when the next
/// request has arrived on the same connection.
class RepeatingServer
{
public:
  struct Response
  {
    /// Headers, each with its line end.
    std::string headers;
    std::string body;
    int status = 200;
  };
  /// Returns the response to the request with this number, counted from 1 over
  /// all connections.
  using Answer = std::function<Response(int)>;

  RepeatingServer(net::asio::io_context& io, Answer answer)
    : mIo(io)
    , mAcceptor(io, { net::asio::ip::make_address("127.0.0.1"), 0 })
    , mAnswer(std::move(answer))
  {
    net::spawn(io, acceptConnections());
  }

  core::Endpoint endpoint() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }
  int requests() const { return mRequests; }

private:
  using Socket = net::asio::ip::tcp::socket;

  net::Awaitable<void> acceptConnections()
  {
    for (;;) {
      auto socket = co_await mAcceptor.async_accept(net::asio::use_awaitable);
      net::spawn(mIo, serve(std::move(socket)));
    }
  }

  net::Awaitable<void> serve(Socket socket)
  {
    std::string received;
    std::string previous;
    for (;;) {
      boost::system::error_code error;
      const auto size = co_await net::asio::async_read_until(
        socket,
        net::asio::dynamic_buffer(received),
        "\r\n\r\n",
        net::asio::redirect_error(net::asio::use_awaitable, error));
      if (error) {
        co_return;
      }
      received.erase(0, size);
      const auto [headers, body, status] = mAnswer(++mRequests);
      const auto response =
        fmt::format("HTTP/1.1 {} Status\r\n{}Content-Length: {}\r\n\r\n{}",
                    status,
                    headers,
                    body.size(),
                    body);
      const auto sent = previous + response;
      previous = response;
      co_await net::asio::async_write(
        socket,
        net::asio::buffer(sent),
        net::asio::redirect_error(net::asio::use_awaitable, error));
      // The body of the request, if any, is not parsed.
      received.clear();
    }
  }

  net::asio::io_context& mIo;
  net::asio::ip::tcp::acceptor mAcceptor;
  Answer mAnswer;
  int mRequests = 0;
};

} // namespace lentilrack::testing
