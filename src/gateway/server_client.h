#pragma once

#include "core/server_registry.h"
#include "net/http_client.h"

#include <functional>
#include <set>
#include <string>

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

/// Returns the priority with which a request of this kind gets a permit.
core::PermitPriority
permitPriority(ServerRequestKind kind);

/// Sends all requests of this process to backend servers, and records the
/// request rate that each server states. A server that states a rate gets a
/// request only if there is a permit for it.
class ServerClient
{
public:
  /// Obtains a permit for a request to a server that states a rate. Returns
  /// false if there is none.
  using PermitSource =
    std::function<net::Awaitable<bool>(core::ServerEntry,
                                       core::PermitPriority)>;
  /// Called when a response has changed what is known of the server's rate.
  using RateHook = std::function<void(const core::ServerEntry&)>;

  explicit ServerClient(Context& context);

  /// Sets the source of permits. Without one, servers that state a rate get no
  /// request.
  void setPermitSource(PermitSource source) { mAcquire = std::move(source); }
  void onRateChange(RateHook hook) { mOnRateChange = std::move(hook); }

  /// Sends the request to the server and returns the response or the error. The
  /// error is RateLimited if there is no permit. A response that names another
  /// request is not accepted: a server may send a second copy of a response,
  /// late, on a connection that is in use again.
  net::Awaitable<net::HttpResult> call(core::ServerEntry server,
                                       net::HttpCall call,
                                       ServerRequestKind kind);

private:
  /// Records the rate that the response states, or that it states none.
  void recordStatedRate(const core::ServerEntry& server,
                        const net::HttpResponse& response);

  /// Records that the server is leaving, if the response says so. The server
  /// then gets no new requests, whatever the list of servers says.
  void recordLeaving(const core::ServerEntry& server,
                     const net::HttpResponse& response);
  /// Returns true if the server is listed and neither draining nor leaving.
  bool isInService(const core::ServerEntry& server) const;

  Context& mContext;
  PermitSource mAcquire;
  RateHook mOnRateChange;
  /// Ids of the servers whose statement that they leave was malformed.
  std::set<std::string> mMalformedLeaving;
};

} // namespace lentilrack::gateway
