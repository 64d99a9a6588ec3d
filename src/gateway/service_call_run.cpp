#include "gateway/service_call_run.h"

#include "net/error.h"

#include <fmt/format.h>

#include <algorithm>

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

Millis
timeUntil(TimePoint time)
{
  return std::chrono::duration_cast<Millis>(time - Clock::now());
}

bool
isFailure(int status)
{
  constexpr int kServerErrors = 5;
  return status / 100 == kServerErrors;
}

bool
isSuccess(int status)
{
  return status / 100 == 2;
}

} // namespace

ServiceCallRun::ServiceCallRun(Context& context, ServiceCall call)
  : mContext(context)
  , mCall(std::move(call))
  , mCancelAttempts(std::make_shared<net::CancelSignal>())
  , mChanged(context.io)
  , mHasHedgeLimit(context.hedging.hasLimit())
{
}

net::Awaitable<CallOutcome>
ServiceCallRun::run()
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
  if (mOutcome.conclusion == CallConclusion::Unknown && mRunningAttempts == 0) {
    reportRun(mStartedAt);
  }
  mOutcome.attempts = mAttempts;
  // The body may be large and must not be copied.
  co_return std::move(mOutcome);
}

net::Awaitable<void>
ServiceCallRun::runAttempts()
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
      const bool isStarted =
        startsHedge && mHasHedgeLimit ? startHedge() : startAttempt();
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

Millis
ServiceCallRun::waitTime() const
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

std::optional<Millis>
ServiceCallRun::waitForPermit()
{
  const auto now = Clock::now();
  const auto next = mContext.registry.nextPermitTime(requirements(), now);
  if (!next || !canRetry() || mCall.isDeferrable) {
    return std::nullopt;
  }
  const auto wait = core::waitForPermit(*next, mStartedAt, mCall.deadline, now);
  if (!wait) {
    mOutcome.retryAfter = timeUntil(*next);
    recordNoResponse("request_rate");
  }
  return wait;
}

core::ServerRequirements
ServiceCallRun::requirements() const
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

core::ConcurrencyWindow*
ServiceCallRun::deferrableWindow(const core::ServerEntry& server)
{
  auto* state = mContext.registry.find(server.id, server.startedAt);
  return mCall.isDeferrable && state != nullptr ? &state->deferrable : nullptr;
}

void
ServiceCallRun::recordCapacity(core::ConcurrencyWindow& window,
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

bool
ServiceCallRun::canRetry() const
{
  const bool isAllowed = mCall.isRepeatable || !mMayHaveExecuted;
  return isAllowed && mAttempts < mCall.maxAttempts && mRefusals < kMaxRefusals;
}

bool
ServiceCallRun::startAttempt()
{
  auto required = requirements();
  required.exclude = mTriedServers;
  auto* server =
    mContext.registry.choose(required, Clock::now(), mContext.uniformRandom());
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
  mHedgeAt = nextHedgeTime();
  launch({ server->entry, mRunningAttempts > 0, std::nullopt });
  return true;
}

core::HedgePolicy::Subject
ServiceCallRun::hedgeSubject() const
{
  return { mCall.service,
           mCall.kind == ServerRequestKind::Reward ? "reward" : "forward" };
}

TimePoint
ServiceCallRun::nextHedgeTime()
{
  if (mHasHedgeLimit) {
    mHedgePlan = mCall.allowsHedging ? mContext.hedging.plan(hedgeSubject())
                                     : std::nullopt;
    return mHedgePlan ? Clock::now() +
                          std::chrono::round<Clock::duration>(mHedgePlan->delay)
                      : TimePoint::max();
  }
  const double usualTime = mContext.registry.medianMillisPerUnit(mCall.service);
  return Clock::now() +
         std::max(kMinHedgeDelay,
                  Millis(static_cast<std::int64_t>(kHedgeFactor * usualTime)));
}

bool
ServiceCallRun::startHedge()
{
  // The decision is not repeated. A budget or load that forbids the attempt now
  // would otherwise be asked again at every event of this call.
  mHedgeAt = TimePoint::max();
  if (!mHedgePlan) {
    return false;
  }
  core::HedgeController::Question question;
  question.service = mCall.service;
  question.plan = *mHedgePlan;
  question.target = { mTriedServers,
                      mLastDomain,
                      mContext.settings.failureDomain,
                      mCall.isDeferrable };
  question.serverRandom = mContext.uniformRandom();
  question.budgetRandom = mContext.uniformRandom();
  const auto decision =
    mContext.hedging.decide(question, mContext.registry.serving(mCall.service));
  if (decision.server == nullptr) {
    return false;
  }
  launch({ decision.server->entry, true, decision.hedge });
  return true;
}

void
ServiceCallRun::launch(Attempt started)
{
  mTriedServers.insert(started.server.id);
  mLastDomain = started.server.failureDomain;
  ++mAttempts;
  ++mRunningAttempts;
  if (started.isHedge) {
    mContext.hedging.countStart(mCall.service);
  }
  net::spawn(mContext.io, attempt(std::move(started)), shared_from_this());
}

void
ServiceCallRun::recordEnd(const Attempt& ended,
                          AttemptOutcome outcome,
                          bool isServerError,
                          bool hasWon,
                          TimePoint start)
{
  core::HedgeController::Attempt record;
  record.took = Clock::now() - start;
  record.slots = ended.server.slots;
  record.hasWon = hasWon;
  record.hedge = ended.hedge;
  if (outcome == AttemptOutcome::Answered && !isServerError) {
    record.end = core::AttemptEnd::Answered;
  } else if (outcome == AttemptOutcome::Cancelled ||
             outcome == AttemptOutcome::Incomplete) {
    record.end = core::AttemptEnd::GivenUp;
  } else if (provesNotExecuted(outcome)) {
    record.end = outcome == AttemptOutcome::Refused
                   ? core::AttemptEnd::Refused
                   : core::AttemptEnd::NotExecuted;
  }
  const bool hasLost = mIsDone && !hasWon && !ended.isHedge;
  if (mHasHedgeLimit && hasLost && outcome == AttemptOutcome::Cancelled) {
    // Without this, a server whose slow attempts are all cancelled would keep
    // the average of its fast ones and be chosen first again.
    mContext.registry.cancelled(ended.server, record.took.count());
  }
  mContext.hedging.recordAttempt(hedgeSubject(), record, ended.isHedge);
}

net::Awaitable<void>
ServiceCallRun::attempt(Attempt started)
{
  const auto& server = started.server;
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
  const auto attemptOutcome = classifyAttempt(result, names);
  if (auto* window = deferrableWindow(server)) {
    window->ended();
    recordCapacity(*window, attemptOutcome);
  }
  --mRunningAttempts;
  if (hasMostLikelyRun(attemptOutcome, result)) {
    reportRun(start);
  }
  const bool isServerError = isFailure(result.response.status);
  const bool isAwaited = !mIsDone && !mIsCancelled;
  if (isAwaited) {
    handleResult(server, std::move(result), attemptOutcome, start);
  }
  recordEnd(started,
            attemptOutcome,
            isServerError,
            isAwaited && mIsDone && !isServerError,
            start);
  if (isAwaited) {
    if (mRetryDelay > Millis(0) && mRunningAttempts == 0) {
      co_await net::sleepFor(std::exchange(mRetryDelay, Millis(0)));
    }
  }
  mChanged.notify();
}

void
ServiceCallRun::reportRun(core::TimePoint start)
{
  if (mCall.onRun) {
    std::exchange(mCall.onRun, nullptr)(start);
  }
}

void
ServiceCallRun::handleResult(const core::ServerEntry& server,
                             net::HttpResult result,
                             AttemptOutcome attemptOutcome,
                             TimePoint start)
{
  const auto& names = mContext.format.headers();
  const auto now = Clock::now();
  mOutcome.server = server.id;
  const auto& response = result.response;
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
  const bool isServerError = isFailure(response.status);
  if (!isServerError) {
    mContext.registry.succeeded(
      server, std::chrono::duration<double, std::milli>(now - start).count());
  }
  mOutcome.conclusion = CallConclusion::Answered;
  mOutcome.response = std::move(result.response);
  mOutcome.reason = "answered";
  const bool retriesElsewhere = isServerError && mCall.retriesServerErrors &&
                                mCall.isRepeatable && canRetry();
  // A running hedge may still yield a better response than the error.
  const bool awaitsOther = mHasHedgeLimit && isServerError &&
                           mCall.retriesServerErrors && mRunningAttempts > 0;
  mIsDone = !retriesElsewhere && !awaitsOther;
}

void
ServiceCallRun::recordNoResponse(std::string reason)
{
  if (mOutcome.conclusion != CallConclusion::Answered) {
    mOutcome.conclusion =
      mMayHaveExecuted ? CallConclusion::Unknown : CallConclusion::NotExecuted;
    mOutcome.reason = std::move(reason);
  }
}

void
ServiceCallRun::uncountAttempt(const core::ServerEntry& server,
                               bool canReuseServer)
{
  --mAttempts;
  ++mRefusals;
  if (canReuseServer) {
    mTriedServers.erase(server.id);
  }
}

} // namespace lentilrack::gateway
