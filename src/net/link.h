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

/// Authenticated links between processes of lentilrack: WebSocket over TCP
/// with one CBOR object per frame. A call has one request, any number of
/// events back, and one reply.
namespace lentilrack::net {

/// What both ends of a link prove and tell each other at its start.
struct LinkIdentity
{
  core::ProcessId self;
  /// Shared by all processes of a deployment; never logged or sent.
  std::string secret;
};

struct LinkCallOptions
{
  core::Millis timeout{ 5000 };
  std::function<void(const wire::Json&)> onEvent;
  /// Asks the peer to cancel. The call still ends with the peer's reply.
  std::shared_ptr<CancelSignal> cancel;
  /// Asked right before the request is queued, when the link is connected; may
  /// change the body. False ends the call with NotStarted.
  std::function<bool(wire::Json& body)> beforeSend;
};

struct LinkReply
{
  /// ConnectFailed, NotAuthenticated, ConnectionLost, TimedOut or Rejected.
  std::error_code error;
  /// Whether the request may have reached the peer.
  bool sent = false;
  wire::Json body;
  /// The peer's words if it rejected the call.
  std::string reason;
};

/// Link to one address; connects when it is first used and again after a loss.
class LinkClient
{
public:
  LinkClient(asio::io_context& io,
             LinkIdentity identity,
             core::Endpoint endpoint);
  ~LinkClient();

  Awaitable<LinkReply> call(std::string type,
                            wire::Json body,
                            LinkCallOptions options = {});

  /// Identity of the peer of the present connection, if there is one.
  std::optional<core::ProcessId> peer() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

/// Links to many addresses; one LinkClient for each.
class LinkPool
{
public:
  LinkPool(asio::io_context& io, LinkIdentity identity);

  /// The client stays valid while the caller keeps the pointer.
  std::shared_ptr<LinkClient> clientFor(const core::Endpoint& endpoint);
  /// Forgets an address; calls that run end first.
  void removeClient(const core::Endpoint& endpoint);
  std::size_t size() const { return mClients.size(); }

private:
  asio::io_context& mIo;
  LinkIdentity mIdentity;
  std::map<core::Endpoint, std::shared_ptr<LinkClient>> mClients;
};

/// A call that a peer made, and the way to answer it. It may outlive the
/// handler. Exactly one of reply() and reject() ends the call.
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

  void sendEvent(wire::Json body);
  void reply(wire::Json body);
  void reject(std::string reason);

  /// Fires when the peer asks to cancel the call.
  const std::shared_ptr<CancelSignal>& cancelSignal() const
  {
    return mCancelled;
  }
  /// Fires when the link is lost before the call has ended.
  const std::shared_ptr<CancelSignal>& linkLostSignal() const
  {
    return mLinkLost;
  }
  bool hasEnded() const { return mEnded; }

private:
  std::string mType;
  wire::Json mBody;
  core::ProcessId mPeer;
  Send mSend;
  std::shared_ptr<CancelSignal> mCancelled;
  std::shared_ptr<CancelSignal> mLinkLost;
  bool mEnded = false;
};

using LinkHandler =
  std::function<Awaitable<void>(std::shared_ptr<LinkRequest>)>;

/// Accepts links and passes calls to the handler of their type.
class LinkServer
{
public:
  LinkServer(asio::io_context& io, LinkIdentity identity);
  ~LinkServer();

  /// Must be called before listen(). A call of an unknown type is rejected.
  void registerHandler(std::string type, LinkHandler handler);
  /// Port 0 lets the kernel choose. Error: AddressInUse.
  core::Result<core::Endpoint> listen(const core::Endpoint& endpoint);
  void close();

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace lentilrack::net
