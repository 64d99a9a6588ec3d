#include "gateway/batch_service.h"

#include <algorithm>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using core::TimePoint;

constexpr Millis kStorePause{ 40 };
constexpr Millis kOrphanPause{ 100 };
/// Each process waits this much longer than the one before it in the order of
/// take-over, which is more than a claim takes to be seen.
constexpr Millis kClaimPause{ 250 };
/// A run that has ended is kept this long, since trainers read on.
constexpr Millis kKeepEndedRun{ 5'000 };
/// Longest wait for the store before the caller is told that it is unknown
/// whether the batch was taken.
constexpr Millis kLongestAcceptance{ 4'000 };
constexpr Millis kRetryAfter{ 200 };
/// Body parts are stored below the largest value of a key.
constexpr std::size_t kPartShare = 2;
/// Open batches may take this part of the memory.
constexpr std::size_t kMemoryShare = 4;
/// What is stored of a batch is deleted this long after its retention.
constexpr Millis kSweepMargin{ 60'000 };
constexpr std::size_t kDeletesAtOnce = 32;

std::size_t
memoryOf(const core::BatchSpec& spec)
{
  constexpr std::size_t kItemOverhead = 1'000;
  std::size_t bytes = 0;
  for (const auto& item : spec.items) {
    bytes += item.body.size() + kItemOverhead;
  }
  return bytes;
}

} // namespace

BatchService::BatchService(Context& context,
                           ClusterView& cluster,
                           Forwarder& forwarder,
                           PeerClient& peers)
  : mContext(context)
  , mCluster(cluster)
  , mForwarder(forwarder)
  , mReader(context, cluster, peers, [this](const std::string& id) {
    return ownRun(id);
  })
{
}

void
BatchService::start()
{
  net::spawn(mContext.io, watchOrphans());
}

std::shared_ptr<BatchRun>
BatchService::ownRun(const std::string& id) const
{
  const auto found = mRuns.find(id);
  return found == mRuns.end() ? nullptr : found->second;
}

std::size_t
BatchService::openRuns() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mRuns, [](const auto& item) { return !item.second->isStopped(); }));
}

net::Awaitable<void>
BatchService::submit(net::HttpExchange& exchange, const core::Route& route)
{
  const auto start = Clock::now();
  const auto& request = exchange.request();
  const auto id = request.header(mContext.format.headers().requestId);
  net::HttpResponse response;
  auto spec = isValidBatchId(id)
                ? mContext.format.decodeBatch(
                    id, request.header("Host"), request.target, request.body)
                : std::string("the id of the batch is missing or not valid");
  std::string reason = "accepted";
  if (!spec) {
    reason = spec.error();
    response = failure(400, "malformed_batch");
  } else if (spec.value().items.empty()) {
    reason = "no items";
    response = failure(400, "batch_without_items");
  } else {
    std::size_t memory = 0;
    for (const auto& [runId, run] : mRuns) {
      memory += memoryOf(run->spec());
    }
    if (memory > mContext.settings.memoryBytes / kMemoryShare) {
      reason = "memory";
      response = refusal(503, "too_many_open_batches", kRetryAfter);
    } else {
      response = co_await accept(
        std::make_shared<const core::BatchSpec>(std::move(spec).value()),
        request.body,
        start + kLongestAcceptance);
    }
  }
  const auto took =
    std::chrono::duration<double, std::milli>(Clock::now() - start).count();
  mContext.metrics.observe("batch_accept_ms", took);
  mContext.log.info("batch_submitted",
                    { { "batch", id },
                      { "route", route.name },
                      { "bytes", request.body.size() },
                      { "status", response.status },
                      { "took_ms", took },
                      { "outcome", reason } });
  co_await exchange.respond(std::move(response));
}

StoreTransaction
BatchService::acceptance(const std::string& id,
                         const BatchRecord& record,
                         const std::string& body) const
{
  const auto self = mCluster.self();
  const auto partSize = mContext.settings.storeValueBytes / kPartShare;
  StoreTransaction transaction;
  transaction.expectations = { { keys::batch(id), 0 }, { keys::owner(id), 0 } };
  transaction.writes = { { keys::batch(id), record.encode(), 0 } };
  // Without a lease of its own the process leaves the batch to the others.
  if (mCluster.lease() != 0 && !mContext.isLeaving) {
    transaction.writes.push_back(
      { keys::owner(id), self.encode(), mCluster.lease() });
  }
  for (std::size_t part = 0; part < record.parts; ++part) {
    transaction.writes.push_back(
      { keys::bodyPart(id, part), body.substr(part * partSize, partSize), 0 });
  }
  return transaction;
}

net::Awaitable<net::HttpResponse>
BatchService::accept(std::shared_ptr<const core::BatchSpec> spec,
                     const std::string& body,
                     TimePoint deadline)
{
  const auto& id = spec->id;
  net::HttpResponse accepted;
  accepted.status = 202;
  accepted.body = "{}";
  if (mCluster.batches().contains(id) || mRuns.contains(id)) {
    co_return accepted;
  }
  const auto partSize = mContext.settings.storeValueBytes / kPartShare;
  BatchRecord record;
  record.host = spec->host;
  record.path = spec->path;
  record.total = spec->items.size();
  record.model = spec->model;
  record.work = spec->expectedTokens();
  record.parts = (body.size() + partSize - 1) / partSize;
  record.submittedAt = unixNow();
  bool mayBeDone = false;
  while (Clock::now() < deadline) {
    auto transaction = acceptance(id, record, body);
    const bool isOwner = transaction.writes.size() > record.parts + 1;
    const auto commit = co_await mContext.store.commit(std::move(transaction));
    if (!commit.error) {
      record.revision = commit.revision;
      mCluster.takeItem({ keys::batch(id), record.encode(), commit.revision });
      if (isOwner) {
        const auto self = mCluster.self();
        mCluster.takeItem({ keys::owner(id), self.encode(), commit.revision });
        run(spec, record, commit.revision, {});
      }
      co_return accepted;
    }
    if (commit.error == StoreError::Conflict) {
      // Accepted before: here, by a try without an answer, or elsewhere. The
      // watch of the cluster starts the run if this process owns it.
      for (const auto& item : commit.current) {
        mCluster.takeItem(item);
      }
      co_return accepted;
    }
    const bool isRefused = commit.error == StoreError::Unavailable;
    if (isRefused && !mayBeDone) {
      co_return storeUnavailable();
    }
    mayBeDone = mayBeDone || commit.error == StoreError::OutcomeUnknown;
    co_await net::sleepFor(kStorePause);
  }
  if (mayBeDone) {
    co_return failure(504, "acceptance_unknown");
  }
  co_return storeUnavailable();
}

void
BatchService::run(std::shared_ptr<const core::BatchSpec> spec,
                  const BatchRecord& record,
                  std::int64_t ownerRevision,
                  std::vector<StoredResult> results)
{
  mContext.log.info("batch_started",
                    { { "batch", spec->id },
                      { "items", spec->items.size() },
                      { "listed", results.size() },
                      { "min_version", spec->minVersion },
                      { "model", spec->model },
                      { "expected_tokens", spec->expectedTokens() },
                      { "owner_revision", ownerRevision } });
  auto batch = std::make_shared<BatchRun>(
    mContext, mCluster, mForwarder, spec, record, ownerRevision);
  batch->restore(std::move(results));
  mRuns[spec->id] = batch;
  batch->start();
}

void
BatchService::onClusterChange()
{
  for (const auto& [id, record] : mCluster.batches()) {
    const auto own = ownRun(id);
    if (own && record.state == BatchState::Ended) {
      own->stop("ended");
    }
  }
}

net::Awaitable<void>
BatchService::watchOrphans()
{
  for (;;) {
    co_await net::sleepFor(kOrphanPause);
    const auto now = Clock::now();
    std::erase_if(mRuns, [&](const auto& item) {
      const auto& batch = *item.second;
      return batch.isStopped() && now - batch.stoppedAt() > kKeepEndedRun;
    });
    const bool canClaim = mCluster.isSynced() && mCluster.lease() != 0 &&
                          mCluster.isRegistered() && !mContext.isLeaving &&
                          mContext.desired;
    if (!canClaim) {
      continue;
    }
    for (const auto& [id, record] : mCluster.batches()) {
      const auto* owner = mCluster.ownerOf(id);
      const auto own = ownRun(id);
      const bool runsHere = own && !own->isStopped();
      // An earlier life of this instance cannot hold anything any more.
      const bool isOwnInstance =
        owner != nullptr && owner->instance == mContext.settings.instance;
      const bool isOrphan = record.state == BatchState::Open && !runsHere &&
                            !mClaims.contains(id) &&
                            (owner == nullptr || isOwnInstance);
      if (!isOrphan) {
        mOrphanedAt.erase(id);
        continue;
      }
      const auto since = mOrphanedAt.try_emplace(id, now).first->second;
      const auto turn =
        isOwnInstance ? Millis(0)
                      : kClaimPause * static_cast<int>(mCluster.rankFor(id));
      if (now - since >= turn) {
        mClaims.insert(id);
        net::spawn(mContext.io, takeOver(id));
      }
    }
  }
}

net::Awaitable<void>
BatchService::takeOver(std::string id)
{
  const auto known = mCluster.batches().find(id);
  const auto* owner = mCluster.ownerOf(id);
  auto record =
    known != mCluster.batches().end() ? known->second : BatchRecord{};
  const auto ownerRevision = owner != nullptr ? owner->revision : 0;
  auto revision = ownerRevision;
  const bool isHeld = owner != nullptr && mCluster.isSelf(*owner);
  if (!isHeld) {
    const auto self = mCluster.self();
    StoreTransaction transaction;
    transaction.expectations = { { keys::owner(id), ownerRevision },
                                 { keys::batch(id), record.revision } };
    transaction.writes = {
      { keys::owner(id), self.encode(), mCluster.lease() }
    };
    const auto commit = co_await mContext.store.commit(std::move(transaction));
    mContext.log.info(
      "batch_claimed",
      { { "batch", id },
        { "owner_revision", ownerRevision },
        { "outcome", commit.error ? commit.error.message() : "done" } });
    if (commit.error) {
      std::ranges::for_each(
        commit.current, [this](const auto& item) { mCluster.takeItem(item); });
      mOrphanedAt.erase(id);
      mClaims.erase(id);
      co_return;
    }
    revision = commit.revision;
    mCluster.takeItem({ keys::owner(id), self.encode(), revision });
  }
  auto stored = co_await mReader.load(id, record);
  if (stored) {
    run(
      stored.value().spec, record, revision, std::move(stored.value().results));
  } else {
    mContext.log.warning(
      "batch_not_loaded",
      { { "batch", id }, { "error", stored.error().message() } });
  }
  mOrphanedAt.erase(id);
  mClaims.erase(id);
}

void
BatchService::noteEnded(const std::string& id)
{
  if (const auto batch = ownRun(id)) {
    batch->stop("ended");
  }
}

net::Awaitable<void>
BatchService::end(net::HttpExchange& exchange, EndBatch call)
{
  const auto deadline = Clock::now() + kLongestAcceptance;
  net::HttpResponse response;
  response.body = "{}";
  std::string outcome = "ended";
  const auto presence = co_await mReader.lookUp(call.id);
  if (presence == BatchPresence::Absent) {
    response = failure(404, "no_such_batch");
    outcome = "absent";
  }
  bool isDone = presence == BatchPresence::Absent;
  while (!isDone) {
    const auto known = mCluster.batches().find(call.id);
    if (known == mCluster.batches().end() || Clock::now() >= deadline) {
      response = failure(504, "end_unknown");
      outcome = "unknown";
      break;
    }
    if (known->second.state == BatchState::Ended) {
      break;
    }
    auto record = known->second;
    record.state = BatchState::Ended;
    StoreTransaction transaction;
    transaction.expectations = { { keys::batch(call.id), record.revision } };
    transaction.writes = { { keys::batch(call.id), record.encode(), 0 } };
    const auto commit = co_await mContext.store.commit(std::move(transaction));
    if (!commit.error) {
      mCluster.takeItem(
        { keys::batch(call.id), record.encode(), commit.revision });
      isDone = true;
      noteEnded(call.id);
      net::HttpRequest request;
      request.method = "POST";
      request.target = peer_paths::kEndBatch + call.id;
      co_await mReader.askOwner(
        call.id, std::move(request), BatchReader::kPeerTimeout);
    } else {
      std::ranges::for_each(
        commit.current, [this](const auto& item) { mCluster.takeItem(item); });
      co_await net::sleepFor(kStorePause);
    }
  }
  mContext.log.info("batch_end",
                    { { "batch", call.id },
                      { "status", response.status },
                      { "outcome", outcome } });
  co_await exchange.respond(std::move(response));
}

net::Awaitable<void>
BatchService::handOver(std::shared_ptr<BatchRun> batch)
{
  co_await batch->handOver();
}

net::Awaitable<void>
BatchService::handOverAll()
{
  std::vector<std::shared_ptr<BatchRun>> open;
  for (const auto& [id, batch] : mRuns) {
    if (!batch->isStopped()) {
      open.push_back(batch);
    }
  }
  for (const auto& batch : open) {
    net::spawn(mContext.io, handOver(batch));
  }
  co_return;
}

net::Awaitable<void>
BatchService::sweep()
{
  const auto oldest =
    unixNow() - mContext.settings.bounds.resultRetention - kSweepMargin;
  const auto batches = mCluster.batches();
  for (const auto& [id, record] : batches) {
    if (record.submittedAt > oldest || record.state == BatchState::Open) {
      continue;
    }
    auto listing = co_await mContext.store.list(keys::dataPrefix(id));
    if (!listing) {
      co_return;
    }
    StoreTransaction transaction;
    transaction.deletes = { keys::batch(id) };
    for (const auto& item : listing.value().items) {
      transaction.deletes.push_back(item.key);
      if (transaction.deletes.size() == kDeletesAtOnce) {
        co_await mContext.store.commit(std::exchange(transaction, {}));
      }
    }
    const auto commit = co_await mContext.store.commit(std::move(transaction));
    mContext.log.info(
      "batch_deleted",
      { { "batch", id },
        { "outcome", commit.error ? commit.error.message() : "done" } });
  }
}

} // namespace lentilrack::gateway
