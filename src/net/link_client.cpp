#include "net/error.h"
#include "net/link.h"
#include "net/link_connection.h"

namespace lentilrack::net {

using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{ 1000 };

struct PendingCall
{
  explicit PendingCall(asio::io_context& io)
    : wake(io)
  {
  }

  LinkReply reply;
  bool finished = false;
  std::function<void(const wire::Json&)> onEvent;
  asio::steady_timer wake;

  void finish()
  {
    finished = true;
    wake.cancel();
  }
};

} // namespace

struct LinkClient::State : std::enable_shared_from_this<LinkClient::State>
{
  State(asio::io_context& context,
        LinkIdentity linkIdentity,
        core::Endpoint peerEndpoint)
    : io(context)
    , identity(std::move(linkIdentity))
    , endpoint(std::move(peerEndpoint))
    , connectWake(context)
  {
  }

  asio::io_context& io;
  LinkIdentity identity;
  core::Endpoint endpoint;
  std::shared_ptr<LinkConnection> connection;
  bool connecting = false;
  std::error_code connectError;
  asio::steady_timer connectWake;
  std::uint64_t lastCall = 0;
  std::map<std::uint64_t, std::shared_ptr<PendingCall>> pending;

  Awaitable<std::error_code> ensureConnected();
  Awaitable<void> connect();
  void handleFrame(LinkFrame frame);
  void failAll();
  Awaitable<LinkReply> call(std::string type,
                            wire::Json body,
                            LinkCallOptions options);
};

Awaitable<std::error_code>
LinkClient::State::ensureConnected()
{
  if (connection && connection->isOpen()) {
    co_return std::error_code{};
  }
  if (!connecting) {
    co_await connect();
    co_return connectError;
  }
  while (connecting) {
    // connect() has already set the time at which the timer expires. Setting it
    // again would cancel the waits of other coroutines.
    boost::system::error_code ignored;
    co_await connectWake.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return connectError;
}

Awaitable<void>
LinkClient::State::connect()
{
  const auto self = shared_from_this();
  connecting = true;
  connectWake.expires_at(asio::steady_timer::time_point::max());
  boost::system::error_code error;
  beast::tcp_stream stream(io);
  const auto address = asio::ip::make_address(endpoint.address, error);
  if (!error) {
    stream.expires_after(kConnectTimeout);
    co_await stream.async_connect(
      tcp::endpoint(address, endpoint.port),
      asio::redirect_error(asio::use_awaitable, error));
  }
  if (error) {
    connectError = NetError::ConnectFailed;
  } else {
    stream.expires_never();
    stream.socket().set_option(tcp::no_delay(true), error);
    const auto newConnection =
      std::make_shared<LinkConnection>(stream.release_socket());
    connectError = co_await newConnection->handshakeAsClient(identity);
    if (!connectError) {
      connection = newConnection;
      asio::co_spawn(
        io,
        newConnection->readLoop([weak = weak_from_this()](LinkFrame frame) {
          if (const auto state = weak.lock()) {
            state->handleFrame(std::move(frame));
          }
        }),
        [weak = weak_from_this(), newConnection](const std::exception_ptr&) {
          const auto state = weak.lock();
          if (state && state->connection == newConnection) {
            state->failAll();
          }
        });
    }
  }
  connecting = false;
  connectWake.cancel();
}

void
LinkClient::State::handleFrame(LinkFrame frame)
{
  const auto found = pending.find(frame.call);
  if (found == pending.end()) {
    return;
  }
  const auto call = found->second;
  if (frame.kind == "event") {
    if (call->onEvent) {
      call->onEvent(frame.body);
    }
    return;
  }
  if (frame.kind == "reply") {
    call->reply.body = std::move(frame.body);
  } else {
    call->reply.error = NetError::Rejected;
    call->reply.reason =
      frame.body.is_string() ? frame.body.get<std::string>() : "";
  }
  pending.erase(found);
  call->finish();
}

void
LinkClient::State::failAll()
{
  connection.reset();
  const auto lost = std::move(pending);
  pending.clear();
  for (const auto& [number, call] : lost) {
    call->reply.error = NetError::ConnectionLost;
    call->finish();
  }
}

Awaitable<LinkReply>
LinkClient::State::call(std::string type,
                        wire::Json body,
                        LinkCallOptions options)
{
  const auto self = shared_from_this();
  const auto deadline = core::Clock::now() + options.timeout;
  LinkReply failure;
  failure.error = co_await ensureConnected();
  if (failure.error) {
    co_return failure;
  }
  const auto number = ++lastCall;
  const auto call = std::make_shared<PendingCall>(io);
  call->onEvent = std::move(options.onEvent);
  const auto link = connection;
  if (options.beforeSend && !options.beforeSend(body)) {
    failure.error = NetError::NotStarted;
    co_return failure;
  }
  if (!link ||
      !link->send({ "request", number, std::move(type), std::move(body) })) {
    failure.error = NetError::ConnectFailed;
    co_return failure;
  }
  call->reply.sent = true;
  pending[number] = call;
  int callbackId = 0;
  if (options.cancel) {
    callbackId = options.cancel->addCallback([link, number] {
      link->send({ "cancel", number, "", nullptr });
    });
  }
  call->wake.expires_at(deadline);
  boost::system::error_code ignored;
  if (!call->finished) {
    co_await call->wake.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (options.cancel) {
    options.cancel->removeCallback(callbackId);
  }
  if (!call->finished) {
    pending.erase(number);
    call->reply.error = NetError::TimedOut;
  }
  co_return std::move(call->reply);
}

LinkClient::LinkClient(asio::io_context& io,
                       LinkIdentity identity,
                       core::Endpoint endpoint)
  : mState(
      std::make_shared<State>(io, std::move(identity), std::move(endpoint)))
{
}

LinkClient::~LinkClient()
{
  if (mState->connection) {
    mState->connection->close();
  }
}

Awaitable<LinkReply>
LinkClient::call(std::string type, wire::Json body, LinkCallOptions options)
{
  return mState->call(std::move(type), std::move(body), std::move(options));
}

std::optional<core::ProcessId>
LinkClient::peer() const
{
  return mState->connection ? std::optional(mState->connection->peer())
                            : std::nullopt;
}

LinkPool::LinkPool(asio::io_context& io, LinkIdentity identity)
  : mIo(io)
  , mIdentity(std::move(identity))
{
}

std::shared_ptr<LinkClient>
LinkPool::clientFor(const core::Endpoint& endpoint)
{
  auto& client = mClients[endpoint];
  if (!client) {
    client = std::make_shared<LinkClient>(mIo, mIdentity, endpoint);
  }
  return client;
}

void
LinkPool::removeClient(const core::Endpoint& endpoint)
{
  mClients.erase(endpoint);
}

} // namespace lentilrack::net
