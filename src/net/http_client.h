#pragma once

#include "net/asio.h"
#include "net/cancel_signal.h"
#include "net/http_types.h"

#include <functional>
#include <memory>
#include <string_view>
#include <system_error>

namespace lentilrack::net {

/// One call to an HTTP server and how to make it.
struct HttpCall
{
  core::Endpoint endpoint;
  HttpRequest request;
  /// Limit for the whole call, answer included.
  core::Millis timeout{ 5000 };
  core::Millis connectTimeout{ 1000 };
  /// Uses a connection of its own. A kept connection may have been closed by
  /// the server without notice, after which it cannot be told whether the
  /// request arrived.
  bool useNewConnection = false;
  std::size_t bodyLimit = 64UL * 1024 * 1024;
  /// Asked right before the first byte is written; false gives NotStarted.
  std::function<bool()> beforeFirstByte;
  /// Called once the status is known, before any data.
  std::function<void(int status)> onStatus;
  /// Sees status and headers before any data; false ends the call with
  /// BadMessage and closes the connection, on which nothing can be trusted.
  std::function<bool(const HttpResponse&)> acceptHeader;
  /// Receives the body in pieces; without it the body is collected.
  std::function<void(std::string_view)> onData;
  /// Closes the connection and ends the call with Cancelled.
  std::shared_ptr<CancelSignal> cancel;
};

struct HttpResult
{
  std::error_code error;
  /// Whether any byte of the request may have been written. False proves that
  /// the server did not see it.
  bool sent = false;
  /// Whether the call went over a kept connection, which the server may have
  /// closed before the request arrived.
  bool reusedConnection = false;
  /// Status 0 if no answer came.
  HttpResponse response{ 0, "", {}, "" };

  bool isSuccess() const { return !error && response.status / 100 == 2; }
};

/// HTTP/1.1 client with kept connections.
class HttpClient
{
public:
  explicit HttpClient(asio::io_context& io);
  ~HttpClient();

  Awaitable<HttpResult> call(HttpCall call);

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace lentilrack::net
