#pragma once

#include "gateway/context.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace lentilrack::gateway {

/// Another process of the system, as it describes itself in the store.
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
  /// Every item has its result.
  Finished,
  /// The trainer has ended it.
  Ended,
};

/// What every process knows of a batch.
struct BatchRecord
{
  std::string host;
  std::string path;
  std::size_t total = 0;
  /// Number of keys that hold the submission.
  std::size_t bodyParts = 0;
  std::string model;
  /// Tokens that its items are expected to give.
  double expectedTokens = 0;
  /// Unix time of the submission.
  core::Millis submittedAt{ 0 };
  BatchState state = BatchState::Open;
  std::int64_t revision = 0;

  std::string encode() const;
  static std::optional<BatchRecord> decode(const StoreItem& item);
};

/// Who may write results of a batch, or give orders to servers.
struct Holder
{
  std::string instance;
  std::string incarnation;
  std::int64_t revision = 0;

  std::string encode() const;
  static std::optional<Holder> decode(const StoreItem& item);
};

/// Keys of this system in the store.
namespace keys {
/// Of everything that all processes follow.
std::string
prefix();
std::string
instance(const std::string& name);
std::string
batch(const std::string& id);
std::string
owner(const std::string& id);
std::string
leader();
std::string
bodyPart(const std::string& id, std::size_t index);
/// Results from a position on.
std::string
results(const std::string& id, std::size_t position);
/// Everything that is stored of a batch besides its record and owner.
std::string
dataPrefix(const std::string& id);
std::string
resultsPrefix(const std::string& id);
}

/// Unix time, for what outlives a process.
core::Millis
unixNow();

/// What all processes know together: members, batches, owners, the leader. It
/// keeps this process registered by a lease, which also carries everything
/// that this process holds.
class ClusterView
{
public:
  /// Time after which others may take over what a process holds. Two renewals
  /// may be lost before.
  static constexpr core::Millis kLeaseTtl{ 2'000 };
  static constexpr core::Millis kRenewInterval{ 600 };

  explicit ClusterView(Context& context);

  void start();
  void onChange(std::function<void()> hook) { mOnChange = std::move(hook); }

  /// 0 while there is none.
  std::int64_t lease() const { return mLease; }
  /// Until when nobody else can hold what the lease carries, unless the store
  /// revokes it. Counts time in which the machine was suspended.
  bool isLeaseValid(core::Millis margin) const;
  bool isRegistered() const { return mIsRegistered; }
  bool isSynced() const { return mContext.mirrors.cluster.isComplete(); }

  const std::map<std::string, Peer>& peers() const { return mPeers; }
  const std::map<std::string, BatchRecord>& batches() const { return mBatches; }
  const Holder* ownerOf(const std::string& batch) const;
  const Holder* leader() const { return mLeader ? &*mLeader : nullptr; }
  /// What this process writes as a holder.
  Holder self() const;
  bool isSelf(const Holder& holder) const;
  /// Position of this instance in the order in which processes take over the
  /// thing of this name.
  std::size_t takeoverRank(const std::string& name) const;

  /// What this process has just read or written itself.
  void recordItem(const StoreItem& item);
  /// A peer has told that it leaves, or does not answer.
  void markPeerLeaving(const std::string& instance);
  /// Tells the others that this process leaves.
  net::Awaitable<void> announceLeaving();

private:
  net::Awaitable<void> keepRegistered();
  net::Awaitable<bool> registerSelf();
  /// Forgets what this process held, since others may hold it now.
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
