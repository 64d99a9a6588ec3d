#pragma once

#include "core/endpoint.h"
#include "net/asio.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <utility>

namespace lentilrack::testing {

/// Server that reads the head of each request, sends the same bytes and closes
/// the connection.
class CuttingServer
{
public:
  CuttingServer(net::asio::io_context& io, std::string bytes)
    : mAcceptor(io, { net::asio::ip::make_address("127.0.0.1"), 0 })
    , mBytes(std::move(bytes))
  {
    net::spawn(io, acceptConnections());
  }

  core::Endpoint endpoint() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

private:
  net::Awaitable<void> acceptConnections()
  {
    for (;;) {
      auto socket = co_await mAcceptor.async_accept(net::asio::use_awaitable);
      std::string request;
      boost::system::error_code error;
      co_await net::asio::async_read_until(
        socket,
        net::asio::dynamic_buffer(request),
        "\r\n\r\n",
        net::asio::redirect_error(net::asio::use_awaitable, error));
      co_await net::asio::async_write(
        socket,
        net::asio::buffer(mBytes),
        net::asio::redirect_error(net::asio::use_awaitable, error));
    }
  }

  net::asio::ip::tcp::acceptor mAcceptor;
  std::string mBytes;
};

} // namespace lentilrack::testing
