#include "net/http_server.h"

#include "net/beast.h"
#include "net/error.h"
#include "net/request_parser.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace lentilrack::net {

namespace {

using asio::ip::tcp;

/// How long the rest of a rejected request is read.
constexpr core::Millis kRejectedReadTime{ 1'000 };
/// Maximum size, in bytes, of received data that has not been parsed yet, in
/// addition to the maximum size of a head. It bounds the size line and
/// extension of a chunk.
constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024;
/// Maximum size, in bytes, of one read from a connection.
constexpr std::size_t kMaxReadBytes = 16UL * 1024;
constexpr std::size_t kFirstReadBytes = 4UL * 1024;

struct Rejection
{
  int status = 400;
  const char* code = "malformed_http";
};

/// Returns the response to a request that RequestParser has refused.
Rejection
rejectionFor(std::error_code error)
{
  if (error == NetError::HeadTooLarge) {
    return { 431, "headers_too_large" };
  }
  if (error == NetError::BodyTooLarge) {
    return { 413, "body_too_large" };
  }
  return {};
}

} // namespace

std::string
HttpExchange::pathParameter(const std::string& name) const
{
  const auto found = mParameters.find(name);
  return found == mParameters.end() ? std::string() : found->second;
}

void
HttpExchange::setPathParameters(std::map<std::string, std::string> parameters)
{
  mParameters = std::move(parameters);
}

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
  State(asio::io_context& context,
        std::function<HttpLimits()> httpLimits,
        HttpHandler handle)
    : io(context)
    , acceptor(context)
    , limits(std::move(httpLimits))
    , handler(std::move(handle))
  {
  }

  asio::io_context& io;
  tcp::acceptor acceptor;
  std::function<HttpLimits()> limits;
  HttpHandler handler;
  std::function<void(const std::string& reason)> onFailure;
  std::set<beast::tcp_stream*> streams;
  /// The members of `streams` that have received no byte of a request yet.
  std::set<beast::tcp_stream*> idleStreams;
  /// Exchanges whose handler has not returned yet.
  std::set<std::shared_ptr<HttpExchange>> exchanges;
  /// Number of exchanges whose request has begun to arrive and whose handler
  /// has not returned yet.
  std::size_t runningExchanges = 0;

  void onAccept(tcp::socket socket);
  Awaitable<void> serve(std::shared_ptr<beast::tcp_stream> stream);
  Awaitable<bool> serveOne(const std::shared_ptr<beast::tcp_stream>& stream,
                           beast::flat_buffer& buffer);
  /// Reads a request. Returns false if the connection has ended or timed out
  /// before the request was complete or refused.
  Awaitable<bool> readRequest(beast::tcp_stream& stream,
                              beast::flat_buffer& buffer,
                              RequestParser& parser);
  Awaitable<void> reject(beast::tcp_stream& stream, Rejection rejection);
  void reportFailure(const std::exception& failure);
};

namespace {

/// Counts an exchange as running until it ends.
class RunningExchange
{
public:
  explicit RunningExchange(std::size_t& count)
    : mCount(&count)
  {
    ++count;
  }
  RunningExchange(const RunningExchange&) = delete;
  RunningExchange& operator=(const RunningExchange&) = delete;
  ~RunningExchange() { end(); }

  void end()
  {
    if (mCount != nullptr) {
      --*std::exchange(mCount, nullptr);
    }
  }

private:
  std::size_t* mCount;
};

/// Detects that the client disconnects while its request is being handled.
class DisconnectMonitor : public std::enable_shared_from_this<DisconnectMonitor>
{
public:
  explicit DisconnectMonitor(std::shared_ptr<beast::tcp_stream> stream)
    : mStream(std::move(stream))
  {
  }

  void start()
  {
    mStream->socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](boost::system::error_code error) {
        self->onReadable(error);
      });
  }

  void stop() { mStopped = true; }
  bool isDisconnected() const { return mDisconnected; }
  void markDisconnected()
  {
    if (!mDisconnected) {
      mDisconnected = true;
      if (mCallback && !mStopped) {
        mCallback();
      }
    }
  }
  void setCallback(std::function<void()> callback)
  {
    mCallback = std::move(callback);
    if (mDisconnected && mCallback) {
      mCallback();
    }
  }

private:
  void onReadable(boost::system::error_code error)
  {
    if (mStopped || error) {
      return;
    }
    char byte = 0;
    mStream->socket().non_blocking(true, error);
    const auto received = mStream->socket().receive(
      asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    const bool hasData = !error && received > 0;
    if (!hasData && error != asio::error::would_block) {
      markDisconnected();
    }
  }

  std::shared_ptr<beast::tcp_stream> mStream;
  std::function<void()> mCallback;
  bool mStopped = false;
  bool mDisconnected = false;
};

class ServerExchange : public HttpExchange
{
public:
  ServerExchange(HttpRequest request,
                 std::shared_ptr<beast::tcp_stream> stream,
                 std::function<HttpLimits()> limits,
                 bool keepAlive)
    : HttpExchange(std::move(request))
    , mStream(std::move(stream))
    , mMonitor(std::make_shared<DisconnectMonitor>(mStream))
    , mLimits(std::move(limits))
    , mWriteTime(mLimits().writeTimeout)
    , mKeepAlive(keepAlive)
  {
    mMonitor->start();
  }

  ~ServerExchange() override { mMonitor->stop(); }
  ServerExchange(const ServerExchange&) = delete;
  ServerExchange& operator=(const ServerExchange&) = delete;

  Awaitable<void> respond(HttpResponse response) override
  {
    if (mStarted) {
      co_return;
    }
    mStarted = true;
    mKeepAlive = mKeepAlive && mLimits().allowKeepAlive;
    http::response<http::string_body> message;
    message.result(static_cast<unsigned>(response.status));
    message.version(11);
    if (!response.contentType.empty()) {
      message.set(http::field::content_type, response.contentType);
    }
    for (const auto& [name, value] : response.headers) {
      message.insert(name, value);
    }
    message.keep_alive(mKeepAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    mEnded = true;
    mStream->expires_after(mWriteTime);
    boost::system::error_code error;
    co_await http::async_write(
      *mStream, message, asio::redirect_error(asio::use_awaitable, error));
    checkWrite(error);
  }

  Awaitable<void> beginStream(int status,
                              std::string contentType,
                              Headers headers) override
  {
    if (mStarted) {
      co_return;
    }
    mStarted = true;
    mKeepAlive = mKeepAlive && mLimits().allowKeepAlive;
    http::response<http::empty_body> message;
    message.result(static_cast<unsigned>(status));
    message.version(11);
    if (!contentType.empty()) {
      message.set(http::field::content_type, contentType);
    }
    for (const auto& [name, value] : headers) {
      message.insert(name, value);
    }
    message.chunked(true);
    message.keep_alive(mKeepAlive);
    http::response_serializer<http::empty_body> serializer(message);
    mStream->expires_after(mWriteTime);
    boost::system::error_code error;
    co_await http::async_write_header(
      *mStream, serializer, asio::redirect_error(asio::use_awaitable, error));
    checkWrite(error);
  }

  Awaitable<bool> write(std::string data) override
  {
    if (mMonitor->isDisconnected() || !mStarted || mEnded || data.empty()) {
      co_return !mMonitor->isDisconnected();
    }
    mStream->expires_after(mWriteTime);
    boost::system::error_code error;
    const asio::const_buffer buffer(data.data(), data.size());
    co_await asio::async_write(
      *mStream,
      http::make_chunk(buffer),
      asio::redirect_error(asio::use_awaitable, error));
    checkWrite(error);
    co_return !mMonitor->isDisconnected();
  }

  Awaitable<void> endStream() override
  {
    if (mMonitor->isDisconnected() || !mStarted || mEnded) {
      co_return;
    }
    mEnded = true;
    mStream->expires_after(mWriteTime);
    boost::system::error_code error;
    co_await asio::async_write(
      *mStream,
      http::make_chunk_last(),
      asio::redirect_error(asio::use_awaitable, error));
    checkWrite(error);
  }

  void abort() override
  {
    mStarted = true;
    boost::system::error_code ignored;
    mStream->socket().shutdown(tcp::socket::shutdown_both, ignored);
    mMonitor->markDisconnected();
  }

  bool isClientDisconnected() const override
  {
    return mMonitor->isDisconnected();
  }
  void onClientDisconnect(std::function<void()> callback) override
  {
    mMonitor->setCallback(std::move(callback));
  }

  bool hasStarted() const { return mStarted; }
  bool hasEnded() const { return mEnded; }
  /// Returns true if the connection can be used for another request.
  bool canBeReused() const
  {
    return mEnded && mKeepAlive && !mMonitor->isDisconnected();
  }
  void finish()
  {
    mMonitor->stop();
    boost::system::error_code ignored;
    mStream->socket().cancel(ignored);
  }

private:
  void checkWrite(boost::system::error_code error)
  {
    if (error) {
      mMonitor->markDisconnected();
    }
  }

  std::shared_ptr<beast::tcp_stream> mStream;
  std::shared_ptr<DisconnectMonitor> mMonitor;
  std::function<HttpLimits()> mLimits;
  core::Millis mWriteTime;
  bool mKeepAlive;
  bool mStarted = false;
  bool mEnded = false;
};

} // namespace

void
HttpServer::State::onAccept(tcp::socket socket)
{
  if (streams.size() >= limits().maxConnections) {
    return;
  }
  spawn(io,
        serve(std::make_shared<beast::tcp_stream>(std::move(socket))),
        shared_from_this());
}

Awaitable<void>
HttpServer::State::serve(std::shared_ptr<beast::tcp_stream> stream)
{
  streams.insert(stream.get());
  beast::flat_buffer buffer;
  bool isReusable = true;
  while (isReusable) {
    // An unexpected error must end this connection and not the process, with
    // all that it does for others.
    try {
      isReusable = co_await serveOne(stream, buffer);
    } catch (const std::exception& failure) {
      isReusable = false;
      reportFailure(failure);
    }
  }
  idleStreams.erase(stream.get());
  streams.erase(stream.get());
  boost::system::error_code ignored;
  stream->socket().shutdown(tcp::socket::shutdown_both, ignored);
  stream->close();
}

Awaitable<bool>
HttpServer::State::serveOne(const std::shared_ptr<beast::tcp_stream>& stream,
                            beast::flat_buffer& buffer)
{
  const auto bounds = limits();
  // A pipelined request may already be in the buffer.
  buffer.max_size(std::max<std::size_t>(
    buffer.size(), std::size_t{ bounds.maxHeaderBytes } + kMaxUnparsedBytes));
  if (buffer.size() == 0) {
    stream->expires_after(bounds.idleTimeout);
    idleStreams.insert(stream.get());
    boost::system::error_code error;
    const auto size = co_await stream->async_read_some(
      buffer.prepare(kFirstReadBytes),
      asio::redirect_error(asio::use_awaitable, error));
    buffer.commit(size);
    idleStreams.erase(stream.get());
    if (error) {
      co_return false;
    }
  }
  RunningExchange running(runningExchanges);
  stream->expires_after(bounds.readTimeout);
  RequestParser parser({ bounds.maxHeaderBytes, bounds.maxBodyBytes });
  const bool isRead = co_await readRequest(*stream, buffer, parser);
  if (!isRead) {
    co_return false;
  }
  if (parser.error()) {
    co_await reject(*stream, rejectionFor(parser.error()));
    co_return false;
  }
  const bool keepAlive = parser.isConnectionReusable();
  stream->expires_never();
  const auto exchange = std::make_shared<ServerExchange>(
    parser.takeRequest(), stream, limits, keepAlive);
  exchanges.insert(exchange);
  bool hasFailed = false;
  try {
    co_await handler(*exchange);
  } catch (const std::exception& failure) {
    hasFailed = true;
    reportFailure(failure);
  }
  exchanges.erase(exchange);
  running.end();
  if (hasFailed && exchange->hasStarted() && !exchange->hasEnded()) {
    // Closes the connection, so that the client does not take the response for
    // complete.
    exchange->abort();
  }
  if (!exchange->hasStarted()) {
    HttpResponse response;
    response.status = 500;
    response.body = R"({"error":"no_answer"})";
    co_await exchange->respond(std::move(response));
  }
  exchange->finish();
  co_return exchange->canBeReused();
}

Awaitable<bool>
HttpServer::State::readRequest(beast::tcp_stream& stream,
                               beast::flat_buffer& buffer,
                               RequestParser& parser)
{
  for (;;) {
    const auto received = buffer.cdata();
    buffer.consume(parser.parse(
      { static_cast<const char*>(received.data()), received.size() }));
    if (parser.error() || parser.isComplete()) {
      co_return true;
    }
    const auto room = buffer.max_size() - buffer.size();
    if (room == 0) {
      co_return false;
    }
    boost::system::error_code error;
    const auto size = co_await stream.async_read_some(
      buffer.prepare(std::min(room, kMaxReadBytes)),
      asio::redirect_error(asio::use_awaitable, error));
    buffer.commit(size);
    if (error) {
      co_return false;
    }
  }
}

void
HttpServer::State::reportFailure(const std::exception& failure)
{
  if (onFailure) {
    onFailure(failure.what());
  }
}

Awaitable<void>
HttpServer::State::reject(beast::tcp_stream& stream, Rejection rejection)
{
  http::response<http::string_body> message(
    static_cast<http::status>(rejection.status), 11);
  message.set(http::field::content_type, "application/json");
  message.keep_alive(false);
  message.body() = std::string(R"({"error":")") + rejection.code + "\"}";
  message.prepare_payload();
  stream.expires_after(limits().writeTimeout);
  boost::system::error_code ignored;
  co_await http::async_write(
    stream, message, asio::redirect_error(asio::use_awaitable, ignored));
  // Reads the rest of the request. Closing a socket with unread data would
  // reset the connection, and the client could lose the response.
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  std::array<char, 4096> rest{};
  stream.expires_after(kRejectedReadTime);
  // The time-out of the stream ends only reads that wait. A client that sends
  // without end would be read for ever.
  const auto end = core::Clock::now() + kRejectedReadTime;
  boost::system::error_code error;
  while (!error && core::Clock::now() < end) {
    co_await stream.async_read_some(
      asio::buffer(rest), asio::redirect_error(asio::use_awaitable, error));
  }
}

HttpServer::HttpServer(asio::io_context& io,
                       HttpLimits limits,
                       HttpHandler handler)
  : mState(std::make_shared<State>(
      io,
      [limits] { return limits; },
      std::move(handler)))
{
}

HttpServer::~HttpServer()
{
  stopAccepting();
  closeAllConnections();
}

core::Result<core::Endpoint>
HttpServer::listen(const core::Endpoint& endpoint)
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
HttpServer::setLimits(std::function<HttpLimits()> limits)
{
  mState->limits = std::move(limits);
}

void
HttpServer::onHandlerFailure(std::function<void(const std::string&)> hook)
{
  mState->onFailure = std::move(hook);
}

void
HttpServer::stopAccepting()
{
  boost::system::error_code ignored;
  mState->acceptor.close(ignored);
}

void
HttpServer::closeIdleConnections()
{
  for (auto* stream : mState->idleStreams) {
    boost::system::error_code ignored;
    // A request that has arrived but has not been read yet is still answered.
    if (stream->socket().available(ignored) == 0) {
      stream->socket().shutdown(tcp::socket::shutdown_both, ignored);
    }
  }
}

void
HttpServer::respondToOpenExchanges(const HttpResponse& response)
{
  for (const auto& exchange : mState->exchanges) {
    spawn(mState->io, exchange->respond(response), exchange);
  }
}

void
HttpServer::closeAllConnections()
{
  for (auto* stream : mState->streams) {
    boost::system::error_code ignored;
    stream->socket().shutdown(tcp::socket::shutdown_both, ignored);
  }
}

std::size_t
HttpServer::activeExchanges() const
{
  return mState->runningExchanges;
}

} // namespace lentilrack::net
