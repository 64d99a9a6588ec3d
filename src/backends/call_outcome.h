#pragma once

#include "core/work.h"
#include "net/http_client.h"

namespace lentilrack::backends {

/// The outcome of an exchange that failed: NotRun only if no byte of the
/// request was written.
core::Outcome
failedOutcome(const net::HttpResult& result);

core::Outcome
makeOutcome(core::Verdict verdict, std::string reason);

/// The wait that a Retry-After header asks for; zero if it is absent.
core::Millis
retryAfter(const net::HttpResponse& response);

} // namespace lentilrack::backends
