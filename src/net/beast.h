#pragma once

// Included by the sources of the net library only, since Beast is slow to
// compile.
#include "core/endpoint.h"
#include "net/asio.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <functional>

namespace lentilrack::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Opens, binds and listens. False if the address cannot be bound.
bool
listenOn(asio::ip::tcp::acceptor& acceptor, const core::Endpoint& endpoint);

/// Lets a connection fail within seconds when the other side has gone silent:
/// unacknowledged data and unanswered keep-alive probes both end it.
void
enableDeadPeerDetection(asio::ip::tcp::socket& socket);

/// Accepts connections until the acceptor is closed and hands each socket to
/// `take`. The acceptor must outlive the coroutine.
Awaitable<void>
acceptConnections(asio::ip::tcp::acceptor& acceptor,
                  std::function<void(asio::ip::tcp::socket)> take);

} // namespace lentilrack::net
