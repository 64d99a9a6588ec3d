#pragma once

#include "core/membership.h"
#include "core/work.h"
#include "net/http_types.h"

#include <optional>
#include <string>

namespace lentilrack::entry {

/// An error in the form that callers get. Without a verdict nothing is claimed
/// about whether a request of this identifier ran.
struct CallerError
{
  int status = 400;
  std::string code;
  std::string message;
  std::optional<core::Verdict> verdict;
  std::string reason;
  core::Millis retryAfter{ 0 };
  /// Entries that may be used instead; may be null.
  const core::Membership* alternatives = nullptr;
};

net::HttpResponse
errorResponse(const CallerError& error);

/// The error for an outcome other than Done. `members` names other entries if
/// this instance itself is the reason.
CallerError
toCallerError(const core::Outcome& outcome, const core::Membership& members);

} // namespace lentilrack::entry
