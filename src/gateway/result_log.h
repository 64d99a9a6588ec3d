#pragma once

#include "core/batches/result_write_schedule.h"
#include "gateway/cluster_view.h"
#include "gateway/result_chunk.h"
#include "gateway/wait_list.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lentilrack::gateway {

/// The results of one batch, each at a position that never changes. A result
/// becomes visible to readers only after it was committed to the store. The
/// commit succeeds only while this process owns the batch.
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
            const core::BatchSpec& spec,
            BatchRecord record,
            std::int64_t ownerRevision);

  /// Adds results that are already stored, in order of their positions.
  void restore(std::vector<StoredResult> results);
  /// Adds a result to be written. ResultWriteSchedule decides when.
  void add(StoredResult result);
  /// Writes added results to the store until the batch is complete, stop() is
  /// called, or another process owns the batch.
  net::Awaitable<Ending> write();
  /// Stops writing. Results that are not committed are dropped unless release()
  /// writes them.
  void stop();
  /// Deletes the owner key of the batch, so that another process may take the
  /// batch over, and writes the results that were not written before stop().
  /// Returns the error of the store, if any.
  net::Awaitable<std::error_code> release();

  /// Returns the results that are in the store, in order of their positions.
  const std::vector<StoredResult>& committed() const { return mCommitted; }
  /// Returns true if the result of the item is in the store.
  bool isCommitted(std::size_t item) const { return mIsCommitted[item]; }
  /// Returns the number of items of the batch.
  std::size_t total() const { return mRecord.total; }
  /// Revision of the owner key under which this process writes results.
  std::int64_t ownerRevision() const { return mOwnerRevision; }
  /// Returns true if committed() provably has all results that are in the
  /// store: this process owns the batch and knows the outcome of its writes.
  /// Without this proof, another process may have written further results, and
  /// readers may have seen them.
  bool isProvenCurrent() const;
  /// Returns true if another process owns or has finished the batch, as far as
  /// this process knows, and no write of this process is under way.
  bool isOwnedElsewhere() const;
  /// Returns true if the results of all items are in the store.
  bool isComplete() const { return mCommitted.size() == mRecord.total; }
  /// Waits until there are more than `after` results or no further result can
  /// come, for at most `maxWait`. The caller must keep the log alive during the
  /// wait.
  net::Awaitable<void> waitForMore(std::size_t after, core::Millis maxWait);

private:
  /// Removes the next results to be written from the pending ones and returns
  /// them: as many as fit into one result chunk.
  std::vector<StoredResult> takeChunk();
  /// Writes a result chunk (a group of results under one key). Returns false if
  /// another process owns the batch or the log was stopped.
  net::Awaitable<bool> commit(const std::vector<StoredResult>& chunk);
  /// Reads the owner of the batch from the store, and claims the batch if it
  /// has none. Returns false if another process owns the batch or has written
  /// results to it, or the batch is no longer open.
  net::Awaitable<bool> reclaimOwnership();
  /// Writes the owner key, which must not exist, under the lease of `self`.
  net::Awaitable<StoreCommit> claim(Holder self);

  Context& mContext;
  ClusterView& mCluster;
  std::string mBatch;
  BatchRecord mRecord;
  /// Revision of the owner key when this process wrote it. A commit fails if
  /// the key has changed since.
  std::int64_t mOwnerRevision;
  /// Results that are not committed yet.
  std::vector<StoredResult> mPending;
  std::vector<StoredResult> mCommitted;
  /// Whether the result of an item is committed, by item index.
  std::vector<bool> mIsCommitted;
  core::ResultWriteSchedule mSchedule;
  /// Coroutines of readers that wait for further results.
  WaitList mWaitingReaders;
  net::Notifier mResultAdded;
  /// Whether a write of results is under way. Its outcome is not known yet.
  bool mIsWriting = false;
  /// When the write that is under way was first tried.
  core::TimePoint mWriteStartedAt{};
  bool mIsStopped = false;
};

} // namespace lentilrack::gateway
