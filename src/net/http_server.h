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

/// Limits that protect the server from slow clients and large requests.
struct HttpLimits
{
  std::uint64_t maxBodyBytes = 1024 * 1024;
  std::uint32_t maxHeaderBytes = 16 * 1024;
  /// Time-out for reading a request, counted from its first byte.
  core::Millis readTimeout{ 10'000 };
  /// Time after which a connection is closed if no byte of a request arrives.
  core::Millis idleTimeout{ 60'000 };
  /// Time after which a write fails because the client does not read.
  core::Millis writeTimeout{ 30'000 };
  std::size_t maxConnections = 10'000;
  /// False while the process shuts down; each connection is then closed after
  /// its next response.
  bool allowKeepAlive = true;
};

/// A request and its response. The handler calls either respond(), or
/// beginStream(), write() any number of times and endStream().
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  const HttpRequest& request() const { return mRequest; }
  /// Replaces the headers of the request, for example to remove credentials
  /// once they have been checked.
  void setRequestHeaders(Headers headers)
  {
    mRequest.headers = std::move(headers);
  }
  /// Returns the part of the path that matched ":name" or "*" of the route;
  /// empty if there is none.
  std::string pathParameter(const std::string& name) const;
  void setPathParameters(std::map<std::string, std::string> parameters);

  /// Sends a complete response; does nothing if a response has been started.
  virtual Awaitable<void> respond(HttpResponse response) = 0;
  /// Sends the header of a chunked response.
  virtual Awaitable<void> beginStream(int status,
                                      std::string contentType,
                                      Headers headers = {}) = 0;
  /// Sends a chunk. Returns false if the client has disconnected; further
  /// writes do nothing.
  virtual Awaitable<bool> write(std::string data) = 0;
  /// Ends the chunked response. Without this call, the client sees a truncated
  /// response.
  virtual Awaitable<void> endStream() = 0;

  /// Closes the connection immediately; the client sees a truncated response or
  /// none.
  virtual void abort() = 0;

  /// Returns true if the client has closed the connection or a write failed.
  virtual bool isClientDisconnected() const = 0;
  /// Sets the callback that is called once when the client disconnects during
  /// the exchange.
  virtual void onClientDisconnect(std::function<void()> callback) = 0;

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
  /// Sets a function that returns the limits. It is called for each request, so
  /// that the limits can change at run time.
  void setLimits(std::function<HttpLimits()> limits);
  /// Sets a function that is called with the reason when the handler throws an
  /// exception. Such an exception ends only its own exchange: the client gets
  /// status 500, or the connection is closed if a stream has begun.
  void onHandlerFailure(std::function<void(const std::string& reason)> hook);
  ~HttpServer();

  /// Binds and starts accepting. With port 0 the kernel chooses the port.
  /// Returns the bound address. Error: AddressInUse.
  core::Result<core::Endpoint> listen(const core::Endpoint& endpoint);
  /// Stops accepting connections; exchanges in progress continue.
  void stopAccepting();
  /// Closes the connections on which no byte of a request has arrived.
  void closeIdleConnections();
  /// Sends this response to each request whose handler has sent none yet. What
  /// the handler sends later is ignored.
  void respondToOpenExchanges(const HttpResponse& response);
  /// Closes all connections, including those with a request in progress.
  void closeAllConnections();
  /// Returns the number of exchanges whose request has begun to arrive and
  /// whose handler has not returned.
  std::size_t activeExchanges() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace lentilrack::net
