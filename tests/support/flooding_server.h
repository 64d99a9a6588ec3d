#pragma once

#include "core/endpoint.h"
#include "net/asio.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cstddef>
#include <string>
#include <utility>

namespace lentilrack::testing {

/// Server in trouble: answers each request with `start` and then with `piece`
/// again and again, until the client closes the connection.
class FloodingServer
{
public:
  FloodingServer(net::asio::io_context& io,
                 std::string start,
                 std::string piece)
    : mIo(io)
    , mAcceptor(io, { net::asio::ip::make_address("127.0.0.1"), 0 })
    , mStart(std::move(start))
    , mPiece(std::move(piece))
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
    std::string request;
    boost::system::error_code error;
    co_await net::asio::async_read_until(
      socket,
      net::asio::dynamic_buffer(request),
      "\r\n\r\n",
      net::asio::redirect_error(net::asio::use_awaitable, error));
    ++mRequests;
    auto data = mStart;
    while (!error) {
      co_await net::asio::async_write(
        socket,
        net::asio::buffer(data),
        net::asio::redirect_error(net::asio::use_awaitable, error));
      data = mPiece;
    }
  }

  net::asio::io_context& mIo;
  net::asio::ip::tcp::acceptor mAcceptor;
  std::string mStart;
  std::string mPiece;
  int mRequests = 0;
};

} // namespace lentilrack::testing
