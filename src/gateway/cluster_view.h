#pragma once

#include "gateway/context.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::gateway {

/// A process of the cluster, as it describes itself in the store.
struct Peer
{
  std::string instance;
  std::string failureDomain;
  std::optional<core::Endpoint> callerEndpoint;
  std::optional<core::Endpoint> peerEndpoint;
  /// Share of a processor core that the process may use.
  double processorShare = 0;
  bool isLeaving = false;
};

enum class BatchState
{
  Open,
  /// All items have results.
  Finished,
  /// The trainer has ended the batch.
  Ended,
};

/// Record of a batch in the store, mirrored by every process.
struct BatchRecord
{
  /// Host and path to which the batch was submitted.
  std::string host;
  std::string path;
  /// Number of items of the batch.
  std::size_t total = 0;
  /// Number of keys over which the submitted body is split.
  std::size_t bodyParts = 0;
  std::string model;
  /// Expected number of output tokens, summed over all items.
  double estimatedTokens = 0;
  /// Unix time of the submission.
  core::Millis submittedAt{ 0 };
  BatchState state = BatchState::Open;
  std::int64_t revision = 0;

  std::string encode() const;
  static std::optional<BatchRecord> decode(const StoreItem& item);
};

/// A process that is the owner of a batch (the only process that may write its
/// results) or the leader (the only process that may send orders to servers),
/// as the store records it.
struct Holder
{
  std::string instance;
  /// Distinguishes the process from earlier ones of the same instance.
  std::string incarnation;
  std::int64_t revision = 0;

  std::string encode() const;
  static std::optional<Holder> decode(const StoreItem& item);
};

/// Functions that return the keys of this system in the coordination store.
namespace keys {
/// Returns the prefix of all keys that every process mirrors.
std::string
prefix();
/// Returns the key under which an instance registers itself.
std::string
instance(const std::string& name);
/// Returns the key of the record of a batch.
std::string
batch(const std::string& id);
/// Returns the key that names the owner of a batch.
std::string
owner(const std::string& id);
/// Returns the key that names the leader.
std::string
leader();
/// Returns the key of one part of the submitted body of a batch.
std::string
bodyPart(const std::string& id, std::size_t index);
/// Returns the key of the result chunk (a stored group of results) whose first
/// result has this position.
std::string
results(const std::string& id, std::size_t position);
/// Returns the prefix of the data stored for a batch, apart from its record and
/// its owner.
std::string
dataPrefix(const std::string& id);
/// Returns the prefix of the result chunks of a batch.
std::string
resultsPrefix(const std::string& id);
}

/// Returns the Unix time. Used for times that must stay valid across processes.
core::Millis
unixNow();

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
  static constexpr core::Millis kRenewInterval{ 600 };

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
  const std::map<std::string, BatchRecord>& batches() const { return mBatches; }
  /// Returns the owner of a batch, or null.
  const Holder* ownerOf(const std::string& batch) const;
  /// Returns the leader, or null.
  const Holder* leader() const { return mLeader ? &*mLeader : nullptr; }
  /// Returns the value with which this process claims a batch or the
  /// leadership.
  Holder self() const;
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
  };

  const Lease& dutyLease() const;
  net::Awaitable<bool> grant(Lease& lease, core::Millis timeToLive);
  /// Renews the lease. Returns false if the store does not know it any more.
  net::Awaitable<bool> renew(Lease& lease);
  static core::Millis renewInterval(const Lease& lease);
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
  std::map<std::string, BatchRecord> mBatches;
  /// Owner of each batch that has one, by batch id.
  std::map<std::string, Holder> mBatchOwners;
  std::optional<Holder> mLeader;
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
