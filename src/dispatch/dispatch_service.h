#pragma once

#include "backends/engine_client.h"
#include "backends/service_client.h"
#include "core/pause_detector.h"
#include "core/recent_answers.h"
#include "core/scheduler.h"
#include "dispatch/fencing.h"
#include "node/node.h"
#include "wire/messages.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lentilrack::dispatch {

/// Returns a hook that records the request rates which the servers state.
backends::RateHook
rateHook(core::Scheduler& scheduler);

/// Handles the link requests "dispatch" and "bar". A dispatch request submits
/// work, which becomes a job: the scheduler decides when the job runs on a
/// backend server, and the answer is streamed back to the entry process that
/// sent the work. A bar request asks for a bar, the promise of this dispatcher
/// never to start a given request. If the request has started already, the
/// reply says so, with the outcome if it has finished.
class DispatchService
{
public:
  /// Called when a server has refused work because this dispatcher's fencing
  /// number for the server was stale.
  using StaleFencingCallback = std::function<void(const std::string& server)>;

  DispatchService(node::Node& node,
                  core::Scheduler& scheduler,
                  Fencing& fencing,
                  StaleFencingCallback onStaleFencing);

  /// Registers the link handlers. Must be called before the node starts to
  /// listen.
  void addHandlers(net::LinkServer& server);
  /// Starts all jobs that can start now and ends those that no longer can, such
  /// as jobs past their deadline.
  void runScheduler();
  /// Calls runScheduler() and preempts jobs at short intervals until the
  /// process ends.
  net::Awaitable<void> schedulerLoop();

  /// Refuses new work from now on. Accepted jobs continue.
  void drain() { mIsDraining = true; }
  /// True once drain() has been called.
  bool isDraining() const { return mIsDraining; }
  /// Returns a description of each queued or running job.
  std::vector<std::string> inFlight() const;

private:
  /// An accepted job that has not been answered yet.
  struct ActiveJob
  {
    std::shared_ptr<net::LinkRequest> request;
    bool idempotent = false;
    /// Cancels the current run; null while the job does not run.
    std::shared_ptr<net::CancelSignal> cancel;
    core::Endpoint engine;
    /// Identifier of the current run at the engine.
    std::string engineAttemptId;
    core::TimePoint receivedAt;
    /// Name of the model or service.
    std::string target;
    std::string requestId;
    /// Chunks of the answer so far; kept for non-idempotent work only.
    std::vector<core::Chunk> chunks;
  };

  net::Awaitable<void> handleDispatch(
    std::shared_ptr<net::LinkRequest> request);
  /// Promises never to start the request named in the message, or replies that
  /// it has started or finished. Rejects a message that is addressed to another
  /// run (incarnation) of this dispatcher.
  net::Awaitable<void> handleBar(std::shared_ptr<net::LinkRequest> request);
  /// Submits the work to the scheduler. If the scheduler refuses the work,
  /// replies with the refusal at once.
  void submitWork(const std::shared_ptr<net::LinkRequest>& request,
                  wire::DispatchRequest message);
  /// Returns the table row of the work's principal and kind, or a row of
  /// default values if there is none.
  core::Row tableRow(const core::Work& work) const;
  /// Sends the outcome with the current load of the target. The load is left
  /// out if `target` is empty or this process drains.
  void sendReply(net::LinkRequest& request,
                 const core::Outcome& outcome,
                 const std::string& target) const;
  net::Awaitable<void> run(core::JobStart start);
  backends::GenerateCall generateCall(const core::JobStart& start);
  backends::ServiceCall serviceCall(const core::JobStart& start);
  void forwardChunk(core::JobId job, const core::Chunk& chunk);
  /// Ends a queued job. A running job is cancelled only if it is idempotent.
  void cancel(core::JobId job);
  /// Cancels the current run of a job, also at the engine.
  void cancelRun(core::JobId job);
  net::Awaitable<void> cancelAtEngine(core::Endpoint engine,
                                      std::string attempt);
  /// Sends the outcome of a job to its requester and forgets the job.
  void finishJob(core::JobId job, const core::Outcome& outcome);
  void countOutcome(const core::Outcome& outcome);

  node::Node& mNode;
  core::Scheduler& mScheduler;
  Fencing& mFencing;
  StaleFencingCallback mOnStaleFencing;
  backends::EngineClient mEngineClient;
  backends::ServiceClient mServiceClient;
  core::RecentAnswers mRecentAnswers;
  std::map<core::JobId, ActiveJob> mActiveJobs;
  core::PauseDetector mPauseDetector;
  bool mIsDraining = false;
};

} // namespace lentilrack::dispatch
