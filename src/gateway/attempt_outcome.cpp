#include "gateway/attempt_outcome.h"

#include "net/error.h"
#include "net/http_status.h"

namespace lentilrack::gateway {

AttemptOutcome
classifyAttempt(const net::HttpResult& result, const HeaderNames& names)
{
  const auto& response = result.response;
  if (result.error == net::NetError::Cancelled) {
    return AttemptOutcome::Cancelled;
  }
  if (result.error == net::NetError::RateLimited) {
    return AttemptOutcome::RateLimited;
  }
  if (result.error == net::NetError::InvalidRequest) {
    return AttemptOutcome::Invalid;
  }
  if (result.error) {
    const bool isIdleClose = result.reusedConnection &&
                             !result.hasReceivedBytes &&
                             result.error == net::NetError::ConnectionLost;
    return !result.sent  ? AttemptOutcome::NotSent
           : isIdleClose ? AttemptOutcome::ClosedWhenIdle
                         : AttemptOutcome::Incomplete;
  }
  if (response.status == net::status::kMisdirected) {
    return AttemptOutcome::Misdirected;
  }
  const bool isRefused =
    !net::headerValue(response.headers, names.notExecuted).empty();
  return isRefused ? AttemptOutcome::Refused : AttemptOutcome::Answered;
}

bool
provesNotExecuted(AttemptOutcome outcome)
{
  return outcome == AttemptOutcome::Refused ||
         outcome == AttemptOutcome::Misdirected ||
         outcome == AttemptOutcome::NotSent ||
         outcome == AttemptOutcome::RateLimited ||
         outcome == AttemptOutcome::Invalid;
}

bool
hasMostLikelyRun(AttemptOutcome outcome, const net::HttpResult& result)
{
  return outcome == AttemptOutcome::Answered ||
         outcome == AttemptOutcome::Incomplete ||
         (outcome == AttemptOutcome::Cancelled && result.sent);
}

void
recordFailedAttempt(core::ServerRegistry& registry,
                    const core::ServerEntry& server,
                    AttemptOutcome outcome,
                    core::TimePoint now)
{
  switch (outcome) {
    case AttemptOutcome::Answered:
    case AttemptOutcome::NotSent:
    case AttemptOutcome::Incomplete:
      registry.failed(server, now);
      break;
    case AttemptOutcome::Refused:
      registry.refused(server, now);
      break;
    case AttemptOutcome::Misdirected:
      registry.markLeaving(server);
      break;
    case AttemptOutcome::RateLimited:
    case AttemptOutcome::Invalid:
    case AttemptOutcome::ClosedWhenIdle:
    case AttemptOutcome::Cancelled:
      break;
  }
}

bool
isResponseTo(const net::HttpResponse& response,
             const HeaderNames& names,
             const std::string& requestId,
             bool isConnectionReused)
{
  const auto echoed = net::headerValue(response.headers, names.requestId);
  return echoed == requestId || (echoed.empty() && !isConnectionReused);
}

} // namespace lentilrack::gateway
