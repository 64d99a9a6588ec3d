#pragma once

#include "gateway/batch_run.h"
#include "gateway/peer_client.h"
#include "net/http_server.h"

#include <map>
#include <memory>
#include <string>

namespace lentilrack::gateway {

/// Takes batches, runs those that this process owns, takes over those without
/// an owner, and answers for all of them.
class BatchService
{
public:
  BatchService(Context& context,
               ClusterView& cluster,
               Forwarder& forwarder,
               PeerClient& peers);

  void start();
  net::Awaitable<void> submit(net::HttpExchange& exchange,
                              const core::Route& route);
  net::Awaitable<void> read(net::HttpExchange& exchange, ReadBatch call);
  net::Awaitable<void> readItemBody(net::HttpExchange& exchange,
                                    ReadItemBody call);
  net::Awaitable<void> end(net::HttpExchange& exchange, EndBatch call);

  /// The same for other processes, of batches that this process owns. The
  /// status 404 says only that this process does not own the batch.
  net::Awaitable<net::HttpResponse> readOwn(ReadBatch call);
  net::HttpResponse itemBodyOfOwn(const ReadItemBody& call) const;
  void noteEnded(const std::string& id);

  void onClusterChange();
  /// Gives all batches to other processes.
  net::Awaitable<void> handOverAll();
  /// Deletes what is stored of batches whose time is over.
  net::Awaitable<void> sweep();
  std::size_t openRuns() const;

private:
  /// A batch as the store has it.
  struct Stored
  {
    std::shared_ptr<const core::BatchSpec> spec;
    std::vector<StoredResult> results;
  };
  enum class Presence
  {
    Known,
    Absent,
    Unsure,
  };

  net::Awaitable<net::HttpResponse> accept(
    std::shared_ptr<const core::BatchSpec> spec,
    const std::string& body,
    core::TimePoint deadline);
  StoreTransaction acceptance(const std::string& id,
                              const BatchRecord& record,
                              const std::string& body) const;
  void run(std::shared_ptr<const core::BatchSpec> spec,
           const BatchRecord& record,
           std::int64_t ownerRevision,
           std::vector<StoredResult> results);
  net::Awaitable<void> watchOrphans();
  net::Awaitable<void> takeOver(std::string id);
  net::Awaitable<void> handOver(std::shared_ptr<BatchRun> batch);
  /// Error: the store could not be read.
  net::Awaitable<core::Result<Stored>> load(std::string id, BatchRecord record);
  net::Awaitable<Presence> lookUp(std::string id);
  net::Awaitable<net::HttpResponse> readStored(ReadBatch call);
  net::HttpResponse page(std::size_t total,
                         std::size_t after,
                         const std::vector<StoredResult>& results) const;
  BatchRun* ownRun(const std::string& id) const;

  Context& mContext;
  ClusterView& mCluster;
  Forwarder& mForwarder;
  PeerClient& mPeers;
  std::map<std::string, std::shared_ptr<BatchRun>> mRuns;
  /// Batches that are being taken over.
  std::set<std::string> mClaims;
  std::map<std::string, core::TimePoint> mOrphanedAt;
};

} // namespace lentilrack::gateway
