#pragma once

#include "core/server_registry.h"
#include "gateway/wire_format.h"
#include "net/http_client.h"

namespace lentilrack::gateway {

/// How an attempt to call a backend server ended, judged by the response or the
/// error of the call alone.
enum class AttemptOutcome
{
  /// The server executed the request and responded.
  Answered,
  /// The server did not execute the request, but may accept it in a later
  /// attempt.
  Refused,
  /// The address now belongs to another server, or the server is leaving.
  Misdirected,
  /// No byte of the request was written.
  NotSent,
  /// The request was not sent, because the server states a request rate and
  /// there is no permit.
  RateLimited,
  /// The request was not sent, because it is invalid.
  Invalid,
  /// A kept-alive connection ended before any byte of a response. The server
  /// may have closed the connection as idle while the request was on its way,
  /// which says nothing about the health of the server.
  ClosedWhenIdle,
  /// The request may have been executed, but the response is incomplete.
  Incomplete,
  Cancelled,
};

AttemptOutcome
classifyAttempt(const net::HttpResult& result, const HeaderNames& names);

/// Returns true if the outcome proves that the server has not executed the
/// request.
bool
provesNotExecuted(AttemptOutcome outcome);

/// Returns true if the request most likely began to run at the server. A server
/// that closes an idle connection has mostly not read the request.
bool
hasMostLikelyRun(AttemptOutcome outcome, const net::HttpResult& result);

/// Records an attempt that yielded no proper response in the registry, as far
/// as the outcome says something about the server.
void
recordFailedAttempt(core::ServerRegistry& registry,
                    const core::ServerEntry& server,
                    AttemptOutcome outcome,
                    core::TimePoint now);

/// Returns true if the response belongs to the request with this id. A faulty
/// server may send two responses to one request. The second one is then
/// received in place of the response to the next request on the connection. A
/// response without an id is therefore accepted only for a request without one,
/// or if the request is the first one on its connection.
bool
isResponseTo(const net::HttpResponse& response,
             const HeaderNames& names,
             const std::string& requestId,
             bool isConnectionReused);

} // namespace lentilrack::gateway
