#include "backends/call_outcome.h"

#include "net/error.h"

#include <charconv>

namespace lentilrack::backends {

namespace {

std::string
reasonOf(const net::HttpResult& result)
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
  return outcomeWith(result.sent ? core::Verdict::Unknown
                                 : core::Verdict::NotRun,
                     reasonOf(result));
}

core::Outcome
outcomeWith(core::Verdict verdict, std::string reason)
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
  std::uint32_t seconds = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), seconds);
  const bool isNumber =
    error == std::errc{} && end == text.data() + text.size();
  return isNumber ? core::Millis(std::int64_t{ seconds } * 1000)
                  : core::Millis(0);
}

} // namespace lentilrack::backends
