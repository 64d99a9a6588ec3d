#pragma once

#include "net/beast.h"
#include "net/link.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/websocket.hpp>

#include <deque>
#include <vector>

namespace lentilrack::net {

struct LinkFrame
{
  /// "request", "event", "reply", "reject" or "cancel".
  std::string kind;
  /// Number of the call, assigned by the calling side.
  std::uint64_t call = 0;
  /// Message type; only in requests.
  std::string type;
  wire::Json body;
};

/// An authenticated connection, used on both sides of a link. Frames to write
/// are queued; readLoop() passes received frames to a handler.
class LinkConnection : public std::enable_shared_from_this<LinkConnection>
{
public:
  using FrameHandler = std::function<void(LinkFrame)>;

  explicit LinkConnection(asio::ip::tcp::socket socket);

  /// Performs the handshake of the connecting or the accepting side. Errors:
  /// ConnectionLost, NotAuthenticated.
  Awaitable<std::error_code> handshakeAsClient(const LinkIdentity& identity);
  Awaitable<std::error_code> handshakeAsServer(const LinkIdentity& identity);

  /// Passes received frames to `onFrame` until the connection is closed. A
  /// malformed frame closes it.
  Awaitable<void> readLoop(FrameHandler onFrame);

  /// Queues a frame. Returns false if the connection is closed or the queue is
  /// full, which closes it.
  bool send(const LinkFrame& frame);
  void close();
  bool isOpen() const { return mOpen; }
  const core::ProcessId& peer() const { return mPeer; }

private:
  using WebSocket = beast::websocket::stream<beast::tcp_stream>;

  Awaitable<std::optional<wire::Json>> readJson();
  Awaitable<bool> writeJson(const wire::Json& json);
  Awaitable<void> writeLoop();
  void setTimeouts();

  WebSocket mSocket;
  std::deque<std::vector<std::uint8_t>> mQueue;
  std::size_t mQueuedBytes = 0;
  bool mWriting = false;
  bool mOpen = false;
  core::ProcessId mPeer;
};

} // namespace lentilrack::net
