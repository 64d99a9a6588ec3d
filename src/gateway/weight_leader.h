#pragma once

#include "core/handover_delay.h"
#include "core/weight_load_planner.h"
#include "gateway/cluster_view.h"
#include "gateway/peer_client.h"
#include "gateway/state_sync.h"

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
               StateSync& state,
               PeerClient& peers);

  void start();
  /// Duties besides the weights that one process carries out.
  void onDuty(std::function<net::Awaitable<void>()> hook)
  {
    mDuty = std::move(hook);
  }
  /// What a peer that leads has told of a server.
  void takeNews(const std::string& body);
  bool isLeading() const { return mFence != 0; }

private:
  net::Awaitable<void> lead();
  net::Awaitable<void> claim();
  WeightOrder wireOrder(const core::LoadOrder& order,
                        const core::RegisteredServer& server) const;
  net::Awaitable<void> giveOrder(core::LoadOrder order);
  net::Awaitable<void> checkLoad(core::WeightLoadPlanner::Load load);
  net::Awaitable<void> reportRetirements();
  /// What trainers have asked for lately, by model.
  std::map<std::string, double> demand() const;
  bool mayOrder() const;
  /// What one process tells the others of a server's weights.
  struct News
  {
    /// 0: not loaded yet.
    std::int64_t version = 0;
    /// How long the server may be loading.
    core::Millis loading{ 0 };
    /// Orders that the server has accepted if it has accepted this one;
    /// nothing if the news is of no order.
    std::optional<std::int64_t> orderCount;
  };
  void tell(const core::LoadOrder& order, const News& news);

  Context& mContext;
  ClusterView& mCluster;
  StateSync& mState;
  PeerClient& mPeers;
  core::WeightLoadPlanner mWave;
  core::HandoverDelay mPause;
  std::function<net::Awaitable<void>()> mDuty;
  /// 0 while another process, or none, leads.
  std::int64_t mFence = 0;
  core::TimePoint mVacantSince{};
  /// Servers to which a call is on its way.
  std::set<std::string> mBusy;
  std::map<std::string, core::TimePoint> mCheckedAt;
  /// Requests to empty a storage machine that were answered, by revision.
  std::map<std::string, std::int64_t> mRetired;
};

} // namespace lentilrack::gateway
