#include "backends/call_outcome.h"

#include "core/decimal.h"
#include "net/error.h"

namespace lentilrack::backends {

namespace {

std::string
failureReason(const net::HttpResult& result)
{
  switch (static_cast<net::NetError>(result.error.value())) {
    case net::NetError::NotStarted:
      return "deadline";
    case net::NetError::Cancelled:
      return "cancelled";
    case net::NetError::TimedOut:
      return result.sent ? "timeout" : "connection_refused";
    case net::NetError::BadMessage:
      return "bad_answer";
    default:
      return result.sent ? "interrupted" : "connection_refused";
  }
}

} // namespace

core::Outcome
failedOutcome(const net::HttpResult& result)
{
  return makeOutcome(result.sent ? core::Verdict::Unknown
                                 : core::Verdict::NotRun,
                     failureReason(result));
}

core::Outcome
makeOutcome(core::Verdict verdict, std::string reason)
{
  core::Outcome outcome;
  outcome.verdict = verdict;
  outcome.reason = std::move(reason);
  return outcome;
}

core::Millis
retryAfter(const net::HttpResponse& response)
{
  const auto text = net::headerValue(response.headers, "Retry-After");
  const auto seconds = core::parseDecimal<std::uint32_t>(text).value_or(0);
  return std::chrono::seconds(seconds);
}

} // namespace lentilrack::backends
