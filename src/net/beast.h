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

/// Opens the acceptor, binds it and starts listening. Returns false if the
/// address cannot be bound.
bool
listenOn(asio::ip::tcp::acceptor& acceptor, const core::Endpoint& endpoint);

/// Makes a connection fail within about 3 s when the peer stops responding:
/// both unacknowledged data and unanswered keep-alive probes close it.
void
enableDeadPeerDetection(asio::ip::tcp::socket& socket);

/// Accepts connections until the acceptor is closed and passes each socket to
/// `onAccept`. The acceptor must outlive the coroutine.
Awaitable<void>
acceptConnections(asio::ip::tcp::acceptor& acceptor,
                  std::function<void(asio::ip::tcp::socket)> onAccept);

} // namespace lentilrack::net
