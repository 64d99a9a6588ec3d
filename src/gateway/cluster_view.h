#pragma once

#include "gateway/context.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace lentilrack::gateway {

/// A process of the cluster, as it describes itself in the store.
struct Peer
{
  std::string instance;
  std::string failureDomain;
  std::optional<core::Endpoint> callerEndpoint;
  std::optional<core::Endpoint> peerEndpoint;
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

/// Public record of a batch in the store, mirrored by every process.
struct BatchRecord
{
  std::string host;
  std::string path;
  std::size_t total = 0;
  /// Number of keys over which the submitted body is split.
  std::size_t bodyParts = 0;
  std::string model;
  /// Expected number of output tokens of all items.
  double estimatedTokens = 0;
  /// Unix time of the submission.
  core::Millis submittedAt{ 0 };
  BatchState state = BatchState::Open;
  std::int64_t revision = 0;

  std::string encode() const;
  static std::optional<BatchRecord> decode(const StoreItem& item);
};

/// A process that holds an exclusive right: to write the results of a batch, or
/// to send orders to servers.
struct Holder
{
  std::string instance;
  std::string incarnation;
  std::int64_t revision = 0;

  std::string encode() const;
  static std::optional<Holder> decode(const StoreItem& item);
};

/// Keys of this system in the coordination store.
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
/// Returns the key of one part of the submitted body.
std::string
bodyPart(const std::string& id, std::size_t index);
/// Returns the key of the result chunk that starts at this position.
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
/// leader. Keeps this process registered under a lease that also carries every
/// right this process holds.
class ClusterView
{
public:
  /// Lifetime of the lease, after which other processes may take over what this
  /// one holds. Two renewals in a row may fail before it ends.
  static constexpr core::Millis kLeaseTtl{ 2'000 };
  static constexpr core::Millis kRenewInterval{ 600 };

  explicit ClusterView(Context& context);

  /// Starts to register this process and to renew its lease.
  void start();
  /// Sets the hook that is called after each changed item.
  void onChange(std::function<void()> hook) { mOnChange = std::move(hook); }

  /// Returns the id of the current lease; 0 if there is none.
  std::int64_t lease() const { return mLease; }
  /// Returns true if the lease is valid for at least `margin` more, so that no
  /// other process can hold what it carries unless the store revokes it. Time
  /// in which the machine was suspended counts.
  bool isLeaseValid(core::Millis margin) const;
  /// Returns true while this process is listed as a member.
  bool isRegistered() const { return mIsRegistered; }
  /// Returns true once all keys of the cluster were read at least once.
  bool isSynced() const { return mContext.mirrors.cluster.isComplete(); }

  const std::map<std::string, Peer>& peers() const { return mPeers; }
  const std::map<std::string, BatchRecord>& batches() const { return mBatches; }
  /// Returns the owner of a batch, or null.
  const Holder* ownerOf(const std::string& batch) const;
  /// Returns the leader, or null.
  const Holder* leader() const { return mLeader ? &*mLeader : nullptr; }
  /// Returns the record that this process writes to claim a right.
  Holder self() const;
  /// Returns true if the holder is this process in its current incarnation.
  bool isSelf(const Holder& holder) const;
  /// Returns this instance's position in the order in which processes try to
  /// take over `name`; 0 is first. The order differs from name to name.
  std::size_t takeoverRank(const std::string& name) const;

  /// Enters an item that this process has just read or written itself into the
  /// mirror, without waiting for the watch.
  void recordItem(const StoreItem& item);
  /// Marks a peer that has announced that it is leaving.
  void markPeerLeaving(const std::string& instance);
  /// Announces in the store that this process is leaving.
  net::Awaitable<void> announceLeaving();

private:
  net::Awaitable<void> keepRegistered();
  net::Awaitable<bool> registerSelf();
  /// Drops the rights that the lost lease carried, since other processes may
  /// hold them now.
  void handleLeaseLost();
  void applyItem(const core::MirroredItem& item);
  void applyRemoval(const std::string& key, std::int64_t revision);

  Context& mContext;
  std::function<void()> mOnChange;
  std::map<std::string, Peer> mPeers;
  std::map<std::string, BatchRecord> mBatches;
  std::map<std::string, Holder> mOwners;
  std::optional<Holder> mLeader;
  std::int64_t mLease = 0;
  core::Millis mRenewedAt{ 0 };
  bool mIsRegistered = false;
};

} // namespace lentilrack::gateway
