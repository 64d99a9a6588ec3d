#include "gateway/forwarder.h"

#include "core/decimal.h"
#include "gateway/attempt_outcome.h"
#include "gateway/stream_forward.h"
#include "net/error.h"
#include "net/notifier.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using core::TimePoint;

/// Long enough, because a connection within a deployment is established in a
/// few milliseconds.
constexpr Millis kConnectTimeout{ 250 };
/// A request that allows hedging is also sent to another server when its
/// response takes this many times longer than the median for the service, but
/// not before the minimum delay.
constexpr double kHedgeFactor = 4;
constexpr Millis kMinHedgeDelay{ 60 };
/// Maximum number of refusals. Limited separately because refusals, which
/// mostly come from servers without a free slot, do not count as attempts.
constexpr int kMaxRefusals = 12;
/// Delay before the next attempt after a refusal.
constexpr Millis kRefusalRetryDelay{ 15 };
/// No attempt is started if less than this time remains until the deadline.
constexpr Millis kMinRemainingTime{ 5 };
/// Value of the Retry-After header when no server has executed the request.
constexpr Millis kRetryAfter{ 200 };

Millis
timeUntil(TimePoint time)
{
  return std::chrono::duration_cast<Millis>(time - Clock::now());
}

bool
isSuccess(int status)
{
  return status / 100 == 2;
}

} // namespace

net::HttpResponse
refusalResponse(int status, const std::string& reason, Millis retryAfter)
{
  auto response = errorResponse(status, reason);
  constexpr double kMillisPerSecond = 1000;
  response.headers.emplace_back(
    "Retry-After",
    fmt::format("{:.2f}",
                static_cast<double>(retryAfter.count()) / kMillisPerSecond));
  return response;
}

net::HttpResponse
errorResponse(int status, const std::string& reason)
{
  net::HttpResponse response;
  response.status = status;
  response.body = fmt::format("{{\"error\":\"{}\"}}", reason);
  return response;
}

/// Runs one call. Two attempts at different servers may run at the same time.
class ServiceCallRun : public std::enable_shared_from_this<ServiceCallRun>
{
public:
  ServiceCallRun(Context& context, ServiceCall call)
    : mContext(context)
    , mCall(std::move(call))
    , mCancelAttempts(std::make_shared<net::CancelSignal>())
    , mChanged(context.io)
  {
  }

  net::Awaitable<CallOutcome> run()
  {
    int hook = 0;
    if (mCall.cancel) {
      hook = mCall.cancel->addCallback([this] {
        mIsCancelled = true;
        mCancelAttempts->cancel();
        mChanged.notify();
      });
    }
    const int stopHook =
      mContext.stopping->addCallback([this] { mChanged.notify(); });
    co_await runAttempts();
    mContext.stopping->removeCallback(stopHook);
    mCancelAttempts->cancel();
    if (mCall.cancel) {
      mCall.cancel->removeCallback(hook);
    }
    if (mOutcome.conclusion == CallConclusion::Unknown &&
        mRunningAttempts == 0) {
      reportRun(mStartedAt);
    }
    mOutcome.attempts = mAttempts;
    co_return mOutcome;
  }

private:
  net::Awaitable<void> runAttempts()
  {
    while (!mIsDone && !mIsCancelled) {
      const bool isStopping = mContext.stopping->isCancelRequested();
      if (isStopping || timeUntil(mCall.deadline) < kMinRemainingTime) {
        // A server that has not responded yet may still execute the request.
        mMayHaveExecuted = mMayHaveExecuted || mRunningAttempts > 0;
        recordNoResponse(isStopping ? "stopping" : "out_of_time");
        co_return;
      }
      const bool isOver = mRunningAttempts == 0 && !canRetry();
      if (isOver) {
        co_return;
      }
      const bool startsHedge = mRunningAttempts == 1 && mCall.allowsHedging &&
                               canRetry() && Clock::now() >= mHedgeAt;
      if (mRunningAttempts == 0 || startsHedge) {
        const bool isStarted = startAttempt();
        if (!isStarted && mRunningAttempts == 0) {
          const auto permitWait = waitForPermit();
          if (!permitWait) {
            co_return;
          }
          co_await mChanged.wait(*permitWait);
          continue;
        }
      }
      co_await mChanged.wait(waitTime());
    }
    if (mIsCancelled) {
      mOutcome.conclusion = CallConclusion::Cancelled;
      mOutcome.reason = "caller_gone";
    }
  }

  /// Returns the time until the next hedged attempt or, if there will be none,
  /// until the deadline.
  Millis waitTime() const
  {
    const auto left = timeUntil(mCall.deadline);
    const bool waitsForHedge = mRunningAttempts == 1 && mCall.allowsHedging &&
                               mAttempts < mCall.maxAttempts &&
                               !mHasNoOtherServer;
    if (!waitsForHedge) {
      return left;
    }
    return std::clamp(timeUntil(mHedgeAt), Millis(1), left);
  }

  /// Returns how long to wait for a permit of a server that states a request
  /// rate. Returns nothing if the request must be rejected now.
  std::optional<Millis> waitForPermit()
  {
    const auto now = Clock::now();
    const auto next = mContext.registry.nextPermitTime(requirements(), now);
    if (!next || !canRetry() || mCall.isDeferrable) {
      return std::nullopt;
    }
    const auto wait =
      core::waitForPermit(*next, mStartedAt, mCall.deadline, now);
    if (!wait) {
      mOutcome.retryAfter = timeUntil(*next);
      recordNoResponse("request_rate");
    }
    return wait;
  }

  core::ServerRequirements requirements() const
  {
    core::ServerRequirements requirements;
    requirements.service = mCall.service;
    requirements.preferredDomain = mContext.settings.failureDomain;
    requirements.permitPriority = permitPriority(mCall.kind);
    requirements.excludesRateLimited = mRunningAttempts > 0;
    requirements.isDeferrable = mCall.isDeferrable;
    requirements.needsNewConnection = !mCall.isRepeatable;
    return requirements;
  }

  /// Returns the window that limits this call on the server; null if the call
  /// cannot wait or the server is unknown.
  core::ConcurrencyWindow* deferrableWindow(const core::ServerEntry& server)
  {
    auto* state = mContext.registry.find(server.id, server.startedAt);
    return mCall.isDeferrable && state != nullptr ? &state->deferrable
                                                  : nullptr;
  }

  /// Records whether the server had capacity for an attempt. A full server also
  /// resets new connections.
  static void recordCapacity(core::ConcurrencyWindow& window,
                             AttemptOutcome outcome)
  {
    if (outcome == AttemptOutcome::Answered) {
      window.accepted();
    } else if (outcome == AttemptOutcome::Refused ||
               outcome == AttemptOutcome::NotSent ||
               outcome == AttemptOutcome::Incomplete) {
      window.refused(Clock::now());
    }
  }

  /// Returns true if the request may be sent to another server.
  bool canRetry() const
  {
    const bool isAllowed = mCall.isRepeatable || !mMayHaveExecuted;
    return isAllowed && mAttempts < mCall.maxAttempts &&
           mRefusals < kMaxRefusals;
  }

  /// Sends the request to a server that was not tried yet. Returns false if
  /// there is no server.
  bool startAttempt()
  {
    auto required = requirements();
    required.exclude = mTriedServers;
    auto* server = mContext.registry.choose(
      required, Clock::now(), mContext.uniformRandom());
    if (server == nullptr && mRunningAttempts == 0 && !mTriedServers.empty()) {
      // All servers were tried. Another attempt at one of them may still
      // succeed.
      required.exclude.clear();
      server = mContext.registry.choose(
        required, Clock::now(), mContext.uniformRandom());
    }
    if (server == nullptr) {
      mHasNoOtherServer = true;
      if (mRunningAttempts == 0) {
        recordNoResponse("no_server");
      }
      return false;
    }
    mTriedServers.insert(server->entry.id);
    ++mAttempts;
    ++mRunningAttempts;
    const double usualTime =
      mContext.registry.medianMillisPerUnit(mCall.service);
    mHedgeAt =
      Clock::now() +
      std::max(kMinHedgeDelay,
               Millis(static_cast<std::int64_t>(kHedgeFactor * usualTime)));
    net::spawn(mContext.io, attempt(server->entry), shared_from_this());
    return true;
  }

  net::Awaitable<void> attempt(core::ServerEntry server)
  {
    const auto& names = mContext.format.headers();
    net::HttpCall http;
    http.endpoint = server.endpoint;
    http.request = mCall.request;
    http.connectTimeout = kConnectTimeout;
    http.timeout = timeUntil(mCall.deadline);
    http.bodyLimit = kMaxResponseBytes;
    http.useNewConnection = !mCall.isRepeatable;
    http.cancel = mCancelAttempts;
    // Tell the server how much time remains until the deadline of the call.
    http.request.headers.emplace_back(
      names.timeLeft, std::to_string(timeUntil(mCall.deadline).count()));
    http.request.headers.emplace_back(names.expectedServer, server.id);
    const auto start = Clock::now();
    mContext.registry.requestStarted(server);
    if (auto* window = deferrableWindow(server)) {
      window->started();
    }
    auto result =
      co_await mContext.servers.call(server, std::move(http), mCall.kind);
    mContext.registry.requestEnded(server);
    if (auto* window = deferrableWindow(server)) {
      window->ended();
      recordCapacity(*window, classifyAttempt(result, names));
    }
    --mRunningAttempts;
    if (hasMostLikelyRun(classifyAttempt(result, names), result)) {
      reportRun(start);
    }
    if (!mIsDone && !mIsCancelled) {
      handleResult(server, std::move(result), start);
      if (mRetryDelay > Millis(0) && mRunningAttempts == 0) {
        co_await net::sleepFor(std::exchange(mRetryDelay, Millis(0)));
      }
    }
    mChanged.notify();
  }

  /// Reports, once, that the request has run.
  void reportRun(TimePoint start)
  {
    if (mCall.onRun) {
      std::exchange(mCall.onRun, nullptr)(start);
    }
  }

  void handleResult(const core::ServerEntry& server,
                    net::HttpResult result,
                    TimePoint start)
  {
    const auto& names = mContext.format.headers();
    const auto now = Clock::now();
    mOutcome.server = server.id;
    const auto& response = result.response;
    const auto attemptOutcome = classifyAttempt(result, names);
    if (attemptOutcome != AttemptOutcome::Answered) {
      recordFailedAttempt(mContext.registry, server, attemptOutcome, now);
      mMayHaveExecuted = mMayHaveExecuted || !provesNotExecuted(attemptOutcome);
      if (attemptOutcome == AttemptOutcome::RateLimited) {
        // The registry knows when the server takes the next request.
        --mAttempts;
        mTriedServers.erase(server.id);
        recordNoResponse("request_rate");
        return;
      }
      const bool isIdleClose = attemptOutcome == AttemptOutcome::ClosedWhenIdle;
      if (isIdleClose || provesNotExecuted(attemptOutcome)) {
        // The server has not executed the request or has closed an idle
        // connection. Neither is a reason to give up earlier, so this attempt
        // does not count.
        uncountAttempt(server, isIdleClose);
      }
      if (!result.error) {
        mRetryDelay = kRefusalRetryDelay;
      }
      recordNoResponse(result.error
                         ? result.error.message()
                         : fmt::format("server_refused_{}", response.status));
      return;
    }
    mMayHaveExecuted = true;
    const bool hasStamp =
      !net::headerValue(response.headers, names.stamp).empty();
    const bool isUnstamped = isSuccess(response.status) && !hasStamp;
    if (isUnstamped) {
      mContext.registry.failed(server, now);
      recordNoResponse("answer_without_stamp");
      return;
    }
    constexpr int kServerErrors = 5;
    const bool isFailure = response.status / 100 == kServerErrors;
    if (!isFailure) {
      mContext.registry.succeeded(
        server, std::chrono::duration<double, std::milli>(now - start).count());
    }
    mOutcome.conclusion = CallConclusion::Answered;
    mOutcome.response = std::move(result.response);
    mOutcome.reason = "answered";
    const bool retriesElsewhere = isFailure && mCall.retriesServerErrors &&
                                  mCall.isRepeatable && canRetry();
    mIsDone = !retriesElsewhere;
  }

  /// Records why there is no response. Does nothing if a server has responded
  /// with a failure: that response is then returned to the caller.
  void recordNoResponse(std::string reason)
  {
    if (mOutcome.conclusion != CallConclusion::Answered) {
      mOutcome.conclusion = mMayHaveExecuted ? CallConclusion::Unknown
                                             : CallConclusion::NotExecuted;
      mOutcome.reason = std::move(reason);
    }
  }

  /// Counts the last attempt as a refusal. If `canReuseServer` is true, the
  /// next attempt may go to the same server.
  void uncountAttempt(const core::ServerEntry& server, bool canReuseServer)
  {
    --mAttempts;
    ++mRefusals;
    if (canReuseServer) {
      mTriedServers.erase(server.id);
    }
  }

  Context& mContext;
  ServiceCall mCall;
  std::shared_ptr<net::CancelSignal> mCancelAttempts;
  /// Notified when an attempt ends or the call is cancelled.
  net::Notifier mChanged;
  CallOutcome mOutcome;
  TimePoint mStartedAt = Clock::now();
  std::set<std::string> mTriedServers;
  /// When the request may also be sent to another server, if hedging is
  /// allowed.
  TimePoint mHedgeAt{};
  Millis mRetryDelay{ 0 };
  int mAttempts = 0;
  int mRefusals = 0;
  /// Number of attempts whose response is awaited.
  int mRunningAttempts = 0;
  bool mMayHaveExecuted = false;
  /// True once no untried server was found.
  bool mHasNoOtherServer = false;
  bool mIsDone = false;
  bool mIsCancelled = false;
};

Forwarder::Forwarder(Context& context)
  : mContext(context)
{
}

net::Awaitable<CallOutcome>
Forwarder::call(ServiceCall call)
{
  const auto run = std::make_shared<ServiceCallRun>(mContext, std::move(call));
  co_return co_await run->run();
}

net::HttpRequest
Forwarder::forwardedRequest(const net::HttpRequest& request) const
{
  const auto& names = mContext.format.headers();
  const std::array<std::string, 10> droppedHeaders{
    "Connection",        "Keep-Alive", "Transfer-Encoding",
    "Content-Length",    "Upgrade",    "TE",
    "Proxy-Connection",  "Expect",     names.timeLeft,
    names.expectedServer
  };
  auto forwarded = request;
  // The Connection header names further hop-by-hop headers, which must not be
  // forwarded either.
  const auto connection = request.header("Connection");
  std::erase_if(forwarded.headers, [&](const auto& header) {
    const net::Headers one{ header };
    const bool isDropped =
      std::ranges::any_of(droppedHeaders, [&](const auto& name) {
        return !net::headerValue({ { header.first, "x" } }, name).empty();
      });
    const bool isNamed = !connection.empty() && header.first.size() > 1 &&
                         connection.find(header.first) != std::string::npos;
    return isDropped || isNamed;
  });
  return forwarded;
}

net::Headers
Forwarder::endToEndHeaders(net::Headers headers)
{
  static const std::array<std::string, 5> kHopByHopHeaders{ "Connection",
                                                            "Keep-Alive",
                                                            "Transfer-Encoding",
                                                            "Content-Length",
                                                            "Content-Type" };
  std::erase_if(headers, [](const auto& header) {
    return std::ranges::any_of(kHopByHopHeaders, [&](const auto& name) {
      return !net::headerValue({ { header.first, "x" } }, name).empty();
    });
  });
  return headers;
}

Millis
Forwarder::allowedTime(const Context& context,
                       const net::HttpExchange& exchange,
                       const core::Route& route)
{
  const auto callerTime = core::parseDecimal<std::int64_t>(
    exchange.request().header(context.format.headers().timeLeft));
  return callerTime ? std::min(Millis(*callerTime), route.timeout)
                    : route.timeout;
}

Millis
Forwarder::timeBudget(const Context& context,
                      const net::HttpExchange& exchange,
                      const core::Route& route)
{
  return std::min(allowedTime(context, exchange, route),
                  context.timeToAnswer());
}

net::Awaitable<void>
Forwarder::stream(net::HttpExchange& exchange, const core::Route& route)
{
  const auto run = std::make_shared<StreamForward>(
    mContext, exchange, forwardedRequest(exchange.request()), route);
  co_await run->run();
}

net::Awaitable<void>
Forwarder::forward(net::HttpExchange& exchange, const core::Route& route)
{
  const auto& names = mContext.format.headers();
  const auto start = Clock::now();
  const auto& request = exchange.request();
  const auto allowed = timeBudget(mContext, exchange, route);
  ServiceCall call;
  call.id = request.header(names.requestId);
  call.service = route.pickService(mContext.uniformRandom());
  call.request = forwardedRequest(request);
  call.maxAttempts = std::max(1, route.maxAttempts);
  call.isRepeatable = route.kind == core::RouteKind::Repeatable;
  call.allowsHedging = call.isRepeatable;
  call.deadline = start + allowed;
  call.cancel = std::make_shared<net::CancelSignal>();
  call.onRun = [&context = mContext,
                organisation = request.header(names.organisation)](
                 auto beganAt) { context.recordRun(organisation, beganAt); };
  exchange.onClientDisconnect([cancel = call.cancel] { cancel->cancel(); });
  const auto id = call.id;
  const auto service = call.service;
  auto outcome = co_await this->call(std::move(call));
  exchange.onClientDisconnect({});

  net::HttpResponse response;
  switch (outcome.conclusion) {
    case CallConclusion::Answered:
      response = std::move(outcome.response);
      break;
    case CallConclusion::NotExecuted:
      response = refusalResponse(
        503, outcome.reason, std::max(kRetryAfter, outcome.retryAfter));
      break;
    case CallConclusion::Unknown:
      response = errorResponse(
        outcome.reason == "out_of_time" || outcome.reason == "stopping" ? 504
                                                                        : 502,
        outcome.reason);
      break;
    case CallConclusion::Cancelled:
      exchange.abort();
      break;
  }
  const auto took =
    std::chrono::duration<double, std::milli>(Clock::now() - start).count();
  mContext.metrics.observe("forward_ms", took);
  mContext.metrics.increment(
    fmt::format("forwarded_total{{status=\"{}\"}}", response.status));
  mContext.log.info("forward",
                    { { "request", id },
                      { "route", route.name },
                      { "state_version", mContext.desired->version() },
                      { "service", service },
                      { "server", outcome.server },
                      { "attempts", outcome.attempts },
                      { "allowed_ms", allowed },
                      { "took_ms", took },
                      { "status", response.status },
                      { "outcome", outcome.reason } });
  response.headers = endToEndHeaders(std::move(response.headers));
  if (outcome.conclusion != CallConclusion::Cancelled) {
    co_await exchange.respond(std::move(response));
  }
}

} // namespace lentilrack::gateway
