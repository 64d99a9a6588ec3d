#pragma once

#include "gateway/context.h"
#include "net/http_server.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lentilrack::gateway {

/// A request to a service and what it may cost.
struct ServiceCall
{
  /// Tells in the log which request of a caller this is.
  std::string id;
  std::string service;
  net::HttpRequest request;
  /// Servers that may run it.
  int maxAttempts = 1;
  /// It may run more than once.
  bool isRepeatable = false;
  /// A failure that a server answers is tried again elsewhere.
  bool retriesServerErrors = true;
  /// A copy goes to another server when the first is slow.
  bool allowsHedging = false;
  core::TimePoint deadline;
  std::shared_ptr<net::CancelSignal> cancel;
};

/// What is known of a call that has ended.
enum class CallEnd
{
  /// A server answered; the answer is whole.
  Answered,
  /// No server ran it, nor will one.
  NotExecuted,
  /// A server may have run it and there is no answer.
  Unknown,
  Cancelled,
};

struct CallOutcome
{
  CallEnd end = CallEnd::NotExecuted;
  net::HttpResponse response;
  /// Why there is no answer, for the log.
  std::string reason;
  std::string server;
  int attempts = 0;
};

/// Sends plain requests to the servers of a service.
class Forwarder
{
public:
  explicit Forwarder(Context& context);

  /// Passes a caller's request on and answers it.
  net::Awaitable<void> forward(net::HttpExchange& exchange,
                               const core::Route& route);
  net::Awaitable<CallOutcome> call(ServiceCall call);
  /// Passes a stream of events on.
  net::Awaitable<void> stream(net::HttpExchange& exchange,
                              const core::Route& route);

  /// The request without the headers that concern one connection, and without
  /// those that this system sets.
  net::HttpRequest forwardedRequest(const net::HttpRequest& request) const;
  /// Headers of a server's answer that concern more than one connection.
  static net::Headers endToEndHeaders(net::Headers headers);
  /// The caller's own time, at most that of the route.
  static core::Millis timeBudget(const Context& context,
                                 const net::HttpExchange& exchange,
                                 const core::Route& route);

private:
  friend class ServiceCallRun;

  Context& mContext;
};

/// An answer of this system's own, for a request that no server has run.
net::HttpResponse
refusalResponse(int status, const std::string& reason, core::Millis retryAfter);

/// An answer of this system's own that promises nothing.
net::HttpResponse
errorResponse(int status, const std::string& reason);

} // namespace lentilrack::gateway
