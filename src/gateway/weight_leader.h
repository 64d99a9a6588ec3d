#pragma once

#include "core/handover_delay.h"
#include "core/weight_load_planner.h"
#include "gateway/cluster_view.h"
#include "gateway/peer_client.h"
#include "gateway/state_applier.h"

#include <map>
#include <string>

namespace lentilrack::gateway {

/// Elects one process as the leader and, in that process, sends backend servers
/// the orders to load new weights. Leadership is a key in the coordination
/// store that is bound to the lease of the process; the revision of the key is
/// the fencing token.
class WeightLeader
{
public:
  WeightLeader(Context& context,
               ClusterView& cluster,
               StateApplier& stateApplier,
               PeerClient& peers);

  /// Starts the election loop.
  void start();
  /// Sets a task that the leader runs periodically besides the weight orders.
  void setMaintenanceTask(std::function<net::Awaitable<void>()> task)
  {
    mMaintenanceTask = std::move(task);
  }
  /// Applies an update that the leader has broadcast about the weights of a
  /// server.
  void applyWeightUpdate(const std::string& body);
  /// Returns true while this process holds the leader key.
  bool isLeading() const { return mFencingToken != 0; }

private:
  net::Awaitable<void> maintainLeadership();
  net::Awaitable<void> claimLeadership();
  WeightOrder makeWeightOrder(const core::LoadOrder& order,
                              const core::RegisteredServer& server) const;
  net::Awaitable<void> sendOrder(core::LoadOrder order);
  net::Awaitable<void> checkLoad(core::WeightLoadPlanner::Load load);
  net::Awaitable<void> reportRetirements();
  /// Returns the work per second that trainers request of each model.
  std::map<std::string, double> demandByModel() const;
  bool canSendOrders() const;
  /// State of a server's weights, as the leader broadcasts it to its peers.
  struct WeightUpdate
  {
    /// Version that the server has loaded; 0 if the load has not ended.
    std::int64_t version = 0;
    /// Time for which the server may still be loading.
    core::Millis loading{ 0 };
    /// Number of orders the server has accepted, provided that it accepts the
    /// one just sent. Empty if no order was sent.
    std::optional<std::int64_t> orderCount;
  };
  void broadcastUpdate(const core::LoadOrder& order,
                       const WeightUpdate& update);

  Context& mContext;
  ClusterView& mCluster;
  StateApplier& mStateApplier;
  PeerClient& mPeers;
  core::WeightLoadPlanner mPlanner;
  core::HandoverDelay mHandoverDelay;
  std::function<net::Awaitable<void>()> mMaintenanceTask;
  /// 0 while another process leads or there is no leader.
  std::int64_t mFencingToken = 0;
  core::TimePoint mVacantSince{};
  /// Servers that have not yet responded to an order or to a report request.
  std::set<std::string> mServersWithPendingCall;
  std::map<std::string, core::TimePoint> mCheckedAt;
  /// Revision of the last retirement request reported as done, by storage
  /// machine.
  std::map<std::string, std::int64_t> mReportedRetirements;
};

} // namespace lentilrack::gateway
