#pragma once

#include "core/endpoint.h"
#include "net/asio.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <vector>

namespace lentilrack::soak {

/// Passes connections on to another endpoint, and injects faults into them.
class FaultProxy
{
public:
  FaultProxy(net::asio::io_context& io, core::Endpoint target);

  core::Endpoint endpoint() const { return mEndpoint; }

  /// Resets all open connections.
  void resetConnections();

  /// True if no bytes are passed on, in either direction. Connections stay
  /// open, and bytes that arrive meanwhile are passed on later.
  bool isSilent = false;
  /// True if bytes from the target are held back while bytes to it pass.
  bool dropsResponses = false;

private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Connection;

  net::Awaitable<void> accept();
  net::Awaitable<void> connect(std::shared_ptr<Connection> connection);
  net::Awaitable<void> pump(std::shared_ptr<Connection> connection,
                            bool isToTarget);

  net::asio::io_context& mIo;
  core::Endpoint mTarget;
  boost::asio::ip::tcp::acceptor mAcceptor;
  core::Endpoint mEndpoint;
  std::vector<std::weak_ptr<Connection>> mConnections;
};

} // namespace lentilrack::soak
