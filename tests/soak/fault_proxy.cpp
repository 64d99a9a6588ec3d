#include "fault_proxy.h"

#include <boost/asio/write.hpp>

#include <array>

namespace lentilrack::soak {

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr core::Millis kHoldInterval{ 10 };
constexpr std::size_t kBufferBytes = 16UL * 1024;

Tcp::endpoint
socketAddress(const core::Endpoint& endpoint)
{
  return { boost::asio::ip::make_address(endpoint.address), endpoint.port };
}

} // namespace

struct FaultProxy::Connection
{
  explicit Connection(net::asio::io_context& io)
    : client(io)
    , target(io)
  {
  }

  void reset()
  {
    for (auto* socket : { &client, &target }) {
      boost::system::error_code ignored;
      socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

  Socket client;
  Socket target;
};

FaultProxy::FaultProxy(net::asio::io_context& io, core::Endpoint target)
  : mIo(io)
  , mTarget(std::move(target))
  , mAcceptor(io, socketAddress({ "127.0.0.1", 0 }))
  , mEndpoint{ "127.0.0.1", mAcceptor.local_endpoint().port() }
{
  net::spawn(mIo, accept());
}

void
FaultProxy::resetConnections()
{
  for (const auto& entry : mConnections) {
    if (const auto connection = entry.lock()) {
      connection->reset();
    }
  }
  mConnections.clear();
}

net::Awaitable<void>
FaultProxy::accept()
{
  for (;;) {
    auto connection = std::make_shared<Connection>(mIo);
    boost::system::error_code error;
    co_await mAcceptor.async_accept(
      connection->client,
      net::asio::redirect_error(net::asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    std::erase_if(mConnections,
                  [](const auto& entry) { return entry.expired(); });
    mConnections.push_back(connection);
    net::spawn(mIo, connect(std::move(connection)));
  }
}

net::Awaitable<void>
FaultProxy::connect(std::shared_ptr<Connection> connection)
{
  boost::system::error_code error;
  co_await connection->target.async_connect(
    socketAddress(mTarget),
    net::asio::redirect_error(net::asio::use_awaitable, error));
  if (error) {
    connection->reset();
    co_return;
  }
  net::spawn(mIo, pump(connection, true));
  net::spawn(mIo, pump(connection, false));
}

net::Awaitable<void>
FaultProxy::pump(std::shared_ptr<Connection> connection, bool isToTarget)
{
  auto& source = isToTarget ? connection->client : connection->target;
  auto& sink = isToTarget ? connection->target : connection->client;
  std::array<char, kBufferBytes> buffer{};
  for (;;) {
    boost::system::error_code error;
    const auto size = co_await source.async_read_some(
      boost::asio::buffer(buffer),
      net::asio::redirect_error(net::asio::use_awaitable, error));
    while (isSilent || (dropsResponses && !isToTarget)) {
      co_await net::sleepFor(kHoldInterval);
    }
    if (error) {
      boost::system::error_code ignored;
      sink.shutdown(Tcp::socket::shutdown_send, ignored);
      co_return;
    }
    co_await boost::asio::async_write(
      sink,
      boost::asio::buffer(buffer, size),
      net::asio::redirect_error(net::asio::use_awaitable, error));
    if (error) {
      connection->reset();
      co_return;
    }
  }
}

} // namespace lentilrack::soak
