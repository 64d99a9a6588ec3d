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

/// Link handlers for work. Runs what the scheduler decides on the backend
/// servers and streams the answers back.
class DispatchService
{
public:
  /// Called when a server refused a run because of its fencing number.
  using StaleFencing = std::function<void(const std::string& server)>;

  DispatchService(node::Node& node,
                  core::Scheduler& scheduler,
                  Fencing& fencing,
                  StaleFencing onStaleFencing);

  /// Adds the handlers; called before the node starts to listen.
  void addHandlers(net::LinkServer& server);
  /// Starts everything that can start now, and ends what no longer can.
  void pump();
  /// Calls pump() and preempts in short intervals until the process ends.
  net::Awaitable<void> tickLoop();

  /// Refuses new work from now on.
  void drain() { mDraining = true; }
  bool draining() const { return mDraining; }
  std::vector<std::string> inFlight() const;

private:
  struct Active
  {
    std::shared_ptr<net::LinkRequest> request;
    bool idempotent = false;
    /// Set while a run is on.
    std::shared_ptr<net::CancelSignal> cancel;
    core::Endpoint engine;
    std::string engineAttempt;
    core::TimePoint received;
    /// Model or service.
    std::string target;
    /// Request identifier and answer so far; only if not idempotent.
    std::string requestId;
    std::vector<core::Chunk> chunks;
  };

  net::Awaitable<void> handleDispatch(
    std::shared_ptr<net::LinkRequest> request);
  net::Awaitable<void> handleBar(std::shared_ptr<net::LinkRequest> request);
  void accept(const std::shared_ptr<net::LinkRequest>& request,
              wire::DispatchRequest message);
  core::Row rowOf(const core::Work& work) const;
  /// Answers with the present load of the target, unless that is empty.
  void replyTo(net::LinkRequest& request,
               const core::Outcome& outcome,
               const std::string& target) const;
  net::Awaitable<void> run(core::JobStart start);
  backends::GenerateCall generateCall(const core::JobStart& start);
  backends::ServiceCall serviceCall(const core::JobStart& start);
  void takeChunk(core::JobId job, const core::Chunk& chunk);
  void cancel(core::JobId job);
  void cancelRun(core::JobId job);
  net::Awaitable<void> cancelAtEngine(core::Endpoint engine,
                                      std::string attempt);
  void answer(core::JobId job, const core::Outcome& outcome);
  void count(const core::Outcome& outcome);

  node::Node& mNode;
  core::Scheduler& mScheduler;
  Fencing& mFencing;
  StaleFencing mOnStaleFencing;
  backends::EngineClient mEngines;
  backends::ServiceClient mServices;
  core::RecentAnswers mRecentAnswers;
  std::map<core::JobId, Active> mActive;
  core::PauseDetector mPauseGuard;
  bool mDraining = false;
};

} // namespace lentilrack::dispatch
