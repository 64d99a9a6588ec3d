#pragma once

#include "core/server_registry.h"
#include "gateway/wire_format.h"
#include "net/http_client.h"

namespace lentilrack::gateway {

/// How a call to a backend server ended, as far as the call itself shows.
enum class AttemptOutcome
{
  /// The server ran the request and answered.
  Answered,
  /// The server did not run the request, for the moment.
  Refused,
  /// The address belongs to another server, or this one is leaving.
  Misdirected,
  /// No byte of the request was written.
  NotSent,
  /// A kept connection ended before any answer. The server may have closed it
  /// when the request was on its way, which says nothing of its health.
  ClosedWhenIdle,
  /// The request may have run, and its answer is not whole.
  Incomplete,
  Cancelled,
};

AttemptOutcome
classifyAttempt(const net::HttpResult& result, const HeaderNames& names);

/// Whether the call proves that the server has not run the request.
bool
provesNotExecuted(AttemptOutcome answer);

/// Tells the registry what a call that brought no proper answer says about its
/// server.
void
recordFailedAttempt(core::ServerRegistry& registry,
                    const core::ServerEntry& server,
                    AttemptOutcome answer,
                    core::TimePoint now);

/// Whether the answer belongs to the request of this id. A server may send an
/// extra answer where that to the next request is due.
bool
isResponseTo(const net::HttpResponse& response,
             const HeaderNames& names,
             const std::string& requestId);

} // namespace lentilrack::gateway
