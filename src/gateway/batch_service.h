#pragma once

#include "gateway/batch_reader.h"
#include "net/http_server.h"

#include <map>
#include <memory>
#include <optional>
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

  /// Starts to look for batches without an owner and to take them over.
  void start();
  /// Has a submitted batch accepted, by the process that runs the batches of
  /// its model or else by this process, and responds with 202 once the store
  /// holds it. The batch then belongs to the organisation, whose name is empty
  /// if the deployment has none.
  net::Awaitable<void> submit(net::HttpExchange& exchange,
                              const core::Route& route,
                              std::string organisation = "");
  /// Accepts a batch that a trainer has submitted to another process.
  net::Awaitable<net::HttpResponse> acceptForPeer(std::string id,
                                                  net::HttpRequest request);
  /// Ends a batch at the request of its trainer.
  net::Awaitable<void> end(net::HttpExchange& exchange, EndBatch call);
  BatchReader& reader() { return mReader; }
  /// Stops the run of a batch in this process after a trainer has ended the
  /// batch at another process.
  void stopEndedRun(const std::string& id);

  /// Stops the runs in this process whose batches have ended or belong to
  /// another process. Called after each change of a cluster key.
  void onClusterChange();
  /// Starts to give up the ownership of all running batches, so that other
  /// processes take them over.
  net::Awaitable<void> handOverAll();
  /// Deletes the stored data of finished and ended batches whose retention
  /// period has passed.
  net::Awaitable<void> deleteExpired();
  /// Returns the number of batches that run in this process.
  std::size_t openRunCount() const;

private:
  /// Has the batch accepted by the process that runs the batches of its model.
  /// Returns NotDone if that is this process, or if the other process will not
  /// store the batch.
  net::Awaitable<WriteOutcome> acceptAtHome(const core::BatchSpec& spec,
                                            const std::string& body);
  /// Returns why a submission must be refused, or nothing.
  std::optional<std::string> problemIn(
    const WireFormat::Decoded<core::BatchSpec>& spec) const;
  /// Returns an estimate of the memory that the runs use, in bytes.
  std::size_t runMemory() const;
  /// Returns whether the batches use so much memory that no further one
  /// may be accepted.
  bool isMemoryExhausted() const;
  /// Stores the batch and returns the response. Retries the store until the
  /// deadline. `earlier` is the outcome of an earlier attempt to store it.
  net::Awaitable<net::HttpResponse> accept(
    std::shared_ptr<const core::BatchSpec> spec,
    const std::string& body,
    core::TimePoint deadline,
    WriteOutcome earlier = WriteOutcome::NotDone);
  /// Returns the response to a submission that this process has no memory for.
  net::Awaitable<net::HttpResponse> rejectForMemory(std::string id,
                                                    WriteOutcome earlier);
  /// Returns the transaction that stores a batch, with this process as its
  /// owner if it can run the batch.
  StoreTransaction makeAcceptTransaction(const std::string& id,
                                         const BatchRecord& record,
                                         const std::string& body) const;
  void startRun(std::shared_ptr<const core::BatchSpec> spec,
                const BatchRecord& record,
                std::int64_t ownerRevision,
                std::vector<StoredResult> results);
  /// Takes over batches without an owner as long as the process runs.
  net::Awaitable<void> adoptOrphanedBatches();
  /// Claims the ownership of a batch in the store and continues the batch from
  /// its stored results. Does not run the batch if another process has claimed
  /// it first.
  net::Awaitable<void> takeOverBatch(std::string id);
  net::Awaitable<void> handOver(std::shared_ptr<BatchRun> batch);
  std::shared_ptr<BatchRun> findLocalRun(const std::string& id) const;

  Context& mContext;
  ClusterView& mCluster;
  Forwarder& mForwarder;
  PeerClient& mPeers;
  BatchReader mReader;
  /// Running batches, and batches that stopped recently, by id.
  std::map<std::string, std::shared_ptr<BatchRun>> mRuns;
  /// Ids of the batches that this process is taking over.
  std::set<std::string> mPendingClaims;
  /// When this process first saw a batch without an owner, by batch id.
  std::map<std::string, core::TimePoint> mOrphanedAt;
};

} // namespace lentilrack::gateway
