#pragma once

#include "core/event_stream.h"
#include "core/rollout_batch.h"
#include "core/scheduling/placement.h"
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
/// servers, has the generated texts scored, and adds the results to the result
/// log. batch_run_placement.cpp chooses the items and servers,
/// batch_run_supervision.cpp moves items away from servers that are silent,
/// slow or loading.
class BatchRun : public std::enable_shared_from_this<BatchRun>
{
public:
  BatchRun(Context& context,
           ClusterView& cluster,
           Forwarder& forwarder,
           std::shared_ptr<const core::BatchSpec> spec,
           BatchRecord record,
           std::int64_t ownerRevision);

  /// Adds the results that an earlier owner of the batch has stored, in order
  /// of their positions. Called before start().
  void restore(std::vector<StoredResult> results);
  /// Starts to run the items that have no result.
  void start();
  /// Cancels the runs of all items. No result is written afterwards.
  void stop(const std::string& reason);
  /// Stops the run if another process owns or has finished the batch.
  void stopIfOwnedElsewhere();
  /// Stops the batch and gives up its ownership, so that another process takes
  /// the batch over.
  net::Awaitable<void> handOver();

  /// Returns true once the batch is finished, was ended, or belongs to another
  /// process. This run then adds and writes no further result.
  bool isStopped() const { return mIsStopped; }
  core::TimePoint stoppedAt() const { return mStoppedAt; }
  const core::BatchSpec& spec() const { return *mSpec; }
  /// Returns an estimate of the memory that the items use, in bytes.
  std::size_t memoryEstimate() const { return mMemoryEstimate; }
  const ResultLog& results() const { return mResults; }
  /// Returns which items are waiting, running or finished.
  const core::BatchProgress& progress() const { return mProgress; }

  /// Waits until there are more than `after` results or no further result can
  /// come, for at most `maxWait`.
  net::Awaitable<void> waitForResults(std::size_t after, core::Millis maxWait);

private:
  /// State of an item that has no result yet. A run is the execution of the
  /// item on one server.
  struct ItemState
  {
    /// Text generated so far, in all runs of the item.
    core::EventTextBuilder text;
    /// Cancels the current run or the current reward call (the call that scores
    /// the text).
    std::shared_ptr<net::CancelSignal> cancel;
    /// Server of the current run.
    core::ServerEntry server;
    /// True while a server generates the text, false while the text is scored.
    bool isGenerating = false;
    /// When the current run started.
    core::TimePoint startedAt{};
    /// Slot time that was charged to the organisation for the current run.
    core::Millis chargedTime{ 0 };
    /// When the current run last received an event. Moved forward while the
    /// server loads weights, so that the run does not count as silent.
    core::TimePoint lastActivity{};
    /// When the item was last moved away from a slow server; the default value
    /// if it never was.
    core::TimePoint lastMovedAt{};
    /// Id of the server to which the item is being moved; empty if it is not.
    std::string moveTarget;
    /// Why the last run ended without a complete text; empty if none did.
    std::string endCause;
    /// Number of events of the complete text; 0 before.
    std::int64_t completeEvents = 0;
    /// Number of events received in the current run.
    std::int64_t eventsInRun = 0;
  };
  struct ServerRun;

  /// Returns the route of the batch in the desired state, or null.
  const core::Route* route() const;
  /// Starts items whenever a server has a free slot. Abandons all unfinished
  /// items when their lifetime is over.
  net::Awaitable<void> dispatch();
  /// Calls checkRunProgress() at intervals for each item that is being
  /// generated.
  net::Awaitable<void> superviseRuns();
  net::Awaitable<void> writeResults();
  /// Returns what an item requires of a server of the service.
  core::ServerRequirements slotRequirements(std::string service) const;
  /// Starts the waiting item that can use a free slot best. Returns false if no
  /// item is waiting or no server has a free slot.
  bool startNextItem();
  /// Records that the current run of the item no longer occupies a slot of the
  /// server.
  void releaseSlot(std::size_t item, const core::ServerEntry& server);
  /// Returns how the slots of the model's servers are shared between
  /// organisations; null if the deployment has none.
  core::FairShare* slotShare();
  /// Returns the priority of the batch among those of other organisations.
  int sharePriority() const;
  /// Chooses a server for a waiting item, or null if none has a slot for it.
  core::RegisteredServer* chooseServer(const core::WaitingItem& waiting,
                                       const core::PlacedItem& placed,
                                       const std::string& service,
                                       core::TimePoint now);
  core::PlacedItem placedItem(std::size_t item) const;
  void startItem(std::size_t item,
                 const core::ServerEntry& server,
                 core::TimePoint now);
  net::Awaitable<void> runItem(std::size_t item, core::ServerEntry server);
  /// Records that the server has the prompt of the item with its present
  /// weights.
  void recordPrompt(std::size_t item, const core::ServerEntry& server);
  net::HttpCall prepareCall(std::size_t item,
                            const core::ServerEntry& server,
                            std::shared_ptr<ServerRun> run);
  void processEvents(std::size_t item, ServerRun& run, std::string_view bytes);
  /// Handles the end of a run. If the run has not completed the text, queues
  /// the item again or finishes it as dead. Records refusals and failures of
  /// the server in the registry, as far as they say something about its health.
  void handleRunEnd(std::size_t item,
                    const net::HttpResult& result,
                    ServerRun& run);
  /// Has the complete text of an item scored if the item has a reward call, and
  /// finishes the item.
  net::Awaitable<void> scoreText(std::size_t item);
  /// Queues the item again. Its next run starts after `pause` at the earliest.
  void requeue(std::size_t item, core::Millis pause);
  void finish(core::ItemResult result);
  /// Counts events that servers have produced and the trainer does not get.
  void countDiscarded(std::int64_t events, const std::string& cause);
  /// Counts the events of items without a result, and of complete items of
  /// groups that the trainer cannot count, when the batch has ended.
  void countDiscardedAtEnd(const std::string& cause);
  /// Finishes the item as dead and cancels its run.
  void abandonItem(std::size_t item, const std::string& reason);
  /// Cancels the run of an item if its server is silent, or if the item is
  /// expected to end earlier on another server. The item then runs there.
  void checkRunProgress(std::size_t item, core::TimePoint now);
  /// Returns another server with a free slot for an item that runs on `server`,
  /// or null.
  const core::RegisteredServer* findOtherServer(const core::ServerEntry& server,
                                                core::TimePoint now) const;
  /// Whether the item gains by a move to the target, if its present server
  /// produces no events for `sourcePause`.
  bool gainsByMove(std::size_t item,
                   const core::RegisteredServer& source,
                   const core::RegisteredServer& target,
                   core::Millis sourcePause) const;
  /// Moves a long item away from a server that loads weights, if it gains by
  /// that.
  void moveFromLoadingServer(std::size_t item, core::TimePoint now);
  /// Cancels the current run of an item, which then continues on the target.
  void moveItem(std::size_t item,
                const core::RegisteredServer& target,
                const std::string& reason,
                core::TimePoint now);

  Context& mContext;
  ClusterView& mCluster;
  Forwarder& mForwarder;
  std::shared_ptr<const core::BatchSpec> mSpec;
  std::size_t mMemoryEstimate;
  core::Millis mSubmittedAt;
  core::BatchProgress mProgress;
  std::vector<ItemState> mItemStates;
  core::PromptLocations mPrompts;
  ResultLog mResults;
  /// Notified when an item may have become ready to run, or a slot free.
  net::Notifier mWorkChanged;
  core::TimePoint mStoppedAt{};
  bool mIsStopped = false;
};

} // namespace lentilrack::gateway
