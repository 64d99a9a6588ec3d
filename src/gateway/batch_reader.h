#pragma once

#include "gateway/batch_run.h"
#include "gateway/peer_client.h"
#include "net/http_server.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lentilrack::gateway {

/// A batch as the store has it.
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
  /// The store did not say.
  Unknown,
};

/// Whether the text can be the id of a batch, and so a part of a key.
bool
isValidBatchId(const std::string& id);

/// The answer while the store cannot say what the caller asks.
net::HttpResponse
storeUnavailableResponse();

/// Answers trainers that read results and bodies of items: from the run in this
/// process, from the owner of the batch, or else from the store.
class BatchReader
{
public:
  /// For calls to the owner that it answers at once.
  static constexpr core::Millis kPeerTimeout{ 700 };

  /// `ownRun` gives the run of a batch in this process, or null.
  BatchReader(
    Context& context,
    ClusterView& cluster,
    PeerClient& peers,
    std::function<std::shared_ptr<BatchRun>(const std::string&)> findLocalRun);

  net::Awaitable<void> read(net::HttpExchange& exchange, ReadBatch call);
  net::Awaitable<void> readItemBody(net::HttpExchange& exchange,
                                    ReadItemBody call);

  /// The same for other processes, of batches that this process owns. The
  /// status 404 says only that this process does not own the batch.
  net::Awaitable<net::HttpResponse> readLocal(ReadBatch call);
  net::HttpResponse readLocalItemBody(const ReadItemBody& call) const;

  net::Awaitable<BatchPresence> lookUp(std::string id);
  /// Error: the store could not be read.
  net::Awaitable<core::Result<StoredBatch>> load(std::string id,
                                                 BatchRecord record);
  /// Asks the process that owns the batch; nothing if there is no other owner
  /// or it does not answer in time.
  net::Awaitable<std::optional<net::HttpResponse>> requestFromOwner(
    std::string id,
    net::HttpRequest request,
    core::Millis timeout);

private:
  /// The answer for a batch that is not known to exist; nothing if it is.
  net::Awaitable<std::optional<net::HttpResponse>> rejectUnknownBatch(
    std::string id);
  net::Awaitable<net::HttpResponse> readRemote(ReadBatch call);
  net::Awaitable<net::HttpResponse> readStored(ReadBatch call);
  net::Awaitable<net::HttpResponse> readRemoteItemBody(ReadItemBody call);
  net::HttpResponse makePage(std::size_t total,
                             std::size_t after,
                             const std::vector<StoredResult>& results) const;

  Context& mContext;
  ClusterView& mCluster;
  PeerClient& mPeers;
  std::function<std::shared_ptr<BatchRun>(const std::string&)> mFindLocalRun;
};

} // namespace lentilrack::gateway
