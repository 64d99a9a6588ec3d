#pragma once

#include "gateway/batch_reader.h"
#include "net/http_server.h"

#include <map>
#include <memory>
#include <string>

namespace lentilrack::gateway {

/// Takes batches, runs those that this process owns, and takes over those
/// without an owner.
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
  net::Awaitable<void> end(net::HttpExchange& exchange, EndBatch call);
  BatchReader& reader() { return mReader; }
  /// Another process has taken the end of a batch.
  void stopEndedRun(const std::string& id);

  void onClusterChange();
  /// Gives all batches to other processes.
  net::Awaitable<void> handOverAll();
  /// Deletes what is stored of batches whose time is over.
  net::Awaitable<void> deleteExpired();
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
  /// Batches that are being taken over.
  std::set<std::string> mPendingClaims;
  std::map<std::string, core::TimePoint> mOrphanedAt;
};

} // namespace lentilrack::gateway
