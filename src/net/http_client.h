#pragma once

#include "net/asio.h"
#include "net/cancel_signal.h"
#include "net/http_types.h"
#include "net/read_memory.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace lentilrack::net {

/// Request and options of HttpClient::call().
struct HttpCall
{
  core::Endpoint endpoint;
  HttpRequest request;
  /// Time-out of the whole call, including reading the response.
  core::Millis timeout{ 5000 };
  core::Millis connectTimeout{ 1000 };
  /// If true, the call opens a new connection. The server may close an idle
  /// connection at any time. If the call reuses such a connection, the client
  /// cannot tell whether the request was received.
  bool useNewConnection = false;
  /// Whether a connection opened for `useNewConnection` is kept for later calls
  /// that may reuse one. Otherwise it is closed after the call.
  bool keepNewConnection = false;
  /// Identifies the request over its repetitions. A connection that has carried
  /// a request with the same key is not used for it: a late second copy of the
  /// response to the earlier request would be taken for the new response. If it
  /// is not set, any connection may be used.
  std::optional<std::string> requestKey;
  /// Maximum size of the response body in bytes.
  std::size_t bodyLimit = 64UL * 1024 * 1024;
  /// Called right before the first byte of the request is written. If it
  /// returns false, the call ends with NotStarted.
  std::function<bool()> beforeFirstByte;
  /// Called when the response header has been read, before any data.
  std::function<void(int status)> onStatus;
  /// Checks status and headers before any data is read. If it returns false,
  /// the call ends with BadMessage and the connection is closed, because the
  /// rest of the response cannot be trusted.
  std::function<bool(const HttpResponse&, bool isConnectionReused)>
    acceptHeader;
  /// Receives the body piece by piece. If it is not set, the body is collected
  /// in HttpResult::response.
  std::function<void(std::string_view)> onData;
  /// Returns how many bytes of this response the receiver of `onData` holds.
  std::function<std::size_t()> heldBytes;
  /// Returns when the receiver of `onData` takes more data. Until then nothing
  /// is read, so that the server has to wait.
  std::function<Awaitable<void>()> waitForReceiver;
  /// When it fires, the connection is closed and the call ends with Cancelled.
  std::shared_ptr<CancelSignal> cancel;
};

struct HttpResult
{
  std::error_code error;
  /// True if any byte of the request may have been written. False proves that
  /// the server did not receive the request.
  bool sent = false;
  /// True if the call reused an idle connection, which the server may have
  /// closed before the request arrived.
  bool reusedConnection = false;
  /// True if any byte was received after the request.
  bool hasReceivedBytes = false;
  /// Has status 0 if no response was received.
  HttpResponse response{ 0, "", {}, "" };

  /// Returns true if a response with a 2xx status was received completely.
  bool isSuccess() const { return !error && response.status / 100 == 2; }
};

/// HTTP/1.1 client that reuses connections.
class HttpClient
{
public:
  /// `readMemory` limits what all responses hold together; without it, the
  /// client has a limit of its own.
  explicit HttpClient(asio::io_context& io,
                      std::shared_ptr<ReadMemory> readMemory = nullptr);
  ~HttpClient();

  /// Sends the request and returns the response or the error.
  Awaitable<HttpResult> call(HttpCall call);
  /// Returns the limit of what responses hold, to be shared with other clients.
  std::shared_ptr<ReadMemory> readMemory() const;
  /// Returns true if there is an idle connection to the endpoint that may still
  /// be reused. The server may have closed it in the meantime.
  bool hasIdleConnection(const core::Endpoint& endpoint) const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace lentilrack::net
