#pragma once

#include "core/organisations/authentication.h"
#include "gateway/batch_service.h"
#include "gateway/rate_permits.h"
#include "gateway/rate_publisher.h"
#include "gateway/server_orders.h"
#include "gateway/state_applier.h"
#include "gateway/state_replicator.h"
#include "gateway/usage_reporter.h"
#include "gateway/weight_leader.h"
#include "net/http_server.h"

#include <memory>
#include <optional>
#include <vector>

namespace lentilrack::gateway {

/// Serves callers, trainers and other processes, and connects the parts of the
/// process.
class Gateway
{
public:
  explicit Gateway(Context& context);

  /// Binds all addresses and starts to serve. Returns false if an address
  /// cannot be bound.
  bool start();
  /// Shuts down gracefully: gives up the ownership of the batches, lets callers
  /// switch to other instances, rejects requests that could not be completed,
  /// finishes or answers open requests, and calls `done`.
  void shutDown(std::function<void()> done);
  /// Returns true if the process can serve callers: it has a desired state,
  /// knows the cluster and at least one server, and is not shutting down.
  bool isReady() const;
  /// Returns the address on which callers are served, with the port that was
  /// bound; nothing if this process serves none.
  const std::optional<core::Endpoint>& callerEndpoint() const
  {
    return mCallerEndpoint;
  }

private:
  net::Awaitable<void> handleCaller(net::HttpExchange& exchange);
  net::Awaitable<void> handlePeer(net::HttpExchange& exchange);
  net::Awaitable<void> handleReadiness(net::HttpExchange& exchange);
  net::Awaitable<void> handleMetrics(net::HttpExchange& exchange);
  std::optional<core::Endpoint> metricsAddress() const;
  net::Awaitable<void> handleAddresses(net::HttpExchange& exchange);
  net::Awaitable<void> handleForward(net::HttpExchange& exchange);
  /// Serves a call of the batch interface for the organisation that sent it.
  net::Awaitable<void> handleBatchCall(net::HttpExchange& exchange,
                                       ClassifiedRequest call);
  /// Responds to a request without a valid API key.
  net::Awaitable<void> rejectUnauthenticated(
    net::HttpExchange& exchange,
    core::AuthenticationOutcome outcome);
  /// Returns true if the request must be rejected because this process is
  /// leaving and might end before the request is answered.
  bool mustRejectWhileLeaving(const net::HttpExchange& exchange,
                              const core::Route& route) const;
  net::Awaitable<void> drainAndStop(std::function<void()> done);
  /// Returns the limits on connections of callers, as the desired state sets
  /// them.
  net::HttpLimits callerLimits() const;
  /// Starts to serve the endpoint, if there is one. Returns false if it cannot
  /// be bound.
  bool listen(const std::optional<core::Endpoint>& endpoint,
              std::function<net::HttpLimits()> limits,
              net::HttpHandler handler);
  /// Returns the addresses of the instances that serve callers.
  std::vector<core::Endpoint> callerAddresses() const;

  Context& mContext;
  ClusterView mCluster;
  PeerClient mPeers;
  RatePermits mPermits;
  RatePublisher mRates;
  StateApplier mStateApplier;
  StateReplicator mReplicator;
  Forwarder mForwarder;
  BatchService mBatches;
  Leadership mLeadership;
  WeightLeader mLeader;
  UsageReporter mUsage;
  ServerOrders mServerOrders;
  std::vector<std::unique_ptr<net::HttpServer>> mServers;
  std::optional<core::Endpoint> mCallerEndpoint;
};

} // namespace lentilrack::gateway
