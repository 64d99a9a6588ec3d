#pragma once

#include "core/result.h"
#include "net/asio.h"
#include "net/http_types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lentilrack::net {

/// Limits that protect the server from its clients.
struct HttpLimits
{
  std::uint64_t maxBodyBytes = 1024 * 1024;
  std::uint32_t maxHeaderBytes = 16 * 1024;
  /// Longest time for reading one request once its first byte has come.
  core::Millis readTimeout{ 10'000 };
  /// Longest time a connection may stay without a request.
  core::Millis idleTimeout{ 60'000 };
  /// Longest time for one write to a client that does not read.
  core::Millis writeTimeout{ 30'000 };
  std::size_t maxConnections = 10'000;
  /// False ends each connection with its next answer, for a leaving process.
  bool allowKeepAlive = true;
};

/// One request and the way to answer it: either respond(), or beginStream(),
/// write() any number of times and endStream().
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  const HttpRequest& request() const { return mRequest; }
  /// The part of the path that matched ":name" or "*" of the route.
  std::string pathParameter(const std::string& name) const;
  void setPathParameters(std::map<std::string, std::string> parameters);

  virtual Awaitable<void> respond(HttpResponse response) = 0;
  virtual Awaitable<void> beginStream(int status,
                                      std::string contentType,
                                      Headers headers = {}) = 0;
  /// False if the client is gone; further writes do nothing.
  virtual Awaitable<bool> write(std::string data) = 0;
  /// Ends the stream; without it the client sees a broken answer.
  virtual Awaitable<void> endStream() = 0;

  /// Closes the connection at once; the client sees a broken answer, or none.
  virtual void abort() = 0;

  virtual bool isClientDisconnected() const = 0;
  /// Called once when the client closes the connection during the exchange.
  virtual void onClientDisconnect(std::function<void()> hook) = 0;

protected:
  explicit HttpExchange(HttpRequest request)
    : mRequest(std::move(request))
  {
  }

private:
  HttpRequest mRequest;
  std::map<std::string, std::string> mParameters;
};

using HttpHandler = std::function<Awaitable<void>(HttpExchange&)>;

/// HTTP/1.1 server on one address.
class HttpServer
{
public:
  HttpServer(asio::io_context& io, HttpLimits limits, HttpHandler handler);
  /// Limits that may change; they are asked for before each request.
  void setLimits(std::function<HttpLimits()> limits);
  ~HttpServer();

  /// Binds and starts to accept. Port 0 lets the kernel choose; the result is
  /// the bound address. Error: AddressInUse.
  core::Result<core::Endpoint> listen(const core::Endpoint& endpoint);
  /// Stops accepting; exchanges that run go on.
  void stopAccepting();
  /// Closes the connections that have no request.
  void closeIdleConnections();
  /// Closes all connections.
  void closeAllConnections();
  /// Exchanges that have not been answered yet.
  std::size_t activeExchanges() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace lentilrack::net
