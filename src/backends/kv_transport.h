#pragma once

#include "backends/kv_backoff.h"
#include "backends/kv_client.h"
#include "backends/kv_rate_limiter.h"
#include "net/http_client.h"

namespace lentilrack::backends {

/// A request to the key-value service.
struct KvRequest
{
  std::string method;
  std::string target;
  std::string body;
  /// True if the request may be sent again when no response was received.
  bool repeatable = true;
  /// True if a request that is not repeatable may use an open connection of the
  /// pool. If the service has closed that connection, the outcome of the
  /// request is unknown. Set only for writes that do no harm when they take
  /// effect late or twice.
  bool mayReuseConnection = false;
  /// True if status 503 proves that the request was not executed.
  bool notExecutedOn503 = false;
  /// How long the service may wait for a change before it responds to a watch.
  /// Appended to the target, in milliseconds.
  std::optional<core::Millis> wait;
};

/// Sends requests to the endpoints of the key-value service, one after the
/// other until one responds. Applies the rate limit and the backoff.
class KvTransport
{
public:
  KvTransport(net::asio::io_context& io, KvClientOptions options);

  /// Sends a request and returns the response, which has a status below 500.
  /// Errors:
  /// - Unavailable if no endpoint responded. A request that is not repeatable
  ///   was not executed in this case.
  /// - OutcomeUnknown if a request that is not repeatable may have been
  ///   executed.
  /// - RateLimited if this client's rate limit did not allow the request in
  ///   time.
  net::Awaitable<core::Result<net::HttpResponse>> call(KvRequest request);

  /// Cancels all calls and refuses new ones.
  void close() { mCancel->cancel(); }
  /// True if the last call got a response.
  bool isAvailable() const { return mIsAvailable; }
  /// Number of requests sent so far, including retries.
  std::uint64_t callCount() const { return mCallCount; }

private:
  /// Result of trying each endpoint once, until one of them responds.
  struct SweepResult
  {
    net::HttpResponse response;
    std::error_code error;
  };

  /// Waits until the backoff permits a call. Returns Denied if no call is
  /// permitted before `sendDeadline`.
  net::Awaitable<KvBackoff::Permission> waitForPermission(
    core::TimePoint sendDeadline);
  /// Waits until the rate limit allows a call. Returns false if no call is
  /// allowed before `sendDeadline`.
  net::Awaitable<bool> waitForRateLimit(core::TimePoint sendDeadline);
  net::Awaitable<SweepResult> tryEndpoints(KvRequest request,
                                           core::TimePoint sendDeadline);
  net::Awaitable<net::HttpResult> send(KvRequest request, std::size_t endpoint);
  void recordResponse(core::TimePoint now);

  net::HttpClient mHttp;
  KvClientOptions mOptions;
  KvRateLimiter mRateLimiter;
  KvBackoff mBackoff;
  std::shared_ptr<net::CancelSignal> mCancel;
  /// Index of the endpoint that is tried first.
  std::size_t mFirstEndpoint = 0;
  bool mIsAvailable = false;
  std::uint64_t mCallCount = 0;
};

} // namespace lentilrack::backends
