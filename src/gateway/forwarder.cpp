#include "gateway/forwarder.h"

#include "core/decimal.h"
#include "gateway/server_answer.h"
#include "gateway/stream_forward.h"
#include "net/error.h"
#include "net/notifier.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using core::TimePoint;

/// Connections inside a deployment open within a few milliseconds.
constexpr Millis kConnectTimeout{ 250 };
/// A copy is sent when the answer takes this many times the usual time, but
/// not before the shortest delay.
constexpr double kHedgeFactor = 4;
constexpr Millis kShortestHedgeDelay{ 60 };
/// Refusals by full servers do not count as attempts, but end somewhere.
constexpr int kMostRefusals = 12;
/// Pause after every server has refused.
constexpr Millis kRefusedPause{ 15 };
/// A server needs some time for a request to be worth sending.
constexpr Millis kLeastTime{ 5 };
/// Callers come back after this time when no server takes their request.
constexpr Millis kRetryAfter{ 200 };
constexpr std::size_t kLargestAnswer = 16UL * 1024 * 1024;

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
refusal(int status, const std::string& reason, Millis retryAfter)
{
  auto response = failure(status, reason);
  constexpr double kMillis = 1000;
  response.headers.emplace_back(
    "Retry-After",
    fmt::format("{:.2f}", static_cast<double>(retryAfter.count()) / kMillis));
  return response;
}

net::HttpResponse
failure(int status, const std::string& reason)
{
  net::HttpResponse response;
  response.status = status;
  response.body = fmt::format("{{\"error\":\"{}\"}}", reason);
  return response;
}

/// One call with its attempts, of which two may run side by side.
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
      hook = mCall.cancel->add([this] {
        mIsCancelled = true;
        mCancelAttempts->cancel();
        mChanged.notify();
      });
    }
    co_await drive();
    mCancelAttempts->cancel();
    if (mCall.cancel) {
      mCall.cancel->remove(hook);
    }
    mOutcome.attempts = mAttempts;
    co_return mOutcome;
  }

private:
  net::Awaitable<void> drive()
  {
    while (!mIsDone && !mIsCancelled) {
      if (timeUntil(mCall.deadline) < kLeastTime) {
        // An attempt that has no answer yet may be running.
        mMayHaveRun = mMayHaveRun || mRunning > 0;
        noteNoAnswer("out_of_time");
        co_return;
      }
      const bool isOver = mRunning == 0 && !mayTryAgain();
      if (isOver) {
        co_return;
      }
      const bool wantsCopy = mRunning == 1 && mCall.mayHedge && mayTryAgain() &&
                             Clock::now() >= mHedgeAt;
      if (mRunning == 0 || wantsCopy) {
        const bool isStarted = startAttempt();
        if (!isStarted && mRunning == 0) {
          co_return;
        }
      }
      co_await mChanged.wait(waitTime());
    }
    if (mIsCancelled) {
      mOutcome.end = CallEnd::Cancelled;
      mOutcome.reason = "caller_gone";
    }
  }

  Millis waitTime() const
  {
    const auto left = timeUntil(mCall.deadline);
    const bool waitsForHedge = mRunning == 1 && mCall.mayHedge &&
                               mAttempts < mCall.maxAttempts && !mHasNoOther;
    if (!waitsForHedge) {
      return left;
    }
    return std::clamp(timeUntil(mHedgeAt), Millis(1), left);
  }

  /// Whether the promises allow another server.
  bool mayTryAgain() const
  {
    const bool isAllowed = mCall.isRepeatable || !mMayHaveRun;
    return isAllowed && mAttempts < mCall.maxAttempts &&
           mRefusals < kMostRefusals;
  }

  bool startAttempt()
  {
    core::ServerRequirements need;
    need.service = mCall.service;
    need.exclude = mUsed;
    need.preferredDomain = mContext.settings.failureDomain;
    auto* server =
      mContext.registry.choose(need, Clock::now(), mContext.draw());
    if (server == nullptr && mRunning == 0 && !mUsed.empty()) {
      // Every server was tried; another round is better than none.
      need.exclude.clear();
      server = mContext.registry.choose(need, Clock::now(), mContext.draw());
    }
    if (server == nullptr) {
      mHasNoOther = true;
      if (mRunning == 0) {
        noteNoAnswer("no_server");
      }
      return false;
    }
    mUsed.insert(server->entry.id);
    ++mAttempts;
    ++mRunning;
    const double usual = mContext.registry.medianMillisPerUnit(mCall.service);
    mHedgeAt =
      Clock::now() +
      std::max(kShortestHedgeDelay,
               Millis(static_cast<std::int64_t>(kHedgeFactor * usual)));
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
    http.bodyLimit = kLargestAnswer;
    http.freshConnection = !mCall.isRepeatable;
    http.cancel = mCancelAttempts;
    http.acceptHeader = [&](const net::HttpResponse& response) {
      return answersRequest(
        response, names, mCall.request.header(names.requestId));
    };
    // Only a caller's own time counts for the server.
    http.request.headers.emplace_back(
      names.timeLeft, std::to_string(timeUntil(mCall.deadline).count()));
    http.request.headers.emplace_back(names.expectedServer, server.id);
    const auto start = Clock::now();
    mContext.registry.requestStarted(server);
    auto result = co_await mContext.http.call(std::move(http));
    mContext.registry.requestEnded(server);
    --mRunning;
    if (!mIsDone && !mIsCancelled) {
      judge(server, std::move(result), start);
      if (mPause > Millis(0) && mRunning == 0) {
        co_await net::sleepFor(std::exchange(mPause, Millis(0)));
      }
    }
    mChanged.notify();
  }

  void judge(const core::ServerEntry& server,
             net::HttpResult result,
             TimePoint start)
  {
    const auto& names = mContext.format.headers();
    const auto now = Clock::now();
    mOutcome.server = server.id;
    const auto& response = result.response;
    const auto answer = classifyAnswer(result, names);
    if (answer != ServerAnswer::Answered) {
      noteTrouble(mContext.registry, server, answer, now);
      mMayHaveRun = mMayHaveRun || !provesNotRun(answer);
      const bool isIdleClose = answer == ServerAnswer::ClosedWhenIdle;
      if (isIdleClose || provesNotRun(answer)) {
        // The server did not see the request, or has closed an idle
        // connection: neither says anything about the next attempt.
        forgiveAttempt(server, isIdleClose);
      }
      if (!result.error) {
        mPause = kRefusedPause;
      }
      noteNoAnswer(result.error
                     ? result.error.message()
                     : fmt::format("server_refused_{}", response.status));
      return;
    }
    mMayHaveRun = true;
    const bool hasStamp =
      !net::headerValue(response.headers, names.stamp).empty();
    const bool isBad = isSuccess(response.status) && !hasStamp;
    if (isBad) {
      mContext.registry.failed(server, now);
      noteNoAnswer("answer_without_stamp");
      return;
    }
    constexpr int kServerErrors = 5;
    const bool isFailure = response.status / 100 == kServerErrors;
    if (!isFailure) {
      mContext.registry.succeeded(
        server, std::chrono::duration<double, std::milli>(now - start).count());
    }
    mOutcome.end = CallEnd::Answered;
    mOutcome.response = std::move(result.response);
    mOutcome.reason = "answered";
    const bool triesElsewhere =
      isFailure && mCall.retriesFailures && mCall.isRepeatable && mayTryAgain();
    mIsDone = !triesElsewhere;
  }

  /// A server's own failure, if there is one, stays the answer.
  void noteNoAnswer(std::string reason)
  {
    if (mOutcome.end != CallEnd::Answered) {
      mOutcome.end = mMayHaveRun ? CallEnd::Unknown : CallEnd::NotRun;
      mOutcome.reason = std::move(reason);
    }
  }

  /// Takes back an attempt that cannot have run.
  void forgiveAttempt(const core::ServerEntry& server, bool mayUseAgain)
  {
    --mAttempts;
    ++mRefusals;
    if (mayUseAgain) {
      mUsed.erase(server.id);
    }
  }

  Context& mContext;
  ServiceCall mCall;
  std::shared_ptr<net::CancelSignal> mCancelAttempts;
  net::Notifier mChanged;
  CallOutcome mOutcome;
  std::set<std::string> mUsed;
  TimePoint mHedgeAt{};
  Millis mPause{ 0 };
  int mAttempts = 0;
  int mRefusals = 0;
  int mRunning = 0;
  bool mMayHaveRun = false;
  bool mHasNoOther = false;
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
Forwarder::passedOn(const net::HttpRequest& request) const
{
  const auto& names = mContext.format.headers();
  const std::array<std::string, 10> dropped{
    "Connection",        "Keep-Alive", "Transfer-Encoding",
    "Content-Length",    "Upgrade",    "TE",
    "Proxy-Connection",  "Expect",     names.timeLeft,
    names.expectedServer
  };
  auto passed = request;
  // Headers that Connection names concern this connection too.
  const auto connection = request.header("Connection");
  std::erase_if(passed.headers, [&](const auto& header) {
    const net::Headers one{ header };
    const bool isDropped = std::ranges::any_of(dropped, [&](const auto& name) {
      return !net::headerValue({ { header.first, "x" } }, name).empty();
    });
    const bool isNamed = !connection.empty() && header.first.size() > 1 &&
                         connection.find(header.first) != std::string::npos;
    return isDropped || isNamed;
  });
  return passed;
}

net::Headers
Forwarder::endToEnd(net::Headers headers)
{
  static const std::array<std::string, 5> kOfOneConnection{ "Connection",
                                                            "Keep-Alive",
                                                            "Transfer-Encoding",
                                                            "Content-Length",
                                                            "Content-Type" };
  std::erase_if(headers, [](const auto& header) {
    return std::ranges::any_of(kOfOneConnection, [&](const auto& name) {
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
  const auto callersTime = core::parseDecimal<std::int64_t>(
    exchange.request().header(context.format.headers().timeLeft));
  return callersTime ? std::min(Millis(*callersTime), route.timeout)
                     : route.timeout;
}

net::Awaitable<void>
Forwarder::stream(net::HttpExchange& exchange, const core::Route& route)
{
  const auto run = std::make_shared<StreamForward>(
    mContext, exchange, passedOn(exchange.request()), route);
  co_await run->run();
}

net::Awaitable<void>
Forwarder::forward(net::HttpExchange& exchange, const core::Route& route)
{
  const auto& names = mContext.format.headers();
  const auto start = Clock::now();
  const auto& request = exchange.request();
  const auto allowed = allowedTime(mContext, exchange, route);
  ServiceCall call;
  call.id = request.header(names.requestId);
  call.service = route.pickService(mContext.draw());
  call.request = passedOn(request);
  call.maxAttempts = std::max(1, route.maxAttempts);
  call.isRepeatable = route.kind == core::RouteKind::Repeatable;
  call.mayHedge = call.isRepeatable;
  call.deadline = start + allowed;
  call.cancel = std::make_shared<net::CancelSignal>();
  exchange.onClientGone([cancel = call.cancel] { cancel->cancel(); });
  const auto id = call.id;
  const auto service = call.service;
  auto outcome = co_await this->call(std::move(call));
  exchange.onClientGone({});

  net::HttpResponse response;
  switch (outcome.end) {
    case CallEnd::Answered:
      response = std::move(outcome.response);
      break;
    case CallEnd::NotRun:
      response = refusal(503, outcome.reason, kRetryAfter);
      break;
    case CallEnd::Unknown:
      response =
        failure(outcome.reason == "out_of_time" ? 504 : 502, outcome.reason);
      break;
    case CallEnd::Cancelled:
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
  response.headers = endToEnd(std::move(response.headers));
  if (outcome.end != CallEnd::Cancelled) {
    co_await exchange.respond(std::move(response));
  }
}

} // namespace lentilrack::gateway
