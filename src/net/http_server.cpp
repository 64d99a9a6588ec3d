#include "net/http_server.h"

#include "net/beast.h"
#include "net/error.h"

#include <array>
#include <set>

namespace lentilrack::net {

namespace {

using asio::ip::tcp;

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
  std::set<beast::tcp_stream*> streams;
  /// Those of `streams` on which no byte of a request has come.
  std::set<beast::tcp_stream*> idle;
  std::size_t active = 0;

  void take(tcp::socket socket);
  Awaitable<void> serve(std::shared_ptr<beast::tcp_stream> stream);
  Awaitable<bool> serveOne(const std::shared_ptr<beast::tcp_stream>& stream,
                           beast::flat_buffer& buffer);
  Awaitable<void> refuse(beast::tcp_stream& stream,
                         int status,
                         const char* code);
};

namespace {

/// Watches a socket for the client's end while its request is worked on.
class ClientWatch : public std::enable_shared_from_this<ClientWatch>
{
public:
  explicit ClientWatch(std::shared_ptr<beast::tcp_stream> stream)
    : mStream(std::move(stream))
  {
  }

  void start()
  {
    mStream->socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](boost::system::error_code error) {
        self->readable(error);
      });
  }

  void stop() { mStopped = true; }
  bool gone() const { return mGone; }
  void markGone()
  {
    if (!mGone) {
      mGone = true;
      if (mHook && !mStopped) {
        mHook();
      }
    }
  }
  void setHook(std::function<void()> hook)
  {
    mHook = std::move(hook);
    if (mGone && mHook) {
      mHook();
    }
  }

private:
  void readable(boost::system::error_code error)
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
      markGone();
    }
  }

  std::shared_ptr<beast::tcp_stream> mStream;
  std::function<void()> mHook;
  bool mStopped = false;
  bool mGone = false;
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
    , mWatch(std::make_shared<ClientWatch>(mStream))
    , mLimits(std::move(limits))
    , mWriteTime(mLimits().writeTimeout)
    , mKeepAlive(keepAlive)
  {
    mWatch->start();
  }

  ~ServerExchange() override { mWatch->stop(); }
  ServerExchange(const ServerExchange&) = delete;
  ServerExchange& operator=(const ServerExchange&) = delete;

  Awaitable<void> respond(HttpResponse response) override
  {
    if (mBegun) {
      co_return;
    }
    mBegun = true;
    mEnded = true;
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
    mStream->expires_after(mWriteTime);
    boost::system::error_code error;
    co_await http::async_write(
      *mStream, message, asio::redirect_error(asio::use_awaitable, error));
    noteWrite(error);
  }

  Awaitable<void> beginStream(int status,
                              std::string contentType,
                              Headers headers) override
  {
    if (mBegun) {
      co_return;
    }
    mBegun = true;
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
    noteWrite(error);
  }

  Awaitable<bool> write(std::string data) override
  {
    if (mWatch->gone() || !mBegun || mEnded || data.empty()) {
      co_return !mWatch->gone();
    }
    mStream->expires_after(mWriteTime);
    boost::system::error_code error;
    const asio::const_buffer buffer(data.data(), data.size());
    co_await asio::async_write(
      *mStream,
      http::make_chunk(buffer),
      asio::redirect_error(asio::use_awaitable, error));
    noteWrite(error);
    co_return !mWatch->gone();
  }

  Awaitable<void> endStream() override
  {
    if (mWatch->gone() || !mBegun || mEnded) {
      co_return;
    }
    mEnded = true;
    mStream->expires_after(mWriteTime);
    boost::system::error_code error;
    co_await asio::async_write(
      *mStream,
      http::make_chunk_last(),
      asio::redirect_error(asio::use_awaitable, error));
    noteWrite(error);
  }

  void abort() override
  {
    mBegun = true;
    boost::system::error_code ignored;
    mStream->socket().shutdown(tcp::socket::shutdown_both, ignored);
    mWatch->markGone();
  }

  bool isClientDisconnected() const override { return mWatch->gone(); }
  void onClientDisconnect(std::function<void()> hook) override
  {
    mWatch->setHook(std::move(hook));
  }

  bool begun() const { return mBegun; }
  /// Whether the connection can take another request.
  bool reusable() const { return mEnded && mKeepAlive && !mWatch->gone(); }
  void finish()
  {
    mWatch->stop();
    boost::system::error_code ignored;
    mStream->socket().cancel(ignored);
  }

private:
  void noteWrite(boost::system::error_code error)
  {
    if (error) {
      mWatch->markGone();
    }
  }

  std::shared_ptr<beast::tcp_stream> mStream;
  std::shared_ptr<ClientWatch> mWatch;
  std::function<HttpLimits()> mLimits;
  core::Millis mWriteTime;
  bool mKeepAlive;
  bool mBegun = false;
  bool mEnded = false;
};

HttpRequest
fromBeast(http::request<http::string_body> message)
{
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.emplace_back(std::string(field.name_string()),
                                 std::string(field.value()));
  }
  request.body = std::move(message.body());
  return request;
}

} // namespace

void
HttpServer::State::take(tcp::socket socket)
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
    isReusable = co_await serveOne(stream, buffer);
  }
  streams.erase(stream.get());
  boost::system::error_code ignored;
  stream->socket().shutdown(tcp::socket::shutdown_both, ignored);
  stream->close();
}

Awaitable<bool>
HttpServer::State::serveOne(const std::shared_ptr<beast::tcp_stream>& stream,
                            beast::flat_buffer& buffer)
{
  boost::system::error_code error;
  http::request_parser<http::string_body> parser;
  const auto bounds = limits();
  parser.body_limit(bounds.maxBodyBytes);
  parser.header_limit(bounds.maxHeaderBytes);
  if (buffer.size() == 0) {
    stream->expires_after(bounds.idleTimeout);
    idle.insert(stream.get());
    const auto size = co_await stream->async_read_some(
      buffer.prepare(4096), asio::redirect_error(asio::use_awaitable, error));
    buffer.commit(size);
    idle.erase(stream.get());
    if (error) {
      co_return false;
    }
  }
  stream->expires_after(bounds.readTimeout);
  co_await http::async_read(
    *stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
  if (error == http::error::body_limit) {
    co_await refuse(*stream, 413, "body_too_large");
  } else if (error == http::error::header_limit) {
    co_await refuse(*stream, 431, "headers_too_large");
  } else if (error == beast::error::timeout) {
    co_return false;
  } else if (error && error != http::error::end_of_stream &&
             error != http::error::partial_message) {
    co_await refuse(*stream, 400, "malformed_http");
  }
  if (error) {
    co_return false;
  }
  const bool keepAlive = parser.get().keep_alive();
  stream->expires_never();
  ServerExchange exchange(
    fromBeast(parser.release()), stream, limits, keepAlive);
  ++active;
  co_await handler(exchange);
  --active;
  if (!exchange.begun()) {
    HttpResponse response;
    response.status = 500;
    response.body = R"({"error":"no_answer"})";
    co_await exchange.respond(std::move(response));
  }
  exchange.finish();
  co_return exchange.reusable();
}

Awaitable<void>
HttpServer::State::refuse(beast::tcp_stream& stream,
                          int status,
                          const char* code)
{
  http::response<http::string_body> message(static_cast<http::status>(status),
                                            11);
  message.set(http::field::content_type, "application/json");
  message.keep_alive(false);
  message.body() = std::string(R"({"error":")") + code + "\"}";
  message.prepare_payload();
  stream.expires_after(limits().writeTimeout);
  boost::system::error_code ignored;
  co_await http::async_write(
    stream, message, asio::redirect_error(asio::use_awaitable, ignored));
  // Reads what is left, so that the reply is not lost to a reset.
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  std::array<char, 4096> rest{};
  stream.expires_after(std::chrono::seconds(1));
  boost::system::error_code error;
  while (!error) {
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
    state->take(std::move(socket));
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
HttpServer::stopAccepting()
{
  boost::system::error_code ignored;
  mState->acceptor.close(ignored);
}

void
HttpServer::closeIdleConnections()
{
  for (auto* stream : mState->idle) {
    boost::system::error_code ignored;
    stream->socket().shutdown(tcp::socket::shutdown_both, ignored);
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
  return mState->active;
}

} // namespace lentilrack::net
