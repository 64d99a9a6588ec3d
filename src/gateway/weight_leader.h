#pragma once

#include "core/weight_wave.h"
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
  net::Awaitable<void> giveOrder(core::LoadOrder order);
  net::Awaitable<void> checkLoad(core::WeightWave::Load load);
  net::Awaitable<void> reportRetirements();
  bool mayOrder() const;
  void tell(const core::ServerEntry& server,
            const std::string& model,
            std::int64_t version,
            core::Millis loading);

  Context& mContext;
  ClusterView& mCluster;
  StateSync& mState;
  PeerClient& mPeers;
  core::WeightWave mWave;
  std::function<net::Awaitable<void>()> mDuty;
  /// 0 while another process, or none, leads.
  std::int64_t mFence = 0;
  core::TimePoint mOrdersFrom{};
  core::TimePoint mVacantSince{};
  /// Servers to which a call is on its way.
  std::set<std::string> mBusy;
  std::map<std::string, core::TimePoint> mCheckedAt;
  /// Requests to empty a storage machine that were answered, by revision.
  std::map<std::string, std::int64_t> mRetired;
};

} // namespace lentilrack::gateway
