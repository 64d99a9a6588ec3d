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

/// The work of the owner on one batch: runs the items, has them scored, and
/// hands each result to the log of the batch.
class BatchRun : public std::enable_shared_from_this<BatchRun>
{
public:
  BatchRun(Context& context,
           ClusterView& cluster,
           Forwarder& forwarder,
           std::shared_ptr<const core::BatchSpec> spec,
           BatchRecord record,
           std::int64_t ownerRevision);

  /// Takes results that were written before; they come in order of position.
  void restore(std::vector<StoredResult> results);
  void start();
  /// Ends all runs; no result is written any more.
  void stop(const std::string& reason);
  /// Gives the batch to whoever takes it next.
  net::Awaitable<void> handOver();

  bool isStopped() const { return mIsStopped; }
  core::TimePoint stoppedAt() const { return mStoppedAt; }
  const core::BatchSpec& spec() const { return *mSpec; }
  const ResultLog& results() const { return mResults; }
  const core::BatchProgress& progress() const { return mProgress; }

  /// Returns when there are more results than `after`, or after `most`.
  net::Awaitable<void> waitForResults(std::size_t after, core::Millis most);

private:
  /// What is known of an item that is not finished.
  struct ItemRun
  {
    core::EventTextBuilder text;
    std::shared_ptr<net::CancelSignal> cancel;
    core::ServerEntry server;
    /// A server is at work on the text; afterwards it is being scored.
    bool isGenerating = false;
    core::TimePoint startedAt{};
    core::TimePoint lastActivity{};
    core::TimePoint movedAt{};
    std::int64_t eventsOfRun = 0;
  };
  struct RunResult;

  const core::Route* route() const;
  net::Awaitable<void> dispatch();
  net::Awaitable<void> superviseRuns();
  net::Awaitable<void> writeResults();
  bool startNext();
  net::Awaitable<void> runItem(std::size_t item, core::ServerEntry server);
  net::HttpCall prepareCall(std::size_t item,
                            const core::ServerEntry& server,
                            std::shared_ptr<RunResult> run);
  void takeEvents(std::size_t item, RunResult& run, std::string_view bytes);
  void judgeRun(std::size_t item,
                const net::HttpResult& result,
                RunResult& run);
  net::Awaitable<void> scoreText(std::size_t item);
  void putBack(std::size_t item, core::Millis pause);
  void finish(core::ItemResult result);
  void giveUpItem(std::size_t item, const std::string& reason);
  void checkRun(std::size_t item, core::TimePoint now);

  Context& mContext;
  ClusterView& mCluster;
  Forwarder& mForwarder;
  std::shared_ptr<const core::BatchSpec> mSpec;
  core::Millis mSubmittedAt;
  core::BatchProgress mProgress;
  std::vector<ItemRun> mRuns;
  std::map<std::string, std::string> mServerOfGroup;
  ResultLog mResults;
  net::Notifier mWorkChanged;
  core::TimePoint mStoppedAt{};
  bool mIsStopped = false;
};

} // namespace lentilrack::gateway
