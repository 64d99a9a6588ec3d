#pragma once

#include "backends/kv_backoff.h"
#include "backends/kv_client.h"
#include "backends/kv_rate_limiter.h"
#include "net/http_client.h"

namespace lentilrack::backends {

/// One call to the key-value service.
struct KvRequest
{
  std::string method;
  std::string target;
  std::string body;
  /// May be sent again when no answer came.
  bool repeatable = true;
  /// A write that is harmless when it is done late or twice may use a kept
  /// connection; its outcome is then unknown if the service has closed it.
  bool mayReuseConnection = false;
  /// The status 503 proves that nothing was done.
  bool notExecutedOn503 = false;
  /// How long the service may hold a watch. It is appended to the target.
  std::optional<core::Millis> wait;
};

/// Sends calls to the endpoints of the key-value service in turn, within the
/// call budget and the backoff.
class KvTransport
{
public:
  KvTransport(net::asio::io_context& io, KvClientOptions options);

  /// The answer with any status below 500. Errors: Unavailable (a call that is
  /// not repeatable was certainly not sent), OutcomeUnknown (it may have been),
  /// RateLimited (own budget).
  net::Awaitable<core::Result<net::HttpResponse>> call(KvRequest request);

  /// Ends all calls.
  void close() { mCancel->cancel(); }
  bool isAvailable() const { return mAvailable; }
  std::uint64_t callCount() const { return mCalls; }

private:
  /// What one round over the endpoints gave.
  struct Round
  {
    net::HttpResponse response;
    std::error_code error;
  };

  net::Awaitable<KvBackoff::Permission> waitForPermission(
    core::TimePoint sendDeadline);
  /// False if the budget allows no call before `sendDeadline`.
  net::Awaitable<bool> waitForRateLimit(core::TimePoint sendDeadline);
  net::Awaitable<Round> tryEndpoints(KvRequest request,
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
  bool mAvailable = false;
  std::uint64_t mCalls = 0;
};

} // namespace lentilrack::backends
