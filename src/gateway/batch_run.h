#pragma once

#include "core/event_stream.h"
#include "core/rollout_batch.h"
#include "gateway/cluster_view.h"
#include "gateway/forwarder.h"
#include "gateway/result_log.h"
#include "net/notifier.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lentilrack::gateway {

/// Runs a batch in the process that owns it: sends the items to backend
/// servers, has their outputs scored, and adds each result to the result log.
class BatchRun : public std::enable_shared_from_this<BatchRun>
{
public:
  BatchRun(Context& context,
           ClusterView& cluster,
           Forwarder& forwarder,
           std::shared_ptr<const core::BatchSpec> spec,
           BatchRecord record,
           std::int64_t ownerRevision);

  /// Takes over results that are already stored, in order of their positions.
  void restore(std::vector<StoredResult> results);
  /// Starts to run the items.
  void start();
  /// Cancels all runs. No result is written afterwards.
  void stop(const std::string& reason);
  /// Stops the batch and releases its ownership, so that another process takes
  /// it over.
  net::Awaitable<void> handOver();

  /// Returns true once no result is added or written any more.
  bool isStopped() const { return mIsStopped; }
  core::TimePoint stoppedAt() const { return mStoppedAt; }
  const core::BatchSpec& spec() const { return *mSpec; }
  const ResultLog& results() const { return mResults; }
  /// Returns which items are waiting, running or finished.
  const core::BatchProgress& progress() const { return mProgress; }

  /// Returns once there are more results than `after` or no more can come, at
  /// the latest after `maxWait`.
  net::Awaitable<void> waitForResults(std::size_t after, core::Millis maxWait);

private:
  /// State of an item that is not finished.
  struct ItemState
  {
    core::EventTextBuilder text;
    std::shared_ptr<net::CancelSignal> cancel;
    core::ServerEntry server;
    /// True while a server generates the text, false while the text is scored.
    bool isGenerating = false;
    core::TimePoint startedAt{};
    core::TimePoint lastActivity{};
    core::TimePoint movedAt{};
    std::int64_t eventsInRun = 0;
  };
  struct ServerRun;

  const core::Route* route() const;
  net::Awaitable<void> dispatch();
  net::Awaitable<void> superviseRuns();
  net::Awaitable<void> writeResults();
  bool startNextItem();
  net::Awaitable<void> runItem(std::size_t item, core::ServerEntry server);
  net::HttpCall prepareCall(std::size_t item,
                            const core::ServerEntry& server,
                            std::shared_ptr<ServerRun> run);
  void processEvents(std::size_t item, ServerRun& run, std::string_view bytes);
  void evaluateRun(std::size_t item,
                   const net::HttpResult& result,
                   ServerRun& run);
  net::Awaitable<void> scoreText(std::size_t item);
  void requeue(std::size_t item, core::Millis pause);
  void finish(core::ItemResult result);
  void abandonItem(std::size_t item, const std::string& reason);
  void checkRunProgress(std::size_t item, core::TimePoint now);

  Context& mContext;
  ClusterView& mCluster;
  Forwarder& mForwarder;
  std::shared_ptr<const core::BatchSpec> mSpec;
  core::Millis mSubmittedAt;
  core::BatchProgress mProgress;
  std::vector<ItemState> mItemStates;
  std::map<std::string, std::string> mServerByGroup;
  ResultLog mResults;
  net::Notifier mWorkChanged;
  core::TimePoint mStoppedAt{};
  bool mIsStopped = false;
};

} // namespace lentilrack::gateway
