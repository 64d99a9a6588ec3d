#pragma once

#include "core/server_registry.h"
#include "net/http_client.h"

namespace lentilrack::gateway {

struct Context;

/// What a request to a backend server is for.
enum class ServerRequestKind
{
  /// A caller's request.
  Forward,
  /// A caller's request whose response is a stream of events.
  Stream,
  /// A run of a batch item.
  Item,
  /// A call that scores the text of an item.
  Reward,
  /// An order to load weights.
  WeightOrder,
  /// A request for a server's report about itself.
  Report,
};

/// Sends all requests of this process to backend servers, and records the
/// request rate that each server states.
class ServerClient
{
public:
  explicit ServerClient(Context& context);

  /// Sends the request to the server and returns the response or the error.
  net::Awaitable<net::HttpResult> call(core::ServerEntry server,
                                       net::HttpCall call,
                                       ServerRequestKind kind);

private:
  /// Records the rate that the response states, or that it states none.
  void recordStatedRate(const core::ServerEntry& server,
                        const net::HttpResponse& response);

  Context& mContext;
};

} // namespace lentilrack::gateway
