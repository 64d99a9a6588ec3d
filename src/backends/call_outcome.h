#pragma once

#include "core/work.h"
#include "net/http_client.h"

namespace lentilrack::backends {

/// Returns the outcome of an HTTP exchange that failed. The verdict is NotRun
/// if no byte of the request was written, and Unknown otherwise.
core::Outcome
failedOutcome(const net::HttpResult& result);

core::Outcome
makeOutcome(core::Verdict verdict, std::string reason);

/// Returns the delay that the Retry-After header asks for, or zero if there is
/// no valid header.
core::Millis
retryAfter(const net::HttpResponse& response);

} // namespace lentilrack::backends
