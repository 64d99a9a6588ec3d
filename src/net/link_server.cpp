#include "net/error.h"
#include "net/link.h"
#include "net/link_connection.h"

#include <set>

namespace lentilrack::net {

using asio::ip::tcp;

LinkRequest::LinkRequest(std::string type,
                         wire::Json body,
                         core::ProcessId peer,
                         Send send)
  : mType(std::move(type))
  , mBody(std::move(body))
  , mPeer(std::move(peer))
  , mSend(std::move(send))
  , mCancelSignal(std::make_shared<CancelSignal>())
  , mLinkLostSignal(std::make_shared<CancelSignal>())
{
}

void
LinkRequest::sendEvent(wire::Json body)
{
  if (!mEnded) {
    mSend("event", std::move(body));
  }
}

void
LinkRequest::reply(wire::Json body)
{
  if (!mEnded) {
    mEnded = true;
    mSend("reply", std::move(body));
  }
}

void
LinkRequest::reject(std::string reason)
{
  if (!mEnded) {
    mEnded = true;
    mSend("reject", std::move(reason));
  }
}

struct LinkServer::State : std::enable_shared_from_this<LinkServer::State>
{
  State(asio::io_context& context, LinkIdentity linkIdentity)
    : io(context)
    , identity(std::move(linkIdentity))
    , acceptor(context)
  {
  }

  using Calls = std::map<std::uint64_t, std::shared_ptr<LinkRequest>>;

  asio::io_context& io;
  LinkIdentity identity;
  tcp::acceptor acceptor;
  std::map<std::string, LinkHandler> handlers;
  std::set<std::shared_ptr<LinkConnection>> connections;

  void onAccept(tcp::socket socket);
  Awaitable<void> serve(std::shared_ptr<LinkConnection> connection);
  void handleFrame(const std::shared_ptr<LinkConnection>& connection,
                   const std::shared_ptr<Calls>& calls,
                   LinkFrame frame);
  void startCall(const std::shared_ptr<LinkConnection>& connection,
                 const std::shared_ptr<Calls>& calls,
                 LinkFrame frame);
};

void
LinkServer::State::onAccept(tcp::socket socket)
{
  spawn(io,
        serve(std::make_shared<LinkConnection>(std::move(socket))),
        shared_from_this());
}

Awaitable<void>
LinkServer::State::serve(std::shared_ptr<LinkConnection> connection)
{
  const auto error = co_await connection->handshakeAsServer(identity);
  if (error) {
    co_return;
  }
  connections.insert(connection);
  const auto calls = std::make_shared<Calls>();
  const LinkConnection::FrameHandler onFrame =
    [this, connection, calls](LinkFrame frame) {
      handleFrame(connection, calls, std::move(frame));
    };
  co_await connection->readLoop(onFrame);
  connections.erase(connection);
  const auto lost = std::move(*calls);
  for (const auto& [number, request] : lost) {
    request->linkLostSignal()->cancel();
  }
}

void
LinkServer::State::handleFrame(
  const std::shared_ptr<LinkConnection>& connection,
  const std::shared_ptr<Calls>& calls,
  LinkFrame frame)
{
  if (frame.kind == "request") {
    startCall(connection, calls, std::move(frame));
  } else if (frame.kind == "cancel") {
    const auto found = calls->find(frame.call);
    if (found != calls->end()) {
      const auto request = found->second;
      request->cancelSignal()->cancel();
    }
  }
}

void
LinkServer::State::startCall(const std::shared_ptr<LinkConnection>& connection,
                             const std::shared_ptr<Calls>& calls,
                             LinkFrame frame)
{
  const auto number = frame.call;
  const auto send = [weak = std::weak_ptr(connection),
                     weakCalls = std::weak_ptr(calls),
                     number](const char* kind, wire::Json body) {
    if (const auto link = weak.lock()) {
      link->send({ kind, number, "", std::move(body) });
    }
    const auto open = weakCalls.lock();
    if (open && std::string_view(kind) != "event") {
      open->erase(number);
    }
  };
  const auto request = std::make_shared<LinkRequest>(
    frame.type, std::move(frame.body), connection->peer(), send);
  const auto handler = handlers.find(frame.type);
  if (handler == handlers.end()) {
    request->reject("unknown message type \"" + frame.type + "\"");
    return;
  }
  (*calls)[number] = request;
  spawn(io, handler->second(request));
}

LinkServer::LinkServer(asio::io_context& io, LinkIdentity identity)
  : mState(std::make_shared<State>(io, std::move(identity)))
{
}

LinkServer::~LinkServer()
{
  close();
}

void
LinkServer::registerHandler(std::string type, LinkHandler handler)
{
  mState->handlers[std::move(type)] = std::move(handler);
}

core::Result<core::Endpoint>
LinkServer::listen(const core::Endpoint& endpoint)
{
  auto& acceptor = mState->acceptor;
  if (!listenOn(acceptor, endpoint)) {
    return make_error_code(NetError::AddressInUse);
  }
  auto* state = mState.get();
  const auto take = [state](tcp::socket socket) {
    state->onAccept(std::move(socket));
  };
  spawn(mState->io, acceptConnections(acceptor, take), mState);
  return core::Endpoint{ endpoint.address, acceptor.local_endpoint().port() };
}

void
LinkServer::close()
{
  boost::system::error_code ignored;
  mState->acceptor.close(ignored);
  const auto open = mState->connections;
  for (const auto& connection : open) {
    connection->close();
  }
}

} // namespace lentilrack::net
