#pragma once

#include "core/endpoint.h"
#include "core/identity.h"
#include "core/result.h"
#include "net/asio.h"
#include "net/cancel_signal.h"
#include "wire/object_reader.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

/// Authenticated connections (links) between processes of lentilrack: WebSocket
/// over TCP with one CBOR object per frame. A call consists of one request, any
/// number of events from the peer, and one reply or rejection.
namespace lentilrack::net {

/// Identity and shared secret of a process, used in the handshake of a link.
struct LinkIdentity
{
  core::ProcessId self;
  /// Shared by all processes of a deployment; never logged or sent.
  std::string secret;
};

struct LinkCallOptions
{
  /// Time-out of the reply, counted from the start of the call, before the
  /// link is connected.
  core::Millis timeout{ 5000 };
  /// Receives the body of each event that the peer sends.
  std::function<void(const wire::Json&)> onEvent;
  /// When it fires, the peer is asked to cancel. The call still ends with the
  /// peer's reply.
  std::shared_ptr<CancelSignal> cancel;
  /// Called on a connected link right before the request is queued; may change
  /// the body. If it returns false, the call ends with NotStarted.
  std::function<bool(wire::Json& body)> beforeSend;
};

struct LinkReply
{
  /// ConnectFailed, NotAuthenticated, NotStarted, ConnectionLost, TimedOut or
  /// Rejected.
  std::error_code error;
  /// True if the request was queued, so that it may have reached the peer.
  /// False proves that the peer did not receive it.
  bool sent = false;
  wire::Json body;
  /// The reason that the peer gave for rejecting the call.
  std::string reason;
};

/// Client side of a link to one address. Connects at the first call and
/// reconnects at the next call after the connection was lost.
class LinkClient
{
public:
  LinkClient(asio::io_context& io,
             LinkIdentity identity,
             core::Endpoint endpoint);
  ~LinkClient();

  /// Sends a request of the given message type and waits for the reply.
  Awaitable<LinkReply> call(std::string type,
                            wire::Json body,
                            LinkCallOptions options = {});

  /// Returns the identity of the peer; empty if there is no connection.
  std::optional<core::ProcessId> peer() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

/// Holds one LinkClient per address.
class LinkPool
{
public:
  LinkPool(asio::io_context& io, LinkIdentity identity);

  /// Returns the client for an address and creates it if needed. The client
  /// stays valid while the caller keeps the pointer.
  std::shared_ptr<LinkClient> clientFor(const core::Endpoint& endpoint);
  /// Removes the client of an address. Calls in progress still complete.
  void removeClient(const core::Endpoint& endpoint);
  std::size_t size() const { return mClients.size(); }

private:
  asio::io_context& mIo;
  LinkIdentity mIdentity;
  std::map<core::Endpoint, std::shared_ptr<LinkClient>> mClients;
};

/// A call received from a peer. It may outlive the handler. The first reply()
/// or reject() ends the call; later ones do nothing.
class LinkRequest
{
public:
  using Send = std::function<void(const char* kind, wire::Json body)>;

  LinkRequest(std::string type,
              wire::Json body,
              core::ProcessId peer,
              Send send);

  const std::string& type() const { return mType; }
  const wire::Json& body() const { return mBody; }
  const core::ProcessId& peer() const { return mPeer; }

  /// Sends an event; does nothing after the call has ended.
  void sendEvent(wire::Json body);
  /// Sends the reply and ends the call.
  void reply(wire::Json body);
  /// Rejects the call with a reason and ends it.
  void reject(std::string reason);

  /// Fires when the peer asks to cancel the call.
  const std::shared_ptr<CancelSignal>& cancelSignal() const
  {
    return mCancelSignal;
  }
  /// Fires when the link is lost before the call has ended.
  const std::shared_ptr<CancelSignal>& linkLostSignal() const
  {
    return mLinkLostSignal;
  }
  /// Returns true after reply() or reject().
  bool hasEnded() const { return mEnded; }

private:
  std::string mType;
  wire::Json mBody;
  core::ProcessId mPeer;
  Send mSend;
  std::shared_ptr<CancelSignal> mCancelSignal;
  std::shared_ptr<CancelSignal> mLinkLostSignal;
  bool mEnded = false;
};

using LinkHandler =
  std::function<Awaitable<void>(std::shared_ptr<LinkRequest>)>;

/// Accepts links and dispatches calls to handlers by message type.
class LinkServer
{
public:
  LinkServer(asio::io_context& io, LinkIdentity identity);
  ~LinkServer();

  /// Registers the handler of a message type. Must be called before listen().
  /// Calls of a type without a handler are rejected.
  void registerHandler(std::string type, LinkHandler handler);
  /// Binds and starts accepting. With port 0 the kernel chooses the port.
  /// Returns the bound address. Error: AddressInUse.
  core::Result<core::Endpoint> listen(const core::Endpoint& endpoint);
  /// Stops accepting and closes all links.
  void close();

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace lentilrack::net
