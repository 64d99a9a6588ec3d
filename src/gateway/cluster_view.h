#pragma once

#include "core/lease_timing.h"
#include "gateway/cluster_records.h"
#include "gateway/context.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lentilrack::gateway {

/// The shared state of the cluster: members, batches, batch owners and the
/// leader. Keeps this process registered under a lease. The keys that make this
/// process the owner of a batch or the leader (its duties) are bound to a lease
/// with a short time to live, the duty lease; when it expires, the store
/// deletes these keys. In a small fleet one lease serves both purposes. In a
/// large one processes without duties renew only a lease with a longer time to
/// live.
class ClusterView
{
public:
  /// Time to live of the duty lease. After it has expired, other processes may
  /// take over the batches and the leadership. The lease is renewed every 0.6
  /// s, so two renewals in a row may fail before it expires.
  static constexpr core::Millis kLeaseTtl{ 2'000 };
  static constexpr core::Millis kRenewInterval =
    core::LeaseTiming::renewIntervalOf(kLeaseTtl);

  explicit ClusterView(Context& context);

  /// Starts to register this process and to renew its leases.
  void start();
  /// Sets the hook that is called after each change of a cluster key.
  void onChange(std::function<void()> hook) { mOnChange = std::move(hook); }

  /// Returns the id of the duty lease; 0 if there is none.
  std::int64_t lease() const { return dutyLease().id; }
  /// Returns the id of the duty lease, after obtaining one if there is none; 0
  /// if the store does not grant one.
  net::Awaitable<std::int64_t> acquireLease();
  /// Returns true if the duty lease of this process remains valid for at least
  /// `margin`. Until then no other process can take over the batches or the
  /// leadership that this process holds, unless the store revokes the lease.
  /// Time in which the machine was suspended counts as elapsed.
  bool isLeaseValid(core::Millis margin) const;
  /// Returns true while this process is listed as a member.
  bool isRegistered() const { return mIsRegistered; }
  /// Returns true once all cluster keys have been read at least once.
  bool isSynced() const { return mContext.mirrors.cluster.isComplete(); }

  const std::map<std::string, Peer>& peers() const { return mPeers; }
  /// Returns a number that changes with each change of the peers.
  std::uint64_t peersVersion() const { return mPeersVersion; }
  const std::map<std::string, BatchRecord>& batches() const { return mBatches; }
  /// Returns the owner of a batch, or null.
  const Holder* ownerOf(const std::string& batch) const;
  /// Returns the leader, or null.
  const Holder* leader() const { return mLeader ? &*mLeader : nullptr; }
  /// Returns true if this process holds the owner key of the batch at this
  /// revision under its present duty lease, as far as it knows. The lease may
  /// have expired since it was last renewed.
  bool isListedOwner(const std::string& batch, std::int64_t revision) const;
  /// Returns true if this process provably still owns the batch: it is the
  /// listed owner, and the lease cannot have expired, even if this process was
  /// suspended or is cut off.
  bool isProvenOwner(const std::string& batch, std::int64_t revision) const;
  /// Returns the value with which this process claims the leadership.
  Holder self() const;
  /// Returns the value with which this process claims a batch under its present
  /// duty lease.
  Holder selfAsOwner() const;
  /// Returns true if the holder is this process and not an earlier process of
  /// the same instance.
  bool isSelf(const Holder& holder) const;
  /// Returns the position of this instance in the order in which processes try
  /// to take over `name`, a batch id or the leader key; 0 is first. Each name
  /// has an order of its own.
  std::size_t takeoverRank(const std::string& name) const;
  /// Returns the instances that are present, not leaving, and reachable for
  /// peers.
  std::vector<std::string> presentPeers() const;
  /// Returns the instance that runs the batches of a model, or nothing if no
  /// process is present.
  std::optional<std::string> homeOf(const std::string& model) const;
  /// Returns the owners of the open batches of a model. An instance that owns
  /// several of them is listed several times.
  std::vector<std::string> ownersOfModel(const std::string& model) const;

  /// Returns the first `count` of the present instances in the order in which
  /// they become the allocator of the server's request rate.
  std::vector<std::string> rateAllocators(const std::string& server,
                                          std::size_t count) const;
  /// Returns the instance that grants the permits for requests to the server;
  /// empty if no process is present.
  std::string rateAllocatorOf(const std::string& server);
  /// Returns true if other processes must still list this process as a member:
  /// its registration cannot have expired. Time in which the machine was
  /// suspended counts as elapsed.
  bool isMembershipCurrent() const;
  /// Returns the published request rates of servers, by server id.
  const std::map<std::string, StatedRate>& statedRates() const
  {
    return mStatedRates;
  }

  /// Updates the mirror with an item that this process has just read or written
  /// itself, without waiting for the watch.
  void recordItem(const StoreItem& item);
  /// Marks a peer that has announced that it is leaving.
  void markPeerLeaving(const std::string& instance);
  /// Announces in the store that this process is leaving.
  net::Awaitable<void> announceLeaving();

private:
  struct Lease
  {
    std::int64_t id = 0;
    core::Millis timeToLive{ 0 };
    /// When the last successful renewal was sent, as the time since the machine
    /// booted.
    core::Millis renewedAt{ 0 };

    /// Returns true if there is a lease and it cannot have expired yet.
    bool isCurrent() const
    {
      return id != 0 && bootTime() < renewedAt + timeToLive;
    }
  };

  /// Whether the lease of the registration is also the duty lease.
  bool servesDuties() const;
  const Lease& dutyLease() const;
  net::Awaitable<bool> grant(Lease& lease, core::Millis timeToLive);
  /// Renews the lease. Returns false if the store does not know it any more.
  net::Awaitable<bool> renew(Lease& lease);
  /// Returns the delay before the next try to register.
  core::Millis registrationRetryDelay();
  net::Awaitable<void> keepRegistered();
  /// Replaces the lease of the registration if the size of the fleet calls for
  /// a different time to live.
  net::Awaitable<void> adaptMemberLease();
  net::Awaitable<void> keepDutyLease();
  /// Whether this process owns a batch or is the leader, or may become so soon.
  bool hasDuties() const;
  net::Awaitable<bool> registerSelf();
  void handleMemberLeaseLost();
  /// Forgets the batches and the leadership that were bound to the lost lease,
  /// since other processes may hold them now.
  void handleDutyLeaseLost();
  void applyItem(const core::MirroredItem& item);
  void applyRemoval(const std::string& key, std::int64_t revision);

  Context& mContext;
  std::function<void()> mOnChange;
  std::map<std::string, Peer> mPeers;
  std::uint64_t mPeersVersion = 0;
  std::map<std::string, BatchRecord> mBatches;
  /// Owner of each batch that has one, by batch id.
  std::map<std::string, Holder> mBatchOwners;
  std::optional<Holder> mLeader;
  std::map<std::string, StatedRate> mStatedRates;
  /// Results of rateAllocatorOf() for the peers of this version.
  std::unordered_map<std::string, std::string> mAllocators;
  std::uint64_t mAllocatorsVersion = 0;
  /// Lease of the registration.
  Lease mMemberLease;
  /// Lease of the duties, if the lease of the registration has a longer time to
  /// live.
  Lease mSeparateDutyLease;
  /// When the duty lease was last requested.
  core::TimePoint mDutyRequestedAt{};
  /// When the lease of the registration was granted.
  core::TimePoint mMemberLeaseGrantedAt{};
  /// Largest number of processes that were present at the same time.
  std::size_t mLargestFleet = 0;
  bool mIsRegistered = false;
};

} // namespace lentilrack::gateway
