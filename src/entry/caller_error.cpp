#include "entry/caller_error.h"

#include "entry/order_service.h"
#include "wire/messages.h"

#include <algorithm>

namespace lentilrack::entry {

using wire::Json;

namespace {

constexpr std::size_t kMaxAddresses = 4;

Json
alternativeAddresses(const core::Membership& members)
{
  auto list = Json::array();
  for (const auto& member : members.liveMembers(core::MemberRole::Entry)) {
    if (list.size() < kMaxAddresses && member.http &&
        member.state == core::MemberState::Alive &&
        member.id != members.self().id) {
      list.push_back({ { "endpoint", member.http->text() },
                       { "failure_domain", member.failureDomain } });
    }
  }
  return list;
}

int
statusOf(const core::Outcome& outcome)
{
  const auto& reason = outcome.reason;
  if (reason == "identifier_reused") {
    return 409;
  }
  if (reason == "ticket_expired") {
    return 410;
  }
  if (reason == "no_row") {
    return 403;
  }
  if (reason == "unknown_model" || reason == "unknown_service") {
    return 404;
  }
  if (reason == "rate_limit" || reason == "concurrency_limit" ||
      reason == "overload") {
    return 429;
  }
  if (reason == "deadline" || reason == "timeout") {
    return 504;
  }
  if (outcome.verdict == core::Verdict::Unknown && reason != "ledger_full") {
    return 502;
  }
  return 503;
}

std::string
messageOf(const core::Outcome& outcome)
{
  if (outcome.verdict == core::Verdict::NotRun) {
    return "the request did not run and never will under this identifier: " +
           outcome.reason;
  }
  if (isProtocolError(outcome.reason)) {
    return "the request was not accepted: " + outcome.reason +
           "; this says nothing about earlier uses of the identifier";
  }
  return "it is not known whether the request ran: " + outcome.reason;
}

} // namespace

net::HttpResponse
errorResponse(const CallerError& error)
{
  Json body{ { "error", error.code },
             { "message", error.message },
             { "verdict", nullptr },
             { "reason", error.reason.empty() ? error.code : error.reason } };
  if (error.verdict) {
    body["verdict"] = wire::verdictName(*error.verdict);
  }
  if (error.retryAfter > core::Millis(0)) {
    body["retry_after_ms"] = error.retryAfter.count();
  }
  if (error.alternatives != nullptr) {
    body["addresses"] = alternativeAddresses(*error.alternatives);
  }
  net::HttpResponse response;
  response.status = error.status;
  response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

CallerError
toCallerError(const core::Outcome& outcome, const core::Membership& members)
{
  CallerError error;
  error.status = statusOf(outcome);
  error.reason = outcome.reason;
  error.retryAfter = outcome.retryAfter;
  error.message = messageOf(outcome);
  if (isProtocolError(outcome.reason)) {
    error.code = outcome.reason;
    return error;
  }
  error.code = wire::verdictName(outcome.verdict);
  error.verdict = outcome.verdict;
  if (outcome.reason == "leaving" || outcome.reason == "cut_off" ||
      outcome.reason == "ledger_full") {
    error.alternatives = &members;
  }
  return error;
}

} // namespace lentilrack::entry
