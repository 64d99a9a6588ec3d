#include "backends/kv_transport.h"

#include "backends/error.h"
#include "backends/http_json.h"
#include "net/http_status.h"

#include <random>

namespace lentilrack::backends {

namespace {

using core::Clock;
using core::TimePoint;
using Gate = KvBackoff::Gate;

/// How often a waiting call looks whether the service answers again.
constexpr core::Millis kGateCheck{ 10 };

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
  : mHttp(io)
  , mOptions(std::move(options))
  , mRateLimiter(mOptions.callsPerSecond)
  , mBackoff({ mOptions.initialBackoff, mOptions.maxBackoff, mOptions.timeout },
             seedOf(mOptions))
  , mClosed(std::make_shared<net::CancelSignal>())
{
}

net::Awaitable<core::Result<net::HttpResponse>>
KvTransport::call(KvRequest request)
{
  const auto latest = Clock::now() + mOptions.timeout;
  while (!mClosed->cancelled()) {
    const auto gate = co_await enter(latest);
    if (gate == Gate::Wait) {
      break;
    }
    const bool isProbe = gate == Gate::Probe;
    const bool isAllowed = co_await waitForRateLimit(latest);
    if (!isAllowed) {
      co_return make_error_code(BackendError::RateLimited);
    }
    const bool hasFailedMeanwhile = !isProbe && !mBackoff.isOpen();
    if (hasFailedMeanwhile) {
      continue;
    }
    auto attempt = request;
    // A probe must be answered soon, as it holds back other calls.
    const bool isShortened =
      isProbe && request.wait.value_or(core::Millis(0)) > core::Millis(0);
    if (isShortened) {
      attempt.wait = core::Millis(0);
    }
    auto round = co_await tryEndpoints(std::move(attempt), latest);
    if (round.error) {
      mAvailable = false;
      mBackoff.failed(Clock::now(), isProbe);
      co_return round.error;
    }
    noteAnswer(Clock::now());
    const bool isOnlyProbe = isShortened && round.response.status == 204;
    if (!isOnlyProbe) {
      co_return std::move(round.response);
    }
  }
  co_return make_error_code(BackendError::Unavailable);
}

net::Awaitable<Gate>
KvTransport::enter(TimePoint latest)
{
  while (!mClosed->cancelled()) {
    const auto now = Clock::now();
    const auto gate = mBackoff.enter(now);
    if (gate != Gate::Wait) {
      co_return gate;
    }
    const auto next = std::max(mBackoff.retryAt(), now + kGateCheck);
    co_await sleepUntil(std::min(next, latest));
    if (Clock::now() >= latest) {
      break;
    }
  }
  co_return Gate::Wait;
}

net::Awaitable<bool>
KvTransport::waitForRateLimit(TimePoint latest)
{
  const auto sendTime = mRateLimiter.reserve(Clock::now(), latest);
  co_await sleepUntil(sendTime.value_or(latest));
  co_return sendTime.has_value();
}

net::Awaitable<KvTransport::Round>
KvTransport::tryEndpoints(KvRequest request, TimePoint latest)
{
  Round round;
  round.error = BackendError::Unavailable;
  const auto count = mOptions.endpoints.size();
  const auto first = mPreferred;
  for (std::size_t i = 0; i < count; ++i) {
    if (i > 0) {
      const auto soon = std::max(latest, Clock::now() + mOptions.timeout);
      const bool isAllowed = co_await waitForRateLimit(soon);
      if (!isAllowed) {
        co_return round;
      }
    }
    const auto index = (first + i) % count;
    auto result = co_await send(request, index);
    const bool isAnswer = !result.error && result.response.status / 100 != 5;
    if (isAnswer) {
      round.response = std::move(result.response);
      round.error = {};
      co_return round;
    }
    // Calls that fail at the same endpoint together move on by one only.
    if (mPreferred == index) {
      mPreferred = (index + 1) % count;
    }
    const bool isRefused = request.notExecutedOn503 &&
                           result.response.status == net::status::kUnavailable;
    if (result.sent && !request.repeatable && !isRefused) {
      round.error = BackendError::OutcomeUnknown;
      co_return round;
    }
  }
  co_return round;
}

net::Awaitable<net::HttpResult>
KvTransport::send(KvRequest request, std::size_t endpoint)
{
  net::HttpCall call;
  call.endpoint = mOptions.endpoints[endpoint];
  call.timeout = mOptions.timeout + request.wait.value_or(core::Millis(0));
  call.connectTimeout = mOptions.timeout;
  call.cancel = mClosed;
  // On a kept connection that the service has closed, a write would count as
  // possibly sent.
  call.freshConnection = !request.repeatable && !request.mayReuseConnection;
  call.request.method = std::move(request.method);
  call.request.target = std::move(request.target);
  if (request.wait) {
    call.request.target += std::to_string(request.wait->count());
  }
  call.request.body = std::move(request.body);
  if (!call.request.body.empty()) {
    call.request.headers.emplace_back("Content-Type", "application/json");
  }
  ++mCalls;
  co_return co_await mHttp.call(std::move(call));
}

void
KvTransport::noteAnswer(TimePoint now)
{
  mAvailable = true;
  if (!mBackoff.isOpen()) {
    mRateLimiter.discardBurst(now);
  }
  mBackoff.succeeded();
}

} // namespace lentilrack::backends
