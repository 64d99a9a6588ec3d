#pragma once

#include "gateway/cluster_view.h"
#include "gateway/result_chunk.h"
#include "gateway/wait_list.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lentilrack::gateway {

/// The results of one batch at their positions. Each is written to the store,
/// under this process' ownership of the batch, before anybody reads it.
class ResultLog
{
public:
  enum class Ending
  {
    /// Every item has its result.
    Complete,
    Stopped,
    OwnedElsewhere,
  };

  ResultLog(Context& context,
            ClusterView& cluster,
            std::string batch,
            BatchRecord record,
            std::int64_t ownerRevision);

  /// Takes results that are in the store already, in order of position.
  void restore(std::vector<StoredResult> results);
  /// `completesGroup`: callers wait for this result, so that it is written
  /// soon.
  void add(StoredResult result, bool completesGroup);
  /// Writes what is added until the batch is whole.
  net::Awaitable<Ending> write();
  /// Nothing is written any more.
  void stop();
  /// Gives the ownership of the batch up.
  net::Awaitable<std::error_code> release();

  const std::vector<StoredResult>& committed() const { return mCommitted; }
  bool isCommitted(std::size_t item) const { return mIsCommitted[item]; }
  std::size_t total() const { return mRecord.total; }
  bool isComplete() const { return mCommitted.size() == mRecord.total; }
  /// Returns when there are more results than `after`, when there cannot be
  /// more, or after `most`. The owner of the log must keep it until then.
  net::Awaitable<void> waitForMore(std::size_t after, core::Millis maxWait);

private:
  struct Pending
  {
    StoredResult result;
    bool completesGroup = false;
  };

  bool isDue() const;
  std::vector<StoredResult> takeChunk();
  /// False if another process owns the batch.
  net::Awaitable<bool> commit(const std::vector<StoredResult>& chunk);
  net::Awaitable<bool> reclaimOwnership();

  Context& mContext;
  ClusterView& mCluster;
  std::string mBatch;
  BatchRecord mRecord;
  std::int64_t mOwnerRevision;
  std::vector<Pending> mPending;
  std::vector<StoredResult> mCommitted;
  std::vector<bool> mIsCommitted;
  core::TimePoint mFirstPendingAt{};
  WaitList mReaders;
  net::Notifier mResultAdded;
  bool mIsStopped = false;
};

} // namespace lentilrack::gateway
