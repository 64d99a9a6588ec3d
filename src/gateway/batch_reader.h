#pragma once

#include "gateway/batch_run.h"
#include "gateway/peer_client.h"
#include "net/http_server.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lentilrack::gateway {

/// A batch with its results, as read from the store.
struct StoredBatch
{
  std::shared_ptr<const core::BatchSpec> spec;
  std::vector<StoredResult> results;
};

/// Whether a batch was ever accepted.
enum class BatchPresence
{
  Known,
  Absent,
  /// The store could not be read.
  Unknown,
};

/// Returns true if callers may use the text as the id of a batch.
bool
isValidBatchId(const std::string& id);

/// Returns true if the text is an id under which batches are stored (see
/// core::scopedBatchId()), and can therefore be part of a key.
bool
isStoredBatchId(const std::string& id);

/// Returns the 503 response for requests that cannot be answered without the
/// store.
net::HttpResponse
storeUnavailableResponse();

/// Serves trainers that read results and item bodies. Reads them from the run
/// in this process, else from the process that owns the batch, else from the
/// store.
class BatchReader
{
public:
  /// Timeout of those requests to the owner of a batch that the owner answers
  /// without waiting for results.
  static constexpr core::Millis kPeerTimeout{ 700 };

  /// `findLocalRun` returns the run of a batch in this process, or null.
  BatchReader(
    Context& context,
    ClusterView& cluster,
    PeerClient& peers,
    std::function<std::shared_ptr<BatchRun>(const std::string&)> findLocalRun);

  /// Responds with a page of results. If there are no results after the
  /// requested position yet, waits for new ones for up to `call.wait`.
  net::Awaitable<void> read(net::HttpExchange& exchange, ReadBatch call);
  /// Responds with the body of an unfinished item.
  net::Awaitable<void> readItemBody(net::HttpExchange& exchange,
                                    ReadItemBody call);

  /// Respond to other processes from the batches that this process owns. Status
  /// 404 only means that this process cannot prove that it owns the batch; the
  /// batch may exist. Pages of results carry peer_headers::kOwnerRevision.
  net::Awaitable<net::HttpResponse> readForPeer(ReadBatch call);
  net::HttpResponse readLocalItemBody(const ReadItemBody& call) const;

  /// Returns whether the batch was ever accepted. Reads the store only if this
  /// process does not know the batch.
  net::Awaitable<BatchPresence> lookUp(std::string id);
  /// Reads a batch with its results from the store. Fails if the store cannot
  /// be read or the stored data of the batch is incomplete.
  net::Awaitable<core::Result<StoredBatch>> load(std::string id,
                                                 BatchRecord record);
  /// Sends a request to the owner of the batch. Returns nothing if the batch
  /// has no owner, this process is the owner, or the owner does not respond in
  /// time. The headers of the response belong to the connection between the two
  /// processes and must not reach the trainer.
  net::Awaitable<std::optional<net::HttpResponse>> requestFromOwner(
    std::string id,
    net::HttpRequest request,
    core::Millis timeout);

private:
  /// A page from the run in this process.
  struct LocalPage
  {
    net::HttpResponse response;
    /// Revision of the owner key on which the page depends, or 0.
    std::int64_t ownerRevision = 0;
  };

  /// Returns the page, or nothing if this process has no run of the batch, or
  /// has no result at the position and cannot prove that there is none.
  net::Awaitable<std::optional<LocalPage>> readLocal(ReadBatch call);
  /// Returns true if the page of a peer is valid as far as this process knows.
  /// The batch may have got another owner since the peer made the page.
  bool isCurrentPage(const std::string& id,
                     const net::HttpResponse& page) const;
  /// Returns the instance that is most likely to have the results of a batch in
  /// memory, or nothing if there is none.
  std::optional<std::string> likelyHolderOf(const std::string& id) const;
  /// Returns an error response if the batch does not exist or the store cannot
  /// tell, or nothing if the batch exists.
  net::Awaitable<std::optional<net::HttpResponse>> rejectUnknownBatch(
    std::string id);
  /// Reads results from the owner of the batch, or from the store if the owner
  /// does not respond or does not own the batch any more.
  net::Awaitable<net::HttpResponse> readRemote(ReadBatch call);
  net::Awaitable<net::HttpResponse> readStored(ReadBatch call);
  net::Awaitable<net::HttpResponse> readRemoteItemBody(ReadItemBody call);
  /// Returns a page with as many results from position `after` on as fit into
  /// one response. `total` is the number of items of the batch.
  net::HttpResponse makePage(std::size_t total,
                             std::size_t after,
                             const std::vector<StoredResult>& results) const;

  Context& mContext;
  ClusterView& mCluster;
  PeerClient& mPeers;
  std::function<std::shared_ptr<BatchRun>(const std::string&)> mFindLocalRun;
};

} // namespace lentilrack::gateway
