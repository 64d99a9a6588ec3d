#pragma once

#include "gateway/cluster_view.h"
#include "gateway/result_chunk.h"
#include "gateway/wait_list.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lentilrack::gateway {

/// The results of one batch at their positions. A result is committed to the
/// store, on condition that this process owns the batch, before any reader sees
/// it.
class ResultLog
{
public:
  enum class Ending
  {
    /// All items have results.
    Complete,
    Stopped,
    OwnedElsewhere,
  };

  ResultLog(Context& context,
            ClusterView& cluster,
            std::string batch,
            BatchRecord record,
            std::int64_t ownerRevision);

  /// Takes over results that are already stored, in order of their positions.
  void restore(std::vector<StoredResult> results);
  /// Adds a result to be written. If `completesGroup` is true, a trainer may be
  /// waiting for it, so that it is written without further delay.
  void add(StoredResult result, bool completesGroup);
  /// Writes added results to the store until the batch is complete, stopped, or
  /// owned by another process.
  net::Awaitable<Ending> write();
  /// Stops writing. Results that are not committed are dropped.
  void stop();
  /// Deletes this process' ownership of the batch. Returns the error of the
  /// store, if any.
  net::Awaitable<std::error_code> release();

  /// Returns the results that are in the store, in order of their positions.
  const std::vector<StoredResult>& committed() const { return mCommitted; }
  /// Returns true if the result of the item is in the store.
  bool isCommitted(std::size_t item) const { return mIsCommitted[item]; }
  /// Returns the number of items of the batch.
  std::size_t total() const { return mRecord.total; }
  /// Returns true if the results of all items are in the store.
  bool isComplete() const { return mCommitted.size() == mRecord.total; }
  /// Returns once there are more results than `after` or no more can come, at
  /// the latest after `maxWait`. The caller must keep the log alive until then.
  net::Awaitable<void> waitForMore(std::size_t after, core::Millis maxWait);

private:
  struct Pending
  {
    StoredResult result;
    bool completesGroup = false;
  };

  bool isDue() const;
  std::vector<StoredResult> takeChunk();
  /// Writes a chunk. Returns false if another process owns the batch.
  net::Awaitable<bool> commit(const std::vector<StoredResult>& chunk);
  /// Reads or claims the ownership after a conflict. Returns false if another
  /// process owns the batch or it is no longer open.
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
