#include "gateway/batch_reader.h"

#include "core/decimal.h"
#include "core/organisations/authentication.h"
#include "net/http_status.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>

namespace lentilrack::gateway {

namespace {

using core::Millis;

/// How long the owner of a batch may take to respond, in addition to the time
/// for which the trainer lets it wait for results.
constexpr Millis kPeerTimeoutMargin{ 500 };
constexpr Millis kMaxWait{ 2'000 };
/// Maximum size of a page of results. Callers accept responses of at most 1 MB.
constexpr std::size_t kMaxPageBytes = 900'000;
constexpr std::size_t kMaxIdLength = 100;
/// Value of the Retry-After header while the store is unavailable.
constexpr Millis kRetryAfter{ 200 };

net::HttpResponse
itemBodyResponse(const core::BatchItem& item)
{
  net::HttpResponse response;
  response.contentType = "application/octet-stream";
  response.body = item.body;
  return response;
}

} // namespace

bool
isValidBatchId(const std::string& id)
{
  return !id.empty() && id.size() <= kMaxIdLength &&
         std::ranges::all_of(id, [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

bool
isStoredBatchId(const std::string& id)
{
  constexpr std::size_t kMaxScopeLength = 64;
  const auto separator = id.find(core::kScopeSeparator);
  if (separator == std::string::npos) {
    return isValidBatchId(id);
  }
  const bool isScope =
    separator > 0 && separator <= kMaxScopeLength &&
    std::ranges::all_of(id.substr(0, separator),
                        [](unsigned char c) { return std::isxdigit(c) != 0; });
  return isScope && isValidBatchId(id.substr(separator + 1));
}

net::HttpResponse
storeUnavailableResponse()
{
  return refusalResponse(
    net::status::kUnavailable, "store_unavailable", kRetryAfter);
}

BatchReader::BatchReader(
  Context& context,
  ClusterView& cluster,
  PeerClient& peers,
  std::function<std::shared_ptr<BatchRun>(const std::string&)> findLocalRun)
  : mContext(context)
  , mCluster(cluster)
  , mPeers(peers)
  , mFindLocalRun(std::move(findLocalRun))
{
}

net::Awaitable<BatchPresence>
BatchReader::lookUp(std::string id)
{
  if (mCluster.batches().contains(id) || mFindLocalRun(id)) {
    co_return BatchPresence::Known;
  }
  if (!isStoredBatchId(id)) {
    co_return BatchPresence::Absent;
  }
  const auto item = co_await mContext.store.read(keys::batch(id));
  if (!item) {
    co_return BatchPresence::Unknown;
  }
  if (!item.value()) {
    co_return BatchPresence::Absent;
  }
  mCluster.recordItem(*item.value());
  co_return BatchPresence::Known;
}

net::Awaitable<core::Result<StoredBatch>>
BatchReader::load(std::string id, BatchRecord record)
{
  auto listing = co_await mContext.store.list(keys::dataPrefix(id));
  if (!listing) {
    co_return listing.error();
  }
  auto items = std::move(listing.value().items);
  const auto resultsPrefix = keys::resultsPrefix(id);
  const auto chunks = std::ranges::partition(items, [&](const StoreItem& item) {
    return !item.key.starts_with(resultsPrefix);
  });
  StoredBatch stored;
  stored.results = joinChunks({ chunks.begin(), chunks.end() });
  items.erase(chunks.begin(), chunks.end());
  std::ranges::sort(items, {}, &StoreItem::key);
  std::string body;
  std::ranges::for_each(items, [&](const auto& part) { body += part.value; });
  auto spec = mContext.format.decodeBatch(id, record.host, record.path, body);
  // Reject a decoded batch whose number of items differs from its record. The
  // stored results would then refer to wrong items.
  if (!spec || spec.value().items.size() != record.total) {
    co_return make_error_code(StoreError::MalformedResponse);
  }
  spec.value().organisation = record.organisation;
  stored.spec =
    std::make_shared<const core::BatchSpec>(std::move(spec).value());
  co_return stored;
}

std::optional<std::string>
BatchReader::likelyHolderOf(const std::string& id) const
{
  if (const auto* owner = mCluster.ownerOf(id)) {
    return owner->instance;
  }
  // A finished batch has no owner, but the process that ran it keeps its
  // results for a while.
  const auto batch = mCluster.batches().find(id);
  const bool isFinished = batch != mCluster.batches().end() &&
                          batch->second.state != BatchState::Open;
  return isFinished ? mCluster.homeOf(batch->second.model) : std::nullopt;
}

net::Awaitable<std::optional<net::HttpResponse>>
BatchReader::requestFromOwner(std::string id,
                              net::HttpRequest request,
                              Millis timeout)
{
  const auto instance = likelyHolderOf(id);
  if (!instance || *instance == mContext.settings.instance) {
    co_return std::nullopt;
  }
  co_return co_await mPeers.sendRequest(*instance, std::move(request), timeout);
}

net::HttpResponse
BatchReader::makePage(std::size_t total,
                      std::size_t after,
                      const std::vector<StoredResult>& results) const
{
  std::vector<std::string> texts;
  std::size_t size = 0;
  auto next = after;
  while (next < results.size() &&
         (texts.empty() || size + results[next].text.size() < kMaxPageBytes)) {
    size += results[next].text.size();
    texts.push_back(results[next].text);
    ++next;
  }
  net::HttpResponse response;
  response.body = mContext.format.encodeResults(total, next, texts);
  return response;
}

net::Awaitable<std::optional<BatchReader::LocalPage>>
BatchReader::readLocal(ReadBatch call)
{
  const auto batch = mFindLocalRun(call.id);
  if (!batch) {
    co_return std::nullopt;
  }
  co_await batch->waitForResults(call.after,
                                 std::clamp(call.wait, Millis(0), kMaxWait));
  const auto& results = batch->results();
  LocalPage page;
  // Results never change. That there is no further one is only certain while
  // this process is the only one that may write results.
  if (results.committed().size() <= call.after && !results.isComplete()) {
    if (!results.isProvenCurrent()) {
      co_return std::nullopt;
    }
    page.ownerRevision = results.ownerRevision();
  }
  page.response = makePage(results.total(), call.after, results.committed());
  co_return page;
}

net::Awaitable<net::HttpResponse>
BatchReader::readForPeer(ReadBatch call)
{
  auto page = co_await readLocal(std::move(call));
  if (!page) {
    co_return errorResponse(net::status::kNotFound, "not_the_owner");
  }
  page->response.headers.emplace_back(peer_headers::kOwnerRevision,
                                      std::to_string(page->ownerRevision));
  co_return std::move(page->response);
}

bool
BatchReader::isCurrentPage(const std::string& id,
                           const net::HttpResponse& page) const
{
  const auto revision = core::parseDecimal<std::int64_t>(
    net::headerValue(page.headers, peer_headers::kOwnerRevision));
  const auto* owner = mCluster.ownerOf(id);
  const bool isFromOwner =
    revision && owner != nullptr && owner->revision <= *revision;
  return revision == 0 || isFromOwner;
}

net::Awaitable<net::HttpResponse>
BatchReader::readStored(ReadBatch call)
{
  const auto known = mCluster.batches().find(call.id);
  const auto total =
    known != mCluster.batches().end() ? known->second.total : 0;
  auto listing = co_await mContext.store.list(keys::resultsPrefix(call.id));
  if (!listing || total == 0) {
    co_return storeUnavailableResponse();
  }
  const auto results = joinChunks(std::move(listing.value().items));
  co_return makePage(total, call.after, results);
}

net::Awaitable<std::optional<net::HttpResponse>>
BatchReader::rejectUnknownBatch(std::string id)
{
  const auto presence = co_await lookUp(id);
  if (presence == BatchPresence::Absent) {
    co_return errorResponse(net::status::kNotFound, "no_such_batch");
  }
  if (presence == BatchPresence::Unknown) {
    co_return storeUnavailableResponse();
  }
  co_return std::nullopt;
}

net::Awaitable<net::HttpResponse>
BatchReader::readRemote(ReadBatch call)
{
  auto rejection = co_await rejectUnknownBatch(call.id);
  if (rejection) {
    co_return std::move(*rejection);
  }
  net::HttpRequest request;
  request.target = fmt::format("{}{}?after={}&wait={}",
                               peer_paths::kResults,
                               call.id,
                               call.after,
                               call.wait.count());
  auto ownerResponse = co_await requestFromOwner(
    call.id, std::move(request), call.wait + kPeerTimeoutMargin);
  if (ownerResponse && ownerResponse->status == net::status::kOk &&
      isCurrentPage(call.id, *ownerResponse)) {
    ownerResponse->headers.clear();
    co_return std::move(*ownerResponse);
  }
  co_return co_await readStored(call);
}

net::Awaitable<void>
BatchReader::read(net::HttpExchange& exchange, ReadBatch call)
{
  const auto maxWait = std::clamp(mContext.timeToAnswer(), Millis(0), kMaxWait);
  call.wait = std::clamp(call.wait, Millis(0), maxWait);
  auto page = co_await readLocal(call);
  // Not a conditional expression: GCC 12 destroys the result of a co_await in
  // one of its branches too early.
  net::HttpResponse response;
  if (page) {
    response = std::move(page->response);
  } else {
    response = co_await readRemote(call);
  }
  if (response.status != net::status::kOk) {
    mContext.log.info("batch_read",
                      { { "batch", call.id },
                        { "after", call.after },
                        { "status", response.status },
                        { "outcome", response.body } });
  }
  co_await exchange.respond(std::move(response));
}

net::HttpResponse
BatchReader::readLocalItemBody(const ReadItemBody& call) const
{
  const auto batch = mFindLocalRun(call.id);
  if (!batch || batch->isStopped()) {
    return errorResponse(net::status::kNotFound, "not_the_owner");
  }
  const auto item = batch->progress().indexOf(call.item);
  if (!item || batch->results().isCommitted(*item)) {
    return errorResponse(net::status::kGone, "no_such_item");
  }
  return itemBodyResponse(batch->spec().items[*item]);
}

net::Awaitable<net::HttpResponse>
BatchReader::readRemoteItemBody(ReadItemBody call)
{
  auto rejection = co_await rejectUnknownBatch(call.id);
  if (rejection) {
    co_return std::move(*rejection);
  }
  net::HttpRequest request;
  request.target = fmt::format("{}{}?item={}",
                               peer_paths::kItemBody,
                               call.id,
                               net::percentEncoded(call.item));
  auto ownerResponse =
    co_await requestFromOwner(call.id, std::move(request), kPeerTimeout);
  if (ownerResponse && ownerResponse->status != net::status::kNotFound) {
    ownerResponse->headers.clear();
    co_return std::move(*ownerResponse);
  }
  // The record may have been removed while the owner was asked, and a batch
  // that only runs in this process may have none yet.
  const auto known = mCluster.batches().find(call.id);
  if (known == mCluster.batches().end()) {
    co_return storeUnavailableResponse();
  }
  const auto record = known->second;
  const auto stored = co_await load(call.id, record);
  if (!stored) {
    co_return storeUnavailableResponse();
  }
  const auto& items = stored.value().spec->items;
  const auto found = std::ranges::find(items, call.item, &core::BatchItem::id);
  if (found == items.end()) {
    co_return errorResponse(net::status::kNotFound, "no_such_item");
  }
  co_return itemBodyResponse(*found);
}

net::Awaitable<void>
BatchReader::readItemBody(net::HttpExchange& exchange, ReadItemBody call)
{
  auto response = readLocalItemBody(call);
  if (response.status == net::status::kNotFound) {
    response = co_await readRemoteItemBody(call);
  }
  if (response.status == net::status::kGone) {
    response.status = net::status::kNotFound;
  }
  if (response.status != net::status::kOk) {
    mContext.log.info("item_body",
                      { { "batch", call.id },
                        { "item", call.item },
                        { "status", response.status },
                        { "outcome", response.body } });
  }
  co_await exchange.respond(std::move(response));
}

} // namespace lentilrack::gateway
