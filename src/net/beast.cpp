#include "net/beast.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lentilrack::net {

bool
listenOn(asio::ip::tcp::acceptor& acceptor, const core::Endpoint& endpoint)
{
  using asio::ip::tcp;
  boost::system::error_code error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  const tcp::endpoint local(address, endpoint.port);
  if (!error) {
    acceptor.open(local.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(local, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  return !error;
}

void
enableDeadPeerDetection(asio::ip::tcp::socket& socket)
{
  // Both limits are below 3 s, the time within which a node must work normally
  // again after a network fault has ended.
  constexpr int kUnacknowledgedMs = 2500;
  constexpr int kProbeSeconds = 1;
  constexpr int kProbes = 2;
  constexpr int kOn = 1;
  const auto handle = socket.native_handle();
  // Errors are ignored: without these options the connection still works, but a
  // dead peer is detected later.
  setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &kOn, sizeof(kOn));
  setsockopt(handle,
             IPPROTO_TCP,
             TCP_USER_TIMEOUT,
             &kUnacknowledgedMs,
             sizeof(kUnacknowledgedMs));
  for (const int option : { TCP_KEEPIDLE, TCP_KEEPINTVL }) {
    setsockopt(
      handle, IPPROTO_TCP, option, &kProbeSeconds, sizeof(kProbeSeconds));
  }
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
}

Awaitable<void>
acceptConnections(asio::ip::tcp::acceptor& acceptor,
                  std::function<void(asio::ip::tcp::socket)> onAccept)
{
  // If the process has run out of file descriptors, the pause gives it time to
  // close some.
  constexpr core::Millis kPauseAfterError{ 20 };
  while (acceptor.is_open()) {
    boost::system::error_code error;
    asio::ip::tcp::socket socket(acceptor.get_executor());
    co_await acceptor.async_accept(
      socket, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      co_await sleepFor(kPauseAfterError);
      continue;
    }
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    enableDeadPeerDetection(socket);
    onAccept(std::move(socket));
  }
}

} // namespace lentilrack::net
