#pragma once

#include "core/holder_pause.h"
#include "core/weight_wave.h"
#include "gateway/cluster_view.h"
#include "gateway/peer_client.h"
#include "gateway/state_applier.h"

#include <map>
#include <string>

namespace lentilrack::gateway {

/// Gives the orders that change the weights of servers, in at most one process
/// at a time. The right to do so is a key in the store under the lease of the
/// process; its revision is the fencing number.
class WeightLeader
{
public:
  WeightLeader(Context& context,
               ClusterView& cluster,
               StateApplier& stateApplier,
               PeerClient& peers);

  void start();
  /// Duties besides the weights that one process carries out.
  void setMaintenanceTask(std::function<net::Awaitable<void>()> hook)
  {
    mMaintenanceTask = std::move(hook);
  }
  /// What a peer that leads has told of a server.
  void applyWeightUpdate(const std::string& body);
  bool isLeading() const { return mFencingToken != 0; }

private:
  net::Awaitable<void> maintainLeadership();
  net::Awaitable<void> claimLeadership();
  WeightOrder makeWeightOrder(const core::LoadOrder& order,
                              const core::RegisteredServer& server) const;
  net::Awaitable<void> sendOrder(core::LoadOrder order);
  net::Awaitable<void> checkLoad(core::WeightWave::Load load);
  net::Awaitable<void> reportRetirements();
  /// What trainers have asked for lately, by model.
  std::map<std::string, double> demand() const;
  bool canSendOrders() const;
  /// What one process tells the others of a server's weights.
  struct WeightUpdate
  {
    /// 0: not loaded yet.
    std::int64_t version = 0;
    /// How long the server may be loading.
    core::Millis loading{ 0 };
    /// Orders that the server has accepted if it has accepted this one;
    /// nothing if the news is of no order.
    std::optional<std::int64_t> orderCount;
  };
  void broadcastUpdate(const core::LoadOrder& order,
                       const WeightUpdate& update);

  Context& mContext;
  ClusterView& mCluster;
  StateApplier& mStateApplier;
  PeerClient& mPeers;
  core::WeightWave mWave;
  core::HolderPause mPause;
  std::function<net::Awaitable<void>()> mMaintenanceTask;
  /// 0 while another process, or none, leads.
  std::int64_t mFencingToken = 0;
  core::TimePoint mVacantSince{};
  /// Servers to which a call is on its way.
  std::set<std::string> mServersWithPendingCall;
  std::map<std::string, core::TimePoint> mCheckedAt;
  /// Requests to empty a storage machine that were answered, by revision.
  std::map<std::string, std::int64_t> mReportedRetirements;
};

} // namespace lentilrack::gateway
