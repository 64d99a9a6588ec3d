#include "gateway/item_score.h"

#include "gateway/item_requests.h"
#include "net/http_status.h"

#include <algorithm>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;

/// Delays before the call is repeated if it yielded no score. The delay doubles
/// up to the maximum while no server takes the call.
constexpr Millis kRetryDelay{ 20 };
constexpr Millis kMaxRetryDelay{ 40 };
/// Delay before the route of the call is looked up again if the desired state
/// has none.
constexpr Millis kRouteRetryDelay{ 50 };
/// Maximum number of servers to which one call is sent. When the call is
/// repeated, it may be sent to other servers.
constexpr int kMaxAttemptsPerCall = 2;

ServiceCall
prepareCall(Context& context,
            const ScoreRequest& request,
            const core::Route& route)
{
  const auto& reward = request.reward;
  ServiceCall call;
  call.id = reward.id;
  call.service = route.pickService(context.uniformRandom());
  call.request = rewardRequestHead(reward, context.format.headers());
  call.request.body = reward.body;
  call.maxAttempts = kMaxAttemptsPerCall;
  call.isRepeatable = true;
  call.retriesServerErrors = false;
  call.allowsHedging = true;
  call.kind = ServerRequestKind::Reward;
  call.isDeferrable = true;
  call.deadline = Clock::now() + route.timeout;
  call.cancel = request.cancel;
  return call;
}

} // namespace

net::Awaitable<ItemScore>
scoreItem(Context& context, Forwarder& forwarder, ScoreRequest request)
{
  auto delay = kRetryDelay;
  while (!request.cancel->isCancelRequested()) {
    const auto desired = context.desired;
    const auto* route =
      desired ? desired->findRoute(request.reward.host, request.reward.path)
              : nullptr;
    if (route == nullptr) {
      co_await net::sleepFor(kRouteRetryDelay);
      continue;
    }
    auto call = prepareCall(context, request, *route);
    const auto outcome = co_await forwarder.call(std::move(call));
    const auto status = outcome.response.status;
    const bool isAnswered = outcome.conclusion == CallConclusion::Answered;
    if (isAnswered && status / 100 == 2) {
      ItemScore scored{ ScoreOutcome::Scored,
                        net::headerValue(outcome.response.headers,
                                         context.format.headers().stamp) };
      co_return scored;
    }
    if (outcome.conclusion == CallConclusion::Cancelled) {
      break;
    }
    if (outcome.conclusion == CallConclusion::NotExecuted) {
      // All servers are full or have used up the request rates that they state.
      context.metrics.increment("reward_calls_deferred_total");
      const auto part = 0.5 + 0.5 * context.uniformRandom();
      co_await net::sleepFor(std::chrono::duration_cast<Millis>(part * delay));
      delay = std::min(2 * delay, kMaxRetryDelay);
      continue;
    }
    delay = kRetryDelay;
    context.log.info("reward_call",
                     { { "batch", request.batch },
                       { "item", request.item },
                       { "request", request.reward.id },
                       { "server", outcome.server },
                       { "status", status },
                       { "outcome", outcome.reason } });
    if (isAnswered && status == net::status::kServerError &&
        request.countFailure() >= route->maxAttempts) {
      const ItemScore failed{ ScoreOutcome::Failed, "" };
      co_return failed;
    }
    co_await net::sleepFor(kRetryDelay);
  }
  const ItemScore cancelled;
  co_return cancelled;
}

} // namespace lentilrack::gateway
