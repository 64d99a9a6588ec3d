#include "gateway/batch_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>

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
constexpr Millis kPeerMargin{ 500 };
constexpr Millis kPeerTimeout{ 700 };
constexpr Millis kLongestWait{ 2'000 };
/// Callers read at most 1 MB at once.
constexpr std::size_t kPageBytes = 900'000;
/// Body parts are stored below the largest value of a key.
constexpr std::size_t kPartShare = 2;
/// Open batches may take this part of the memory.
constexpr std::size_t kMemoryShare = 4;
constexpr std::size_t kLongestId = 100;
/// What is stored of a batch is deleted this long after its retention.
constexpr Millis kSweepMargin{ 60'000 };
constexpr std::size_t kDeletesAtOnce = 32;

bool
isValidId(const std::string& id)
{
  return !id.empty() && id.size() <= kLongestId &&
         std::ranges::all_of(id, [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

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

std::size_t
positionOf(const std::string& key)
{
  std::size_t position = 0;
  const auto start = key.rfind('/') + 1;
  std::from_chars(key.data() + start, key.data() + key.size(), position);
  return position;
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
{
}

void
BatchService::start()
{
  net::spawn(mContext.io, watchOrphans());
}

BatchRun*
BatchService::ownRun(const std::string& id) const
{
  const auto found = mRuns.find(id);
  return found == mRuns.end() ? nullptr : found->second.get();
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
  auto spec = isValidId(id)
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
  const auto self = Holder{ mContext.settings.instance, mContext.lifetime, 0 };
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
        const Holder self{ mContext.settings.instance, mContext.lifetime, 0 };
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
      co_return refusal(503, "store_unavailable", kRetryAfter);
    }
    mayBeDone = mayBeDone || commit.error == StoreError::OutcomeUnknown;
    co_await net::sleepFor(kStorePause);
  }
  if (mayBeDone) {
    co_return failure(504, "acceptance_unknown");
  }
  co_return refusal(503, "store_unavailable", kRetryAfter);
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
    auto* own = ownRun(id);
    if (own != nullptr && record.state == BatchState::Ended) {
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
      const auto* own = ownRun(id);
      const bool runsHere = own != nullptr && !own->isStopped();
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
    const Holder self{ mContext.settings.instance, mContext.lifetime, 0 };
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
  auto stored = co_await load(id, record);
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

net::Awaitable<core::Result<BatchService::Stored>>
BatchService::load(std::string id, BatchRecord record)
{
  auto listing = co_await mContext.store.list(keys::dataPrefix(id));
  if (!listing) {
    co_return listing.error();
  }
  auto items = std::move(listing.value().items);
  std::ranges::sort(items, {}, &StoreItem::key);
  std::string body;
  Stored stored;
  for (const auto& item : items) {
    if (!item.key.starts_with(keys::resultsPrefix(id))) {
      body += item.value;
    } else if (positionOf(item.key) == stored.results.size()) {
      std::ranges::move(decodeChunk(item.value),
                        std::back_inserter(stored.results));
    }
  }
  auto spec = mContext.format.decodeBatch(id, record.host, record.path, body);
  if (!spec) {
    co_return make_error_code(StoreError::BadAnswer);
  }
  stored.spec =
    std::make_shared<const core::BatchSpec>(std::move(spec).value());
  co_return stored;
}

net::Awaitable<BatchService::Presence>
BatchService::lookUp(std::string id)
{
  if (mCluster.batches().contains(id) || mRuns.contains(id)) {
    co_return Presence::Known;
  }
  if (!isValidId(id)) {
    co_return Presence::Absent;
  }
  const auto item = co_await mContext.store.read(keys::batch(id));
  if (!item) {
    co_return Presence::Unsure;
  }
  if (!item.value()) {
    co_return Presence::Absent;
  }
  mCluster.takeItem(*item.value());
  co_return Presence::Known;
}

net::HttpResponse
BatchService::page(std::size_t total,
                   std::size_t after,
                   const std::vector<StoredResult>& results) const
{
  std::vector<std::string> texts;
  std::size_t size = 0;
  auto next = after;
  while (next < results.size() &&
         (texts.empty() || size + results[next].text.size() < kPageBytes)) {
    size += results[next].text.size();
    texts.push_back(results[next].text);
    ++next;
  }
  net::HttpResponse response;
  response.body = mContext.format.encodeResults(total, next, texts);
  return response;
}

net::Awaitable<net::HttpResponse>
BatchService::readOwn(ReadBatch call)
{
  const auto found = mRuns.find(call.id);
  // A run that another process has taken over knows only a part.
  const bool isOwn =
    found != mRuns.end() &&
    (!found->second->isStopped() ||
     found->second->results().size() == found->second->spec().items.size());
  if (!isOwn) {
    co_return failure(404, "not_the_owner");
  }
  const auto batch = found->second;
  co_await batch->waitForResults(call.after, std::min(call.wait, kLongestWait));
  const bool isCut =
    batch->isStopped() && batch->results().size() < batch->spec().items.size();
  if (isCut) {
    co_return failure(404, "not_the_owner");
  }
  co_return page(batch->spec().items.size(), call.after, batch->results());
}

net::Awaitable<net::HttpResponse>
BatchService::readStored(ReadBatch call)
{
  const auto known = mCluster.batches().find(call.id);
  const auto total =
    known != mCluster.batches().end() ? known->second.total : 0;
  auto listing = co_await mContext.store.list(keys::resultsPrefix(call.id));
  if (!listing || total == 0) {
    co_return refusal(503, "store_unavailable", kRetryAfter);
  }
  auto items = std::move(listing.value().items);
  std::ranges::sort(items, {}, &StoreItem::key);
  std::vector<StoredResult> results;
  for (const auto& item : items) {
    if (positionOf(item.key) == results.size()) {
      std::ranges::move(decodeChunk(item.value), std::back_inserter(results));
    }
  }
  co_return page(total, call.after, results);
}

net::Awaitable<void>
BatchService::read(net::HttpExchange& exchange, ReadBatch call)
{
  auto response = co_await readOwn(call);
  const char* source = "own";
  if (response.status == 404) {
    const auto presence = co_await lookUp(call.id);
    if (presence == Presence::Absent) {
      source = "store";
      response = failure(404, "no_such_batch");
    } else if (presence == Presence::Unsure) {
      source = "none";
      response = refusal(503, "store_unavailable", kRetryAfter);
    } else {
      const auto* owner = mCluster.ownerOf(call.id);
      std::optional<net::HttpResponse> told;
      if (owner != nullptr && !mCluster.isSelf(*owner)) {
        net::HttpRequest request;
        request.target = fmt::format("{}{}?after={}&wait={}",
                                     peer_paths::kResults,
                                     call.id,
                                     call.after,
                                     call.wait.count());
        const auto instance = owner->instance;
        told = co_await mPeers.ask(
          instance, std::move(request), call.wait + kPeerMargin);
      }
      const bool isTold = told && told->status == 200;
      source = isTold ? "owner" : "store";
      if (isTold) {
        response = std::move(*told);
      } else {
        response = co_await readStored(call);
      }
      response.headers.clear();
    }
  }
  if (response.status != 200) {
    mContext.log.info("batch_read",
                      { { "batch", call.id },
                        { "after", call.after },
                        { "source", source },
                        { "status", response.status } });
  }
  co_await exchange.respond(std::move(response));
}

net::HttpResponse
BatchService::itemBodyOfOwn(const ReadItemBody& call) const
{
  const auto* batch = ownRun(call.id);
  if (batch == nullptr || batch->isStopped()) {
    return failure(404, "not_the_owner");
  }
  const auto item = batch->progress().indexOf(call.item);
  if (!item || batch->isListed(*item)) {
    return failure(410, "no_such_item");
  }
  net::HttpResponse response;
  response.contentType = "application/octet-stream";
  response.body = batch->spec().items[*item].body;
  return response;
}

net::Awaitable<void>
BatchService::readItemBody(net::HttpExchange& exchange, ReadItemBody call)
{
  auto response = itemBodyOfOwn(call);
  if (response.status == 404) {
    const auto presence = co_await lookUp(call.id);
    if (presence == Presence::Unsure) {
      response = refusal(503, "store_unavailable", kRetryAfter);
    } else if (presence == Presence::Known) {
      const auto* owner = mCluster.ownerOf(call.id);
      std::optional<net::HttpResponse> told;
      if (owner != nullptr && !mCluster.isSelf(*owner)) {
        net::HttpRequest request;
        request.target = fmt::format(
          "{}{}?item={}", peer_paths::kItemBody, call.id, call.item);
        const auto instance = owner->instance;
        told = co_await mPeers.ask(instance, std::move(request), kPeerTimeout);
      }
      if (told && told->status != 404) {
        response = std::move(*told);
        response.headers.clear();
      } else {
        const auto record = mCluster.batches().at(call.id);
        auto stored = co_await load(call.id, record);
        if (!stored) {
          response = refusal(503, "store_unavailable", kRetryAfter);
        } else {
          const auto& items = stored.value().spec->items;
          const auto found =
            std::ranges::find(items, call.item, &core::BatchItem::id);
          if (found != items.end()) {
            response.status = 200;
            response.contentType = "application/octet-stream";
            response.body = found->body;
          }
        }
      }
    }
  }
  if (response.status == 410) {
    response.status = 404;
  }
  if (response.status != 200) {
    mContext.log.info("item_body",
                      { { "batch", call.id },
                        { "item", call.item },
                        { "status", response.status } });
  }
  co_await exchange.respond(std::move(response));
}

void
BatchService::noteEnded(const std::string& id)
{
  if (auto* batch = ownRun(id)) {
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
  const auto presence = co_await lookUp(call.id);
  if (presence == Presence::Absent) {
    response = failure(404, "no_such_batch");
    outcome = "absent";
  }
  bool isDone = presence == Presence::Absent;
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
      const auto* owner = mCluster.ownerOf(call.id);
      if (owner != nullptr && !mCluster.isSelf(*owner)) {
        net::HttpRequest request;
        request.method = "POST";
        request.target = peer_paths::kEndBatch + call.id;
        const auto instance = owner->instance;
        co_await mPeers.ask(instance, std::move(request), kPeerTimeout);
      }
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
