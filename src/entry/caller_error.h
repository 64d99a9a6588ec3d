#pragma once

#include "core/membership.h"
#include "core/work.h"
#include "net/http_types.h"

#include <optional>
#include <string>

namespace lentilrack::entry {

/// An error response to a caller. If `verdict` is not set, the response does
/// not say whether a request with this identifier ran.
struct CallerError
{
  int status = 400;
  std::string code;
  std::string message;
  std::optional<core::Verdict> verdict;
  std::string reason;
  /// How long the caller should wait before it tries again. Left out of the
  /// response if zero.
  core::Millis retryAfter{ 0 };
  /// Members whose entries the response names as alternatives; may be null.
  const core::Membership* alternatives = nullptr;
};

/// Returns the error as an HTTP response with a JSON body.
net::HttpResponse
errorResponse(const CallerError& error);

/// Returns the error for an outcome without an answer. If the reason is
/// "leaving", "cut_off" or "ledger_full", the response will name other entry
/// processes of `members`, which may accept the request.
CallerError
toCallerError(const core::Outcome& outcome, const core::Membership& members);

} // namespace lentilrack::entry
