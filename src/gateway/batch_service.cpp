#include "gateway/batch_service.h"

#include "core/organisations/authentication.h"
#include "gateway/batch_check.h"
#include "net/http_status.h"

#include <algorithm>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using core::TimePoint;

constexpr Millis kStoreRetryDelay{ 40 };
constexpr Millis kOrphanCheckInterval{ 100 };
/// In the order in which processes try to take a batch over, each one waits
/// this much longer than the one before it. A claim becomes visible to the
/// other processes in less time.
constexpr Millis kClaimStagger{ 250 };
/// A run is kept this long after it stopped, since trainers go on reading its
/// results. The time is shorter while the runs use much memory.
constexpr Millis kEndedRunRetention{ 30'000 };
constexpr Millis kShortRunRetention{ 5'000 };
/// How long to retry a write to the store. After this time the caller is told
/// that the outcome of the request is unknown.
constexpr Millis kAcceptTimeout{ 4'000 };
constexpr Millis kRetryAfter{ 200 };
/// How long the process that runs the batches of a model may take to accept a
/// batch. After this time the process that the trainer has called accepts it.
constexpr Millis kHomeTimeout{ 1'200 };
/// Larger submissions are not passed on to another process.
constexpr std::size_t kMaxPeerBodyBytes = 4UL * 1024 * 1024;
/// The maximum size of a body part is the maximum size of a value in the store
/// divided by this.
constexpr std::size_t kBodyPartDivisor = 2;
/// All open batches together may use the memory limit of the process divided by
/// this.
constexpr std::size_t kMemoryDivisor = 4;
/// Stopped runs are kept for the longer time while all runs together use less
/// than the memory limit divided by this.
constexpr std::size_t kRetentionMemoryDivisor = 16;
/// The stored data of a batch is deleted this long after the end of its
/// retention period.
constexpr Millis kDeletionMargin{ 60'000 };
constexpr std::size_t kMaxDeletesPerCommit = 32;

net::HttpResponse
acceptedResponse()
{
  net::HttpResponse response;
  response.status = net::status::kAccepted;
  response.body = "{}";
  return response;
}

} // namespace

BatchService::BatchService(Context& context,
                           ClusterView& cluster,
                           Forwarder& forwarder,
                           PeerClient& peers)
  : mContext(context)
  , mCluster(cluster)
  , mForwarder(forwarder)
  , mPeers(peers)
  , mReader(context, cluster, peers, [this](const std::string& id) {
    return findLocalRun(id);
  })
{
}

void
BatchService::start()
{
  net::spawn(mContext.io, adoptOrphanedBatches());
}

std::shared_ptr<BatchRun>
BatchService::findLocalRun(const std::string& id) const
{
  const auto found = mRuns.find(id);
  return found == mRuns.end() ? nullptr : found->second;
}

std::size_t
BatchService::openRunCount() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mRuns, [](const auto& item) { return !item.second->isStopped(); }));
}

net::Awaitable<void>
BatchService::submit(net::HttpExchange& exchange,
                     const core::Route& route,
                     std::string organisation)
{
  const auto start = Clock::now();
  const auto& request = exchange.request();
  const auto callerId = request.header(mContext.format.headers().requestId);
  const auto id = core::scopedBatchId(organisation, callerId);
  net::HttpResponse response;
  auto spec = isValidBatchId(callerId)
                ? mContext.format.decodeSubmission(
                    id, request.header("Host"), request.target, request.body)
                : std::string("the batch id is missing or invalid");
  std::string reason = "accepted";
  if (spec) {
    spec.value().organisation = std::move(organisation);
  }
  if (const auto problem = problemIn(spec)) {
    reason = *problem;
    response =
      errorResponse(net::status::kBadRequest, "malformed_batch", reason);
  } else {
    const auto atHome = co_await acceptAtHome(spec.value(), request.body);
    if (atHome == WriteOutcome::Done) {
      reason = "accepted_by_home";
      response = acceptedResponse();
    } else if (isMemoryExhausted()) {
      reason = "memory";
      response = co_await rejectForMemory(id, atHome);
    } else {
      reason = atHome == WriteOutcome::Unknown ? "home_unknown" : "here";
      response = co_await accept(
        std::make_shared<const core::BatchSpec>(std::move(spec).value()),
        request.body,
        start + std::min(kAcceptTimeout, mContext.timeToAnswer()),
        atHome);
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

std::optional<std::string>
BatchService::problemIn(const WireFormat::Decoded<core::BatchSpec>& spec) const
{
  if (!spec) {
    return spec.error();
  }
  if (spec.value().items.empty()) {
    return "items is empty";
  }
  // A batch that was accepted is answered with 202 again, although the limits
  // may have changed.
  const auto& id = spec.value().id;
  if (mCluster.batches().contains(id) || mRuns.contains(id)) {
    return std::nullopt;
  }
  const auto limits =
    mContext.desired ? mContext.desired->limits() : core::CallerLimits();
  return findProblem(
    spec.value(), limits.headerBytes, mContext.format.headers());
}

std::size_t
BatchService::runMemory() const
{
  std::size_t memory = 0;
  for (const auto& [id, run] : mRuns) {
    memory += run->memoryEstimate();
  }
  return memory;
}

bool
BatchService::isMemoryExhausted() const
{
  return runMemory() > mContext.settings.memoryLimitBytes / kMemoryDivisor;
}

net::Awaitable<WriteOutcome>
BatchService::acceptAtHome(const core::BatchSpec& spec, const std::string& body)
{
  const auto home = mCluster.homeOf(spec.model);
  const bool isKnown =
    mCluster.batches().contains(spec.id) || mRuns.contains(spec.id);
  if (!home || *home == mContext.settings.instance || isKnown ||
      body.size() > kMaxPeerBodyBytes) {
    co_return WriteOutcome::NotDone;
  }
  net::HttpRequest request;
  request.method = "POST";
  request.target = peer_paths::kSubmit + spec.id;
  request.headers = { { peer_headers::kBatchHost, spec.host },
                      { peer_headers::kBatchPath, spec.path } };
  if (!spec.organisation.empty()) {
    request.headers.emplace_back(peer_headers::kBatchOrganisation,
                                 spec.organisation);
  }
  request.body = body;
  const auto result =
    co_await mPeers.call(*home, std::move(request), kHomeTimeout);
  if (result.error) {
    co_return result.sent ? WriteOutcome::Unknown : WriteOutcome::NotDone;
  }
  switch (result.response.status) {
    case net::status::kAccepted:
      co_return WriteOutcome::Done;
    case net::status::kBadRequest:
    case net::status::kUnavailable:
      co_return WriteOutcome::NotDone;
    default:
      co_return WriteOutcome::Unknown;
  }
}

net::Awaitable<net::HttpResponse>
BatchService::rejectForMemory(std::string id, WriteOutcome earlier)
{
  if (earlier == WriteOutcome::NotDone) {
    co_return refusalResponse(503, "too_many_open_batches", kRetryAfter);
  }
  const auto presence = co_await mReader.lookUp(id);
  co_return presence == BatchPresence::Known
    ? acceptedResponse()
    : errorResponse(504, "acceptance_unknown");
}

net::Awaitable<net::HttpResponse>
BatchService::acceptForPeer(std::string id, net::HttpRequest request)
{
  const auto deadline = Clock::now() + kHomeTimeout;
  auto spec = isStoredBatchId(id)
                ? mContext.format.decodeSubmission(
                    id,
                    request.header(peer_headers::kBatchHost),
                    request.header(peer_headers::kBatchPath),
                    request.body)
                : std::string("the batch id is missing or invalid");
  if (spec) {
    spec.value().organisation =
      request.header(peer_headers::kBatchOrganisation);
  }
  net::HttpResponse response;
  if (const auto problem = problemIn(spec)) {
    response =
      errorResponse(net::status::kBadRequest, "malformed_batch", *problem);
  } else if (mContext.isLeaving || !mContext.desired || isMemoryExhausted()) {
    response = refusalResponse(503, "not_accepting_batches", kRetryAfter);
  } else {
    response = co_await accept(
      std::make_shared<const core::BatchSpec>(std::move(spec).value()),
      request.body,
      deadline);
  }
  mContext.log.info("batch_from_peer",
                    { { "batch", id },
                      { "bytes", request.body.size() },
                      { "status", response.status } });
  co_return response;
}

StoreTransaction
BatchService::makeAcceptTransaction(const std::string& id,
                                    const BatchRecord& record,
                                    const std::string& body) const
{
  const auto owner = mCluster.selfAsOwner();
  const auto partSize = mContext.settings.storeValueBytes / kBodyPartDivisor;
  StoreTransaction transaction;
  transaction.preconditions = { { keys::batch(id), 0 },
                                { keys::owner(id), 0 } };
  transaction.writes = { { keys::batch(id), record.encode(), 0 } };
  // A process without a lease, or one that is shutting down, stores the batch
  // without an owner, so that another process takes the batch over.
  if (mCluster.lease() != 0 && !mContext.isLeaving) {
    transaction.writes.push_back(
      { keys::owner(id), owner.encode(), owner.lease });
  }
  for (std::size_t part = 0; part < record.bodyParts; ++part) {
    transaction.writes.push_back(
      { keys::bodyPart(id, part), body.substr(part * partSize, partSize), 0 });
  }
  return transaction;
}

net::Awaitable<net::HttpResponse>
BatchService::accept(std::shared_ptr<const core::BatchSpec> spec,
                     const std::string& body,
                     TimePoint deadline,
                     WriteOutcome earlier)
{
  const auto& id = spec->id;
  if (mCluster.batches().contains(id) || mRuns.contains(id)) {
    co_return acceptedResponse();
  }
  const auto partSize = mContext.settings.storeValueBytes / kBodyPartDivisor;
  BatchRecord record;
  record.host = spec->host;
  record.path = spec->path;
  record.total = spec->items.size();
  record.model = spec->model;
  record.organisation = spec->organisation;
  record.estimatedTokens = spec->expectedTokens();
  record.bodyParts = (body.size() + partSize - 1) / partSize;
  record.submittedAt = unixNow();
  bool mayBeCommitted = earlier != WriteOutcome::NotDone;
  if (!mContext.isLeaving) {
    co_await mCluster.acquireLease();
  }
  while (Clock::now() < deadline) {
    auto transaction = makeAcceptTransaction(id, record, body);
    const bool isOwner = transaction.writes.size() > record.bodyParts + 1;
    const auto owner = mCluster.selfAsOwner().encode();
    const auto commit = co_await mContext.store.commit(std::move(transaction));
    if (!commit.error) {
      record.revision = commit.revision;
      mCluster.recordItem(
        { keys::batch(id), record.encode(), commit.revision });
      if (isOwner) {
        mCluster.recordItem({ keys::owner(id), owner, commit.revision });
        startRun(spec, record, commit.revision, {});
      }
      co_return acceptedResponse();
    }
    if (commit.error == StoreError::Conflict) {
      // The batch is already stored: by an earlier attempt of this process
      // whose response was lost, or by another process. If this process is the
      // owner, adoptOrphanedBatches() starts the run.
      for (const auto& item : commit.current) {
        mCluster.recordItem(item);
      }
      co_return acceptedResponse();
    }
    mayBeCommitted =
      mayBeCommitted || commit.outcome() == WriteOutcome::Unknown;
    if (commit.error == StoreError::Unavailable && !mayBeCommitted) {
      co_return storeUnavailableResponse();
    }
    co_await net::sleepFor(kStoreRetryDelay);
  }
  if (mayBeCommitted) {
    co_return errorResponse(504, "acceptance_unknown");
  }
  co_return storeUnavailableResponse();
}

void
BatchService::startRun(std::shared_ptr<const core::BatchSpec> spec,
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
  for (const auto& [id, localRun] : mRuns) {
    const auto known = mCluster.batches().find(id);
    if (known != mCluster.batches().end() &&
        known->second.state == BatchState::Ended) {
      localRun->stop("ended");
    }
    localRun->stopIfOwnedElsewhere();
  }
}

net::Awaitable<void>
BatchService::adoptOrphanedBatches()
{
  for (;;) {
    co_await net::sleepFor(kOrphanCheckInterval);
    const auto now = Clock::now();
    const auto retention =
      runMemory() > mContext.settings.memoryLimitBytes / kRetentionMemoryDivisor
        ? kShortRunRetention
        : kEndedRunRetention;
    std::erase_if(mRuns, [&](const auto& item) {
      const auto& batch = *item.second;
      return batch.isStopped() && now - batch.stoppedAt() > retention;
    });
    const bool canClaim = mCluster.isSynced() && mCluster.isRegistered() &&
                          !mContext.isLeaving && mContext.desired;
    if (!canClaim) {
      continue;
    }
    for (const auto& [id, record] : mCluster.batches()) {
      const auto* owner = mCluster.ownerOf(id);
      const auto localRun = findLocalRun(id);
      const bool isRunningHere = localRun && !localRun->isStopped();
      // If the owner has the name of this instance, nobody runs the batch: the
      // owner is either this process, which has no run of the batch, or an
      // earlier process that no longer exists.
      const bool isOwnInstance =
        owner != nullptr && owner->instance == mContext.settings.instance;
      const bool isOrphan = record.state == BatchState::Open &&
                            !isRunningHere && !mPendingClaims.contains(id) &&
                            (owner == nullptr || isOwnInstance);
      if (!isOrphan) {
        mOrphanedAt.erase(id);
        continue;
      }
      const auto since = mOrphanedAt.try_emplace(id, now).first->second;
      const auto claimDelay =
        isOwnInstance
          ? Millis(0)
          : kClaimStagger * static_cast<int>(mCluster.takeoverRank(id));
      if (now - since >= claimDelay) {
        mPendingClaims.insert(id);
        net::spawn(mContext.io, takeOverBatch(id));
      }
    }
  }
}

net::Awaitable<void>
BatchService::takeOverBatch(std::string id)
{
  const auto known = mCluster.batches().find(id);
  const auto* owner = mCluster.ownerOf(id);
  auto record =
    known != mCluster.batches().end() ? known->second : BatchRecord{};
  const auto ownerRevision = owner != nullptr ? owner->revision : 0;
  auto revision = ownerRevision;
  const bool isAlreadyOwner = mCluster.isListedOwner(id, ownerRevision);
  if (!isAlreadyOwner) {
    const auto lease = co_await mCluster.acquireLease();
    if (lease == 0) {
      mPendingClaims.erase(id);
      co_return;
    }
    const auto self = mCluster.selfAsOwner();
    StoreTransaction transaction;
    transaction.preconditions = { { keys::owner(id), ownerRevision },
                                  { keys::batch(id), record.revision } };
    transaction.writes = { { keys::owner(id), self.encode(), lease } };
    const auto commit = co_await mContext.store.commit(std::move(transaction));
    mContext.log.info(
      "batch_claimed",
      { { "batch", id },
        { "owner_revision", ownerRevision },
        { "outcome", commit.error ? commit.error.message() : "done" } });
    if (commit.error) {
      std::ranges::for_each(commit.current, [this](const auto& item) {
        mCluster.recordItem(item);
      });
      mOrphanedAt.erase(id);
      mPendingClaims.erase(id);
      co_return;
    }
    revision = commit.revision;
    mCluster.recordItem({ keys::owner(id), self.encode(), revision });
  }
  auto stored = co_await mReader.load(id, record);
  if (stored) {
    startRun(
      stored.value().spec, record, revision, std::move(stored.value().results));
  } else {
    mContext.log.warning(
      "batch_not_loaded",
      { { "batch", id }, { "error", stored.error().message() } });
  }
  mOrphanedAt.erase(id);
  mPendingClaims.erase(id);
}

void
BatchService::stopEndedRun(const std::string& id)
{
  if (const auto batch = findLocalRun(id)) {
    batch->stop("ended");
  }
}

net::Awaitable<void>
BatchService::end(net::HttpExchange& exchange, EndBatch call)
{
  const auto deadline =
    Clock::now() + std::min(kAcceptTimeout, mContext.timeToAnswer());
  net::HttpResponse response;
  response.body = "{}";
  std::string outcome = "ended";
  const auto presence = co_await mReader.lookUp(call.id);
  if (presence == BatchPresence::Absent) {
    response = errorResponse(404, "no_such_batch");
    outcome = "absent";
  }
  bool isDone = presence == BatchPresence::Absent;
  while (!isDone) {
    const auto known = mCluster.batches().find(call.id);
    if (known == mCluster.batches().end() || Clock::now() >= deadline) {
      response = errorResponse(504, "end_unknown");
      outcome = "unknown";
      break;
    }
    if (known->second.state == BatchState::Ended) {
      break;
    }
    auto record = known->second;
    record.state = BatchState::Ended;
    StoreTransaction transaction;
    transaction.preconditions = { { keys::batch(call.id), record.revision } };
    transaction.writes = { { keys::batch(call.id), record.encode(), 0 } };
    const auto commit = co_await mContext.store.commit(std::move(transaction));
    if (!commit.error) {
      mCluster.recordItem(
        { keys::batch(call.id), record.encode(), commit.revision });
      isDone = true;
      stopEndedRun(call.id);
      net::HttpRequest request;
      request.method = "POST";
      request.target = peer_paths::kEndBatch + call.id;
      co_await mReader.requestFromOwner(
        call.id, std::move(request), BatchReader::kPeerTimeout);
    } else {
      std::ranges::for_each(commit.current, [this](const auto& item) {
        mCluster.recordItem(item);
      });
      co_await net::sleepFor(kStoreRetryDelay);
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
BatchService::deleteExpired()
{
  const auto oldest =
    unixNow() - mContext.settings.bounds.resultRetention - kDeletionMargin;
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
      if (transaction.deletes.size() == kMaxDeletesPerCommit) {
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
