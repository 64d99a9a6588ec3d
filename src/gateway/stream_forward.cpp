#include "gateway/stream_forward.h"

#include "core/decimal.h"
#include "gateway/attempt_outcome.h"
#include "net/http_status.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;

constexpr Millis kConnectTimeout{ 250 };
/// A resumable stream is moved to another server if it receives no data for
/// this time. The limit is below the 2 s after which callers abandon a stream.
constexpr Millis kMaxSilence{ 1'200 };
constexpr Millis kSilenceCheckInterval{ 200 };
constexpr Millis kRefusalRetryDelay{ 15 };
constexpr Millis kRetryAfter{ 200 };
constexpr int kMaxRefusals = 12;
/// Size, in bytes, of the events waiting for the caller at which nothing more
/// is read from the server.
constexpr std::size_t kMaxQueuedBytes = 64UL * 1024;

} // namespace

StreamForward::StreamForward(Context& context,
                             net::HttpExchange& exchange,
                             net::HttpRequest request,
                             const core::Route& route)
  : mContext(context)
  , mExchange(exchange)
  , mRequest(std::move(request))
  , mRequestId(mRequest.header(context.format.headers().requestId))
  , mRouteName(route.name)
  , mService(route.pickService(context.uniformRandom()))
  , mIsResumable(route.resumable)
  , mMaxAttempts(std::max(1, route.maxAttempts))
  , mDeadline(Clock::now() + Forwarder::timeBudget(context, exchange, route))
  , mChanged(context.io)
{
  const auto after = mRequest.header(context.format.headers().lastEvent);
  mLastEvent = core::parseDecimal<std::int64_t>(after).value_or(0);
  mIsRunRecorded = mLastEvent > 0;
}

void
StreamForward::recordRun(core::TimePoint beganAt)
{
  if (!std::exchange(mIsRunRecorded, true)) {
    mContext.recordRun(mRequest.header(mContext.format.headers().organisation),
                       beganAt);
  }
}

Millis
StreamForward::timeLeft() const
{
  return std::chrono::duration_cast<Millis>(mDeadline - Clock::now());
}

bool
StreamForward::canRetry() const
{
  const bool isAllowed = mIsResumable || !mMayHaveExecuted;
  return isAllowed && mAttempts < mMaxAttempts && mRefusals < kMaxRefusals;
}

bool
StreamForward::wasNotExecuted(const Attempt& attempt) const
{
  return provesNotExecuted(
    classifyAttempt(attempt.result, mContext.format.headers()));
}

net::Awaitable<void>
StreamForward::run()
{
  const auto start = Clock::now();
  mExchange.onClientDisconnect([this] {
    mIsCallerGone = true;
    mChanged.notify();
  });
  while (!mIsDone && !mIsCallerGone && timeLeft() > Millis(0) && canRetry() &&
         !mContext.stopping->isCancelRequested()) {
    const auto attempt = startAttempt();
    if (!attempt) {
      const auto permitWait = waitForPermit(start);
      if (!permitWait) {
        break;
      }
      co_await mChanged.wait(*permitWait);
      continue;
    }
    co_await relayEvents(attempt);
    // Anything but a proof to the contrary means that the server may have
    // executed the request, whatever has ended the attempt.
    mMayHaveExecuted =
      mMayHaveExecuted || !attempt->isEnded || !wasNotExecuted(*attempt);
    if (mMayHaveExecuted) {
      recordRun(attempt->startedAt);
    }
    attempt->cancel->cancel();
    if (mIsDone || mIsCallerGone) {
      break;
    }
    recordAttempt(*attempt);
    co_await net::sleepFor(kRefusalRetryDelay);
  }
  mExchange.onClientDisconnect({});
  if (!mIsDone) {
    co_await endWithError();
  }
  mContext.log.info(
    "stream",
    { { "request", mRequestId },
      { "route", mRouteName },
      { "service", mService },
      { "attempts", mAttempts },
      { "last_event", mLastEvent },
      { "took_ms",
        std::chrono::duration<double, std::milli>(Clock::now() - start)
          .count() },
      { "outcome", mIsCallerGone ? "caller_gone" : mReason } });
  mContext.metrics.increment("streams_total");
}

core::ServerRequirements
StreamForward::requirements() const
{
  core::ServerRequirements requirements;
  requirements.service = mService;
  requirements.preferredDomain = mContext.settings.failureDomain;
  requirements.needsNewConnection = !mIsResumable;
  return requirements;
}

std::optional<Millis>
StreamForward::waitForPermit(core::TimePoint start)
{
  const auto now = Clock::now();
  const auto next = mContext.registry.nextPermitTime(requirements(), now);
  if (!next) {
    return std::nullopt;
  }
  const auto wait = core::waitForPermit(*next, start, mDeadline, now);
  if (!wait) {
    mReason = "request_rate";
    mRetryAfter = std::chrono::duration_cast<Millis>(*next - now);
  }
  return wait;
}

std::shared_ptr<StreamForward::Attempt>
StreamForward::startAttempt()
{
  const auto now = Clock::now();
  auto required = requirements();
  required.exclude = mTriedServers;
  auto* server =
    mContext.registry.choose(required, now, mContext.uniformRandom());
  if (server == nullptr && !mTriedServers.empty()) {
    required.exclude.clear();
    server = mContext.registry.choose(required, now, mContext.uniformRandom());
  }
  if (server == nullptr) {
    mReason = "no_server";
    return nullptr;
  }
  mTriedServers.insert(server->entry.id);
  ++mAttempts;
  auto attempt = std::make_shared<Attempt>(
    mContext.io, mContext.format.headers().weightVersionField);
  attempt->server = server->entry;
  attempt->startedAt = now;
  attempt->lastActivity = now;
  mContext.registry.requestStarted(server->entry);
  net::spawn(mContext.io, request(attempt), shared_from_this());
  return attempt;
}

net::Awaitable<void>
StreamForward::request(std::shared_ptr<Attempt> attempt)
{
  const auto& names = mContext.format.headers();
  net::HttpCall call;
  call.endpoint = attempt->server.endpoint;
  call.request = mRequest;
  call.connectTimeout = kConnectTimeout;
  call.timeout = timeLeft();
  call.useNewConnection = !mIsResumable;
  call.cancel = attempt->cancel;
  std::erase_if(call.request.headers, [&](const auto& header) {
    return !net::headerValue({ header }, names.lastEvent).empty();
  });
  auto& headers = call.request.headers;
  headers.emplace_back(names.timeLeft, std::to_string(timeLeft().count()));
  headers.emplace_back(names.expectedServer, attempt->server.id);
  if (mLastEvent > 0) {
    headers.emplace_back(names.lastEvent, std::to_string(mLastEvent));
  }
  call.acceptHeader = [this, attempt](const net::HttpResponse& response, bool) {
    const auto& header = mContext.format.headers();
    attempt->isStream =
      response.status == net::status::kOk &&
      !net::headerValue(response.headers, header.stamp).empty();
    attempt->head = response;
    return true;
  };
  call.heldBytes = [attempt] {
    return attempt->head.body.size() + attempt->queuedBytes +
           attempt->eventParser.partialBytes();
  };
  call.waitForReceiver = [this, attempt] { return waitForCaller(attempt); };
  call.onData = [this, attempt](std::string_view bytes) {
    if (!attempt->isStream) {
      attempt->lastActivity = Clock::now();
      attempt->head.body.append(bytes);
      if (attempt->head.body.size() > kMaxResponseBytes) {
        attempt->cancel->cancel();
      }
      return;
    }
    auto blocks = attempt->eventParser.splitBlocks(bytes);
    // Bytes without an event do not count, or a stalled server that sends a
    // byte now and then would keep the stream.
    if (!blocks.empty()) {
      attempt->lastActivity = Clock::now();
    }
    for (const auto& block : blocks) {
      attempt->queuedBytes += block.size();
    }
    std::ranges::move(blocks, std::back_inserter(attempt->events));
    if (attempt->eventParser.isOverlong()) {
      attempt->cancel->cancel();
    }
    mChanged.notify();
  };
  attempt->result = co_await mContext.servers.call(
    attempt->server, std::move(call), ServerRequestKind::Stream);
  mContext.registry.requestEnded(attempt->server);
  attempt->isEnded = true;
  mChanged.notify();
}

net::Awaitable<void>
StreamForward::waitForCaller(std::shared_ptr<Attempt> attempt) const
{
  while (attempt->queuedBytes > kMaxQueuedBytes && timeLeft() > Millis(0) &&
         !attempt->cancel->isCancelRequested()) {
    attempt->isPaused = true;
    co_await attempt->eventsTaken.wait(
      std::min(kSilenceCheckInterval, timeLeft()));
  }
  if (std::exchange(attempt->isPaused, false)) {
    attempt->lastActivity = Clock::now();
  }
}

net::Awaitable<void>
StreamForward::relayEvents(std::shared_ptr<Attempt> attempt)
{
  while (!mIsCallerGone) {
    while (!attempt->events.empty()) {
      auto block = std::move(attempt->events.front());
      attempt->events.pop_front();
      attempt->queuedBytes -= block.size();
      attempt->eventsTaken.notify();
      const auto event = attempt->eventParser.parseBlock(block);
      if (event.number != mLastEvent + 1) {
        mReason = "events_out_of_order";
        co_return;
      }
      if (!mHasStarted) {
        // The response to the caller keeps the stamp (the mark that a server
        // puts on its responses) of the first server, even if another server
        // continues the stream.
        mHasStarted = true;
        recordRun(Clock::now());
        auto headers = Forwarder::endToEndHeaders(attempt->head.headers);
        auto type = attempt->head.contentType;
        co_await mExchange.beginStream(
          net::status::kOk, std::move(type), std::move(headers));
      }
      mLastEvent = event.number;
      const bool isWritten = co_await mExchange.write(std::move(block));
      if (!isWritten) {
        mIsCallerGone = true;
        co_return;
      }
    }
    if (attempt->isEnded && attempt->events.empty()) {
      break;
    }
    const auto now = Clock::now();
    const bool isSilent = mIsResumable && !attempt->isPaused &&
                          now - attempt->lastActivity > kMaxSilence;
    const bool isStopping = mContext.stopping->isCancelRequested();
    if (isSilent || isStopping || timeLeft() <= Millis(0)) {
      mReason = isStopping ? "stopping" : isSilent ? "silent" : "out_of_time";
      co_return;
    }
    co_await mChanged.wait(std::min(kSilenceCheckInterval, timeLeft()));
  }
  if (mIsCallerGone) {
    co_return;
  }
  const auto& result = attempt->result;
  if (result.error || wasNotExecuted(*attempt)) {
    mReason = result.error
                ? result.error.message()
                : fmt::format("server_refused_{}", result.response.status);
    co_return;
  }
  if (!attempt->isStream) {
    const bool isSuccess = attempt->head.status / 100 == 2;
    mReason = isSuccess ? "answer_without_stamp" : "answered";
    constexpr int kServerErrors = 5;
    const bool isFailure = attempt->head.status / 100 == kServerErrors;
    const bool retriesElsewhere = isFailure && mIsResumable && canRetry();
    if (!isSuccess && !mHasStarted && !retriesElsewhere) {
      mIsDone = true;
      auto answer = attempt->head;
      answer.headers = Forwarder::endToEndHeaders(answer.headers);
      co_await mExchange.respond(std::move(answer));
    }
    co_return;
  }
  if (attempt->eventParser.hasPartialEvent()) {
    mReason = "not_whole";
    co_return;
  }
  mIsDone = true;
  mReason = "answered";
  if (!mHasStarted) {
    auto headers = Forwarder::endToEndHeaders(attempt->head.headers);
    auto type = attempt->head.contentType;
    co_await mExchange.beginStream(
      net::status::kOk, std::move(type), std::move(headers));
  }
  co_await mExchange.endStream();
}

void
StreamForward::recordAttempt(const Attempt& attempt)
{
  const auto now = Clock::now();
  if (!attempt.isEnded) {
    mContext.registry.failed(attempt.server, now);
    return;
  }
  const auto attemptOutcome =
    classifyAttempt(attempt.result, mContext.format.headers());
  recordFailedAttempt(mContext.registry, attempt.server, attemptOutcome, now);
  if (attemptOutcome == AttemptOutcome::RateLimited) {
    --mAttempts;
    mTriedServers.erase(attempt.server.id);
  } else if (provesNotExecuted(attemptOutcome)) {
    --mAttempts;
    ++mRefusals;
  }
}

net::Awaitable<void>
StreamForward::endWithError()
{
  if (mIsCallerGone || mHasStarted) {
    // Abort the connection, so that the caller does not take the incomplete
    // stream for a complete one.
    mExchange.abort();
    co_return;
  }
  auto response =
    mMayHaveExecuted
      ? errorResponse(timeLeft() <= Millis(0) ? 504 : 502, mReason)
      : refusalResponse(503, mReason, std::max(kRetryAfter, mRetryAfter));
  co_await mExchange.respond(std::move(response));
}

} // namespace lentilrack::gateway
