#pragma once

#include "gateway/batch_reader.h"
#include "net/http_server.h"

#include <map>
#include <memory>
#include <string>

namespace lentilrack::gateway {

/// Accepts batches, runs those that this process owns, and takes over those
/// that have no owner.
class BatchService
{
public:
  BatchService(Context& context,
               ClusterView& cluster,
               Forwarder& forwarder,
               PeerClient& peers);

  /// Starts to look for batches without an owner.
  void start();
  /// Stores a submitted batch and responds with 202 once the store holds it.
  net::Awaitable<void> submit(net::HttpExchange& exchange,
                              const core::Route& route);
  /// Ends a batch at the request of its trainer.
  net::Awaitable<void> end(net::HttpExchange& exchange, EndBatch call);
  BatchReader& reader() { return mReader; }
  /// Stops the local run of a batch whose end was requested at another process.
  void stopEndedRun(const std::string& id);

  /// Stops the local runs of batches that have been ended.
  void onClusterChange();
  /// Releases all batches for other processes to take over.
  net::Awaitable<void> handOverAll();
  /// Deletes the stored data of batches whose retention period has passed.
  net::Awaitable<void> deleteExpired();
  /// Returns the number of batches that run in this process.
  std::size_t openRunCount() const;

private:
  net::Awaitable<net::HttpResponse> accept(
    std::shared_ptr<const core::BatchSpec> spec,
    const std::string& body,
    core::TimePoint deadline);
  StoreTransaction makeAcceptTransaction(const std::string& id,
                                         const BatchRecord& record,
                                         const std::string& body) const;
  void startRun(std::shared_ptr<const core::BatchSpec> spec,
                const BatchRecord& record,
                std::int64_t ownerRevision,
                std::vector<StoredResult> results);
  net::Awaitable<void> adoptOrphanedBatches();
  net::Awaitable<void> takeOver(std::string id);
  net::Awaitable<void> handOver(std::shared_ptr<BatchRun> batch);
  std::shared_ptr<BatchRun> findLocalRun(const std::string& id) const;

  Context& mContext;
  ClusterView& mCluster;
  Forwarder& mForwarder;
  BatchReader mReader;
  std::map<std::string, std::shared_ptr<BatchRun>> mRuns;
  /// Batches that this process is taking over.
  std::set<std::string> mPendingClaims;
  std::map<std::string, core::TimePoint> mOrphanedAt;
};

} // namespace lentilrack::gateway
