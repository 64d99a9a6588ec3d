#pragma once

#include "core/order_audience.h"
#include "core/scheduling/model_allocation.h"
#include "core/weight_load_planner.h"
#include "gateway/cluster_view.h"
#include "gateway/leadership.h"
#include "gateway/peer_client.h"
#include "gateway/state_applier.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace lentilrack::gateway {

/// While this process is the leader (see Leadership), orders backend servers to
/// load new weights, and reports to the operator which storage machines are
/// retired.
class WeightLeader
{
public:
  WeightLeader(Context& context,
               ClusterView& cluster,
               Leadership& leadership,
               StateApplier& stateApplier,
               PeerClient& peers);

  /// Starts to give orders whenever this process is the leader.
  void start();
  /// Sets a task that the leader runs periodically besides the weight orders.
  void setMaintenanceTask(std::function<net::Awaitable<void>()> task)
  {
    mMaintenanceTask = std::move(task);
  }
  /// Applies updates that the leader has sent about the weights of servers.
  void applyWeightUpdates(const std::string& body);
  /// Returns true while this process holds the leader key.
  bool isLeading() const { return mLeadership.isHeld(); }

private:
  net::Awaitable<void> giveOrders();
  WeightOrder makeWeightOrder(const core::LoadOrder& order,
                              const core::RegisteredServer& server) const;
  net::Awaitable<void> sendOrder(core::LoadOrder order);
  /// Asks the server for a report and updates the load accordingly: done, still
  /// running, or lost.
  net::Awaitable<void> checkLoad(core::WeightLoadPlanner::Load load);
  /// Reports each new request to empty a storage machine to the operator as
  /// done, because storage machines hold no durable data. Called only on the
  /// leader, so that only one process reports.
  net::Awaitable<void> reportRetirements();
  /// Returns the demand for each model by which to share the servers, in
  /// expected output tokens per second.
  std::map<std::string, double> demandByModel();
  /// State of a server's weights, as the leader reports it to its peers.
  struct WeightUpdate
  {
    /// Version that the server has loaded; 0 if it has not finished loading.
    std::int64_t version = 0;
    /// Time for which the server may still be loading.
    core::Millis loading{ 0 };
    /// Number of orders the server has accepted, counting the order just sent
    /// as accepted. Empty if no order was sent.
    std::optional<std::int64_t> orderCount;
  };
  /// Reports the update to the processes that need it, together with the other
  /// updates of the next moments.
  void reportUpdate(const core::LoadOrder& order, const WeightUpdate& update);
  /// Sends the collected updates, in one message for each recipient.
  net::Awaitable<void> sendCollectedUpdates();
  void applyUpdate(const nlohmann::json& update);

  Context& mContext;
  ClusterView& mCluster;
  Leadership& mLeadership;
  StateApplier& mStateApplier;
  PeerClient& mPeers;
  core::WeightLoadPlanner mPlanner;
  core::ModelAllocation mAllocation;
  /// Fairness index of the servers of the models in proportion to the demand.
  double mFairness = 1;
  core::OrderAudience mAudience;
  /// Updates that have not been sent yet, by model.
  std::map<std::string, std::vector<nlohmann::json>> mCollectedUpdates;
  std::function<net::Awaitable<void>()> mMaintenanceTask;
  /// Ids of the servers that have not yet responded to an order or to a request
  /// for a report.
  std::set<std::string> mServersWithPendingCall;
  /// When the weight load of a server was last checked, by server id.
  std::map<std::string, core::TimePoint> mLoadCheckedAt;
  /// Revision of the last retirement request that was reported as done, by the
  /// instance name of the storage machine.
  std::map<std::string, std::int64_t> mReportedRetirements;
};

} // namespace lentilrack::gateway
