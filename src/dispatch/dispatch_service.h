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

/// Handles the link requests "dispatch" and "bar". A dispatch request submits
/// work: its jobs run on backend servers when the scheduler starts them, and
/// their answers are streamed back to the entry process that sent the work. A
/// bar request asks what became of a request, and if it has not started,
/// prevents it from ever starting here.
class DispatchService
{
public:
  /// Called when a server has refused a run because its fencing number was
  /// stale.
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

  /// Refuses new work from now on. Accepted jobs go on.
  void drain() { mDraining = true; }
  /// True once drain() has been called.
  bool isDraining() const { return mDraining; }
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
    std::string engineAttemptId;
    core::TimePoint received;
    /// Name of the model or service.
    std::string target;
    std::string requestId;
    /// Answer so far; kept for non-idempotent work only.
    std::vector<core::Chunk> chunks;
  };

  net::Awaitable<void> handleDispatch(
    std::shared_ptr<net::LinkRequest> request);
  net::Awaitable<void> handleBar(std::shared_ptr<net::LinkRequest> request);
  /// Passes the work to the scheduler, or answers at once if it refuses it.
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
  backends::EngineClient mEngines;
  backends::ServiceClient mServices;
  core::RecentAnswers mRecentAnswers;
  std::map<core::JobId, ActiveJob> mActiveJobs;
  core::PauseDetector mPauseDetector;
  bool mDraining = false;
};

} // namespace lentilrack::dispatch
