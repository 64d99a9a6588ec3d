#include "backends/kv_transport.h"

#include "backends/error.h"
#include "backends/http_json.h"
#include "net/http_status.h"

#include <random>

namespace lentilrack::backends {

namespace {

using core::Clock;
using core::TimePoint;
using Permission = KvBackoff::Permission;

/// Interval at which a waiting call checks whether the service responds again.
constexpr core::Millis kPermissionPollInterval{ 10 };
/// Maximum size of a response. A page of a listing holds about 1 MB, and one
/// value up to 1 MB, which takes a third more in base64.
constexpr std::size_t kMaxResponseBytes = 16UL * 1024 * 1024;

std::uint64_t
seedOf(const KvClientOptions& options)
{
  return options.seed != 0 ? options.seed : std::random_device{}();
}

net::Awaitable<void>
sleepUntil(TimePoint time)
{
  net::asio::steady_timer timer(co_await net::asio::this_coro::executor, time);
  boost::system::error_code ignored;
  co_await timer.async_wait(
    net::asio::redirect_error(net::asio::use_awaitable, ignored));
}

} // namespace

KvTransport::KvTransport(net::asio::io_context& io, KvClientOptions options)
  : mHttp(io, options.readMemory)
  , mOptions(std::move(options))
  , mRateLimiter(mOptions.callsPerSecond)
  , mBackoff({ mOptions.initialBackoff, mOptions.maxBackoff, mOptions.timeout },
             seedOf(mOptions))
  , mCancel(std::make_shared<net::CancelSignal>())
{
}

net::Awaitable<core::Result<net::HttpResponse>>
KvTransport::call(KvRequest request)
{
  const auto sendDeadline = Clock::now() + mOptions.timeout;
  while (!mCancel->isCancelRequested()) {
    const auto permission = co_await waitForPermission(sendDeadline);
    if (permission == Permission::Denied) {
      break;
    }
    const bool isProbe = permission == Permission::Probe;
    const bool isAllowed = co_await waitForRateLimit(sendDeadline);
    if (!isAllowed) {
      co_return make_error_code(BackendError::RateLimited);
    }
    const bool hasFailedWhileWaiting = !isProbe && !mBackoff.isHealthy();
    if (hasFailedWhileWaiting) {
      continue;
    }
    auto attempt = request;
    // Other calls wait for the result of a probe, so a watch that is a probe is
    // sent with a waiting time of 0.
    const bool isShortened =
      isProbe && request.wait.value_or(core::Millis(0)) > core::Millis(0);
    if (isShortened) {
      attempt.wait = core::Millis(0);
    }
    auto sweep = co_await tryEndpoints(std::move(attempt), sendDeadline);
    if (sweep.error) {
      mIsAvailable = false;
      mBackoff.recordFailure(Clock::now(), isProbe);
      co_return sweep.error;
    }
    recordResponse(Clock::now());
    const bool isProbeOnly = isShortened && sweep.response.status == 204;
    if (!isProbeOnly) {
      co_return std::move(sweep.response);
    }
  }
  co_return make_error_code(BackendError::Unavailable);
}

net::Awaitable<Permission>
KvTransport::waitForPermission(TimePoint sendDeadline)
{
  while (!mCancel->isCancelRequested()) {
    const auto now = Clock::now();
    const auto permission = mBackoff.requestPermission(now);
    if (permission != Permission::Denied) {
      co_return permission;
    }
    const auto next =
      std::max(mBackoff.earliestRetry(), now + kPermissionPollInterval);
    co_await sleepUntil(std::min(next, sendDeadline));
    if (Clock::now() >= sendDeadline) {
      break;
    }
  }
  co_return Permission::Denied;
}

net::Awaitable<bool>
KvTransport::waitForRateLimit(TimePoint sendDeadline)
{
  const auto sendTime = mRateLimiter.reserve(Clock::now(), sendDeadline);
  co_await sleepUntil(sendTime.value_or(sendDeadline));
  co_return sendTime.has_value();
}

net::Awaitable<KvTransport::SweepResult>
KvTransport::tryEndpoints(KvRequest request, TimePoint sendDeadline)
{
  SweepResult sweep;
  sweep.error = BackendError::Unavailable;
  const auto count = mOptions.endpoints.size();
  const auto first = mFirstEndpoint;
  for (std::size_t i = 0; i < count; ++i) {
    if (i > 0) {
      const auto retryDeadline =
        std::max(sendDeadline, Clock::now() + mOptions.timeout);
      const bool isAllowed = co_await waitForRateLimit(retryDeadline);
      if (!isAllowed) {
        co_return sweep;
      }
    }
    const auto index = (first + i) % count;
    auto result = co_await send(request, index);
    const bool isAnswered = !result.error && result.response.status / 100 != 5;
    if (isAnswered) {
      sweep.response = std::move(result.response);
      sweep.error = {};
      co_return sweep;
    }
    // If several calls fail at the same endpoint at the same time, only the
    // first of them changes mFirstEndpoint. If each did, they would skip
    // endpoints that may respond.
    if (mFirstEndpoint == index) {
      mFirstEndpoint = (index + 1) % count;
    }
    // The status of a response that is broken off proves nothing.
    const bool isRefused = request.notExecutedOn503 && !result.error &&
                           result.response.status == net::status::kUnavailable;
    if (result.sent && !request.repeatable && !isRefused) {
      sweep.error = BackendError::OutcomeUnknown;
      co_return sweep;
    }
  }
  co_return sweep;
}

net::Awaitable<net::HttpResult>
KvTransport::send(KvRequest request, std::size_t endpoint)
{
  net::HttpCall call;
  call.endpoint = mOptions.endpoints[endpoint];
  call.timeout = mOptions.timeout + request.wait.value_or(core::Millis(0));
  call.connectTimeout = mOptions.timeout;
  call.cancel = mCancel;
  call.bodyLimit = kMaxResponseBytes;
  // The service may have closed a pooled connection. A write on such a
  // connection would fail with an unknown outcome, so a request that must not
  // be repeated gets a new connection.
  call.useNewConnection = !request.repeatable && !request.mayReuseConnection;
  call.request.method = std::move(request.method);
  call.request.target = std::move(request.target);
  if (request.wait) {
    call.request.target += std::to_string(request.wait->count());
  }
  call.request.body = std::move(request.body);
  if (!call.request.body.empty()) {
    call.request.headers.emplace_back("Content-Type", "application/json");
  }
  ++mCallCount;
  co_return co_await mHttp.call(std::move(call));
}

void
KvTransport::recordResponse(TimePoint now)
{
  mIsAvailable = true;
  if (!mBackoff.isHealthy()) {
    mRateLimiter.discardBurst(now);
  }
  mBackoff.recordSuccess();
}

} // namespace lentilrack::backends
