#pragma once

#include "core/endpoint.h"
#include "net/asio.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <utility>

namespace lentilrack::testing {

/// Server that sends the same bytes for each request and leaves it to the
/// client to close the connection.
class RawServer
{
public:
  RawServer(net::asio::io_context& io, std::string bytes)
    : mIo(io)
    , mAcceptor(io, { net::asio::ip::make_address("127.0.0.1"), 0 })
    , mBytes(std::move(bytes))
  {
    net::spawn(io, acceptConnections());
  }

  core::Endpoint endpoint() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }
  /// Sends other bytes for the next requests.
  void sendNext(std::string bytes) { mBytes = std::move(bytes); }
  /// Sends other bytes for the next requests, and then closes the connection.
  void closeAfterNext(std::string bytes)
  {
    mBytes = std::move(bytes);
    mIsClosing = true;
  }
  int requests() const { return mRequests; }
  /// Number of connections that the client has not closed.
  int openConnections() const { return mOpenConnections; }

private:
  using Socket = net::asio::ip::tcp::socket;

  net::Awaitable<void> acceptConnections()
  {
    for (;;) {
      auto socket = co_await mAcceptor.async_accept(net::asio::use_awaitable);
      ++mOpenConnections;
      net::spawn(mIo, serve(std::move(socket)));
    }
  }

  net::Awaitable<void> serve(Socket socket)
  {
    std::string received;
    boost::system::error_code error;
    while (!error) {
      co_await net::asio::async_read_until(
        socket,
        net::asio::dynamic_buffer(received),
        "\r\n\r\n",
        net::asio::redirect_error(net::asio::use_awaitable, error));
      // The body of the request, if any, is not parsed.
      received.clear();
      if (!error) {
        ++mRequests;
        co_await net::asio::async_write(
          socket,
          net::asio::buffer(mBytes),
          net::asio::redirect_error(net::asio::use_awaitable, error));
      }
      if (mIsClosing) {
        break;
      }
    }
    --mOpenConnections;
  }

  net::asio::io_context& mIo;
  net::asio::ip::tcp::acceptor mAcceptor;
  std::string mBytes;
  bool mIsClosing = false;
  int mRequests = 0;
  int mOpenConnections = 0;
};

} // namespace lentilrack::testing
