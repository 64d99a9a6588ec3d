#pragma once

#include "gateway/context.h"
#include "gateway/read_limits.h"
#include "net/http_server.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lentilrack::gateway {

/// A request to a service, with its limits and the rules for retrying it.
struct ServiceCall
{
  /// Request id, for the log.
  std::string id;
  std::string service;
  net::HttpRequest request;
  /// Maximum number of attempts. Attempts that the server refuses, and those
  /// that end because the server has closed an idle connection, do not count.
  int maxAttempts = 1;
  /// True if the request may be executed more than once.
  bool isRepeatable = false;
  /// True if the request is sent to another server after a 5xx response.
  bool retriesServerErrors = true;
  /// True if the request is also sent to another server when the first one is
  /// slow to respond (hedging).
  bool allowsHedging = false;
  ServerRequestKind kind = ServerRequestKind::Forward;
  /// True if the caller repeats the request later when no server takes it now;
  /// see core::ServerRequirements::isDeferrable.
  bool isDeferrable = false;
  core::TimePoint deadline;
  std::shared_ptr<net::CancelSignal> cancel;
  /// Called once when the request is known to have run at a server, with the
  /// time at which the first attempt that has run began. May be called after
  /// the call has ended.
  std::function<void(core::TimePoint)> onRun;
};

/// How a call has ended.
enum class CallConclusion
{
  /// A server has sent a complete response.
  Answered,
  /// No server has executed the request, and none will.
  NotExecuted,
  /// A server may have executed the request, but there is no response.
  Unknown,
  Cancelled,
};

/// Outcome of a call with its response, if there is one.
struct CallOutcome
{
  CallConclusion conclusion = CallConclusion::NotExecuted;
  net::HttpResponse response;
  /// Why there is no response, for the log.
  std::string reason;
  /// When the caller should try again, if servers that state a request rate
  /// take no request before.
  core::Millis retryAfter{ 0 };
  /// Id of the last server that responded or failed.
  std::string server;
  int attempts = 0;
};

/// Forwards requests to the backend servers of a service.
class Forwarder
{
public:
  explicit Forwarder(Context& context);

  /// Forwards the caller's request and responds to it.
  net::Awaitable<void> forward(net::HttpExchange& exchange,
                               const core::Route& route);
  /// Sends the request until a server responds, the attempts are used up, or
  /// the deadline passes.
  net::Awaitable<CallOutcome> call(ServiceCall call);
  /// Forwards a request whose response is a stream of events, and responds to
  /// the caller.
  net::Awaitable<void> stream(net::HttpExchange& exchange,
                              const core::Route& route);

  /// Returns the request without hop-by-hop headers and without the headers
  /// that this system sets itself.
  net::HttpRequest forwardedRequest(const net::HttpRequest& request) const;
  /// Returns the headers without the hop-by-hop headers and without the content
  /// type.
  static net::Headers endToEndHeaders(net::Headers headers);
  /// Returns the headers without the API key, and with the name of the
  /// organisation in place of any that they contain. An empty name stands for
  /// none.
  static net::Headers identifiedHeaders(net::Headers headers,
                                        const HeaderNames& names,
                                        const std::string& organisation);
  /// Returns the time that the caller allows for the request, at most the
  /// timeout of the route.
  static core::Millis allowedTime(const Context& context,
                                  const net::HttpExchange& exchange,
                                  const core::Route& route);
  /// Returns the allowed time, at most the time until this process ends.
  static core::Millis timeBudget(const Context& context,
                                 const net::HttpExchange& exchange,
                                 const core::Route& route);

private:
  Context& mContext;
};

/// Returns an error response for a request that no server has executed. The
/// response has a Retry-After header.
net::HttpResponse
refusalResponse(int status, const std::string& reason, core::Millis retryAfter);

/// Returns an error response without a Retry-After header. It does not tell
/// whether the request was executed. `detail` may contain any text of the
/// request; it is left out if it is empty.
net::HttpResponse
errorResponse(int status,
              const std::string& reason,
              const std::string& detail = "");

} // namespace lentilrack::gateway
