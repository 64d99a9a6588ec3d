#include "gateway/result_log.h"

#include <algorithm>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;

/// Longest wait for the next result or for the time of the next write.
constexpr Millis kMaxWriteWait{ 400 };
/// Delay before a failed store call is retried.
constexpr Millis kStoreRetryDelay{ 50 };
/// The maximum size of a result chunk is the maximum size of a value in the
/// store divided by this.
constexpr std::size_t kChunkSizeDivisor = 2;

/// Readers may see the results of a write this long before its outcome is known
/// here. Shorter than the time after which a result that was read must stay
/// visible (1 s on the known deployments).
constexpr Millis kMaxUnknownWriteTime{ 500 };

/// Returns the time of the submission of a batch on the steady clock. A record
/// whose time lies in the future counts as just submitted.
core::TimePoint
submissionTime(const BatchRecord& record)
{
  return Clock::now() -
         std::max(Millis(unixNow() - record.submittedAt), Millis(0));
}

} // namespace

ResultLog::ResultLog(Context& context,
                     ClusterView& cluster,
                     const core::BatchSpec& spec,
                     BatchRecord record,
                     std::int64_t ownerRevision)
  : mContext(context)
  , mCluster(cluster)
  , mBatch(spec.id)
  , mRecord(std::move(record))
  , mOwnerRevision(ownerRevision)
  , mIsCommitted(mRecord.total, false)
  , mSchedule(spec, submissionTime(mRecord))
  , mResultAdded(context.io)
{
}

void
ResultLog::restore(std::vector<StoredResult> results)
{
  for (auto& result : results) {
    mIsCommitted[result.item] = true;
    mSchedule.recordStored(result.item);
    mCommitted.push_back(std::move(result));
  }
}

void
ResultLog::add(StoredResult result)
{
  mSchedule.recordAdded(result.item, Clock::now());
  mPending.push_back(std::move(result));
  mResultAdded.notify();
}

void
ResultLog::stop()
{
  mIsStopped = true;
  mResultAdded.notify();
  mWaitingReaders.notifyAll();
}

bool
ResultLog::isProvenCurrent() const
{
  const bool isOutcomeOverdue =
    mIsWriting && Clock::now() - mWriteStartedAt > kMaxUnknownWriteTime;
  return !mIsStopped && !isOutcomeOverdue &&
         mCluster.isProvenOwner(mBatch, mOwnerRevision);
}

bool
ResultLog::isOwnedElsewhere() const
{
  if (mIsWriting || isComplete()) {
    return false;
  }
  const auto* owner = mCluster.ownerOf(mBatch);
  const auto record = mCluster.batches().find(mBatch);
  const bool hasOtherOwner = owner != nullptr && !mCluster.isSelf(*owner) &&
                             owner->revision > mOwnerRevision;
  return hasOtherOwner || (record != mCluster.batches().end() &&
                           record->second.state == BatchState::Finished);
}

net::Awaitable<std::error_code>
ResultLog::release()
{
  StoreTransaction release;
  release.preconditions = { { keys::owner(mBatch), mOwnerRevision } };
  release.deletes = { keys::owner(mBatch) };
  // The last results are left to the next owner, which also has to record that
  // the batch is finished.
  const bool areLast = mCommitted.size() + mPending.size() == mRecord.total;
  if (!mPending.empty() && !mIsWriting && !areLast) {
    const auto key = keys::results(mBatch, mCommitted.size());
    auto withResults = release;
    withResults.preconditions.push_back({ key, 0 });
    withResults.writes = { { key, encodeChunk(takeChunk()), 0 } };
    const auto commit = co_await mContext.store.commit(std::move(withResults));
    // An earlier write whose response was lost may have taken the position.
    if (commit.error != StoreError::Conflict) {
      co_return commit.error;
    }
  }
  const auto commit = co_await mContext.store.commit(std::move(release));
  co_return commit.error;
}

net::Awaitable<void>
ResultLog::waitForMore(std::size_t after, Millis maxWait)
{
  const auto end = Clock::now() + maxWait;
  while (mCommitted.size() <= after && !isComplete() && !mIsStopped &&
         Clock::now() < end) {
    co_await mWaitingReaders.wait(
      mContext.io,
      std::chrono::duration_cast<Millis>(end - Clock::now()) + Millis(1));
  }
}

std::vector<StoredResult>
ResultLog::takeChunk()
{
  const auto limit = mContext.settings.storeValueBytes / kChunkSizeDivisor;
  std::size_t size = 0;
  const auto end =
    std::ranges::find_if(mPending, [&](const StoredResult& pending) {
      const bool isFirst = size == 0;
      size += pending.text.size();
      return !isFirst && size >= limit;
    });
  std::vector<StoredResult> chunk;
  std::move(mPending.begin(), end, std::back_inserter(chunk));
  mPending.erase(mPending.begin(), end);
  std::vector<std::size_t> items;
  std::ranges::transform(chunk, std::back_inserter(items), &StoredResult::item);
  mSchedule.beginWrite(items);
  return chunk;
}

net::Awaitable<ResultLog::Ending>
ResultLog::write()
{
  while (!mIsStopped && !isComplete()) {
    if (!mCluster.isListedOwner(mBatch, mOwnerRevision)) {
      const bool isOwner = co_await reclaimOwnership();
      if (!isOwner) {
        co_return Ending::OwnedElsewhere;
      }
    }
    const auto due = mSchedule.dueTime();
    const auto now = Clock::now();
    if (!due || now < *due) {
      const auto wait =
        due ? std::chrono::ceil<Millis>(*due - now) : kMaxWriteWait;
      co_await mResultAdded.wait(std::min(wait, kMaxWriteWait));
      continue;
    }
    auto chunk = takeChunk();
    mIsWriting = true;
    mWriteStartedAt = Clock::now();
    const bool isWritten = co_await commit(chunk);
    mIsWriting = false;
    if (mIsStopped) {
      break;
    }
    if (!isWritten) {
      co_return Ending::OwnedElsewhere;
    }
    restore(std::move(chunk));
    mSchedule.endWrite(Clock::now());
    mWaitingReaders.notifyAll();
  }
  co_return isComplete() ? Ending::Complete : Ending::Stopped;
}

net::Awaitable<bool>
ResultLog::commit(const std::vector<StoredResult>& chunk)
{
  const auto key = keys::results(mBatch, mCommitted.size());
  const auto value = encodeChunk(chunk);
  const bool isLast = mCommitted.size() + chunk.size() == mRecord.total;
  while (!mIsStopped) {
    StoreTransaction transaction;
    transaction.preconditions = { { keys::owner(mBatch), mOwnerRevision },
                                  { key, 0 } };
    transaction.writes = { { key, value, 0 } };
    if (isLast) {
      auto finished = mRecord;
      finished.state = BatchState::Finished;
      transaction.preconditions.push_back(
        { keys::batch(mBatch), mRecord.revision });
      transaction.writes.push_back(
        { keys::batch(mBatch), finished.encode(), 0 });
      transaction.deletes = { keys::owner(mBatch) };
    }
    const auto commit = co_await mContext.store.commit(std::move(transaction));
    if (!commit.error) {
      mContext.log.info("results_written",
                        { { "batch", mBatch },
                          { "position", mCommitted.size() },
                          { "count", chunk.size() },
                          { "bytes", value.size() },
                          { "revision", commit.revision } });
      co_return true;
    }
    if (commit.error != StoreError::Conflict) {
      mContext.log.warning("results_not_written",
                           { { "batch", mBatch },
                             { "position", mCommitted.size() },
                             { "error", commit.error.message() } });
      co_await net::sleepFor(kStoreRetryDelay);
      continue;
    }
    // The key may exist because an earlier attempt to write these results has
    // succeeded although its response was lost.
    const auto written = co_await mContext.store.read(key);
    if (!written) {
      co_await net::sleepFor(kStoreRetryDelay);
      continue;
    }
    if (written.value()) {
      co_return written.value()->value == value;
    }
    const bool isOwner = co_await reclaimOwnership();
    if (!isOwner) {
      co_return false;
    }
  }
  co_return false;
}

net::Awaitable<bool>
ResultLog::reclaimOwnership()
{
  while (!mIsStopped) {
    // Without a lease, do not load the store with reads.
    const auto lease = co_await mCluster.acquireLease();
    if (lease == 0) {
      co_await net::sleepFor(kStoreRetryDelay);
      continue;
    }
    const auto owner = co_await mContext.store.read(keys::owner(mBatch));
    const auto record = co_await mContext.store.read(keys::batch(mBatch));
    if (!owner || !record) {
      co_await net::sleepFor(kStoreRetryDelay);
      continue;
    }
    const auto known =
      record.value() ? BatchRecord::decode(*record.value()) : std::nullopt;
    if (!known || known->state != BatchState::Open) {
      co_return false;
    }
    mRecord.revision = known->revision;
    if (owner.value()) {
      const auto holder = Holder::decode(*owner.value());
      if (!holder || !mCluster.isSelf(*holder)) {
        co_return false;
      }
      mCluster.recordItem(*owner.value());
      if (mCluster.isListedOwner(mBatch, holder->revision)) {
        mOwnerRevision = holder->revision;
        co_return true;
      }
      // The key is bound to a lease that this process has lost. Another process
      // may take the batch over once the store deletes the key.
      co_await net::sleepFor(kStoreRetryDelay);
      continue;
    }
    const auto self = mCluster.selfAsOwner();
    if (self.lease == 0) {
      continue;
    }
    const auto commit = co_await claim(self);
    if (!commit.error) {
      mOwnerRevision = commit.revision;
      co_return true;
    }
    const auto nextResults = keys::results(mBatch, mCommitted.size());
    const bool hasFurtherResults =
      std::ranges::any_of(commit.current, [&](const StoreItem& item) {
        return item.key == nextResults;
      });
    if (hasFurtherResults) {
      co_return false;
    }
    co_await net::sleepFor(kStoreRetryDelay);
  }
  co_return false;
}

net::Awaitable<StoreCommit>
ResultLog::claim(Holder self)
{
  StoreTransaction transaction;
  // The last precondition fails if another process has owned the batch in the
  // meantime and has written results that this process does not know.
  transaction.preconditions = { { keys::owner(mBatch), 0 },
                                { keys::batch(mBatch), mRecord.revision },
                                { keys::results(mBatch, mCommitted.size()),
                                  0 } };
  transaction.writes = { { keys::owner(mBatch), self.encode(), self.lease } };
  auto commit = co_await mContext.store.commit(std::move(transaction));
  mContext.log.info(
    "batch_reclaimed",
    { { "batch", mBatch },
      { "outcome", commit.error ? commit.error.message() : "done" } });
  if (!commit.error) {
    mCluster.recordItem(
      { keys::owner(mBatch), self.encode(), commit.revision });
  }
  co_return commit;
}

} // namespace lentilrack::gateway
