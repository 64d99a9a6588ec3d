#pragma once

#include "core/hedging/hedge_controller.h"
#include "gateway/attempt_outcome.h"
#include "gateway/forwarder.h"
#include "net/notifier.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lentilrack::gateway {

/// Runs one call. Two attempts at different servers may run at the same time.
class ServiceCallRun : public std::enable_shared_from_this<ServiceCallRun>
{
public:
  ServiceCallRun(Context& context, ServiceCall call);

  net::Awaitable<CallOutcome> run();

private:
  /// An attempt at one server.
  struct Attempt
  {
    core::ServerEntry server;
    /// Whether another attempt is running at its start.
    bool isHedge = false;
    /// What is expected of the hedge, if hedging is limited.
    std::optional<core::HedgeController::Hedge> hedge;
  };

  net::Awaitable<void> runAttempts();

  /// Returns the time until the next hedged attempt or, if there will be none,
  /// until the deadline.
  core::Millis waitTime() const;

  /// Returns how long to wait for a permit of a server that states a request
  /// rate. Returns nothing if the request must be rejected now.
  std::optional<core::Millis> waitForPermit();

  core::ServerRequirements requirements() const;

  /// Returns the window that limits this call on the server; null if the call
  /// cannot wait or the server is unknown.
  core::ConcurrencyWindow* deferrableWindow(const core::ServerEntry& server);

  /// Records whether the server had capacity for an attempt. A full server also
  /// resets new connections.
  static void recordCapacity(core::ConcurrencyWindow& window,
                             AttemptOutcome outcome);

  /// Reports, once, that the request has run.
  void reportRun(core::TimePoint start);

  /// Returns true if the request may be sent to another server.
  bool canRetry() const;

  /// Sends the request to a server that was not tried yet. Returns false if
  /// there is no server.
  bool startAttempt();

  /// Sends the request to a second server if the limit on hedging allows it.
  /// Returns false if it does not.
  bool startHedge();

  /// Returns when a second attempt of an attempt that starts now is due.
  core::TimePoint nextHedgeTime();

  /// Service and kind of the request, for which durations are compared.
  core::HedgePolicy::Subject hedgeSubject() const;

  void launch(Attempt started);

  net::Awaitable<void> attempt(Attempt started);

  /// Records how long the attempt took and whether its response is the result
  /// of the call.
  void recordEnd(const Attempt& ended,
                 AttemptOutcome outcome,
                 bool isServerError,
                 bool hasWon,
                 core::TimePoint start);

  void handleResult(const core::ServerEntry& server,
                    net::HttpResult result,
                    AttemptOutcome attemptOutcome,
                    core::TimePoint start);

  /// Records why there is no response. Does nothing if a server has responded
  /// with a failure: that response is then returned to the caller.
  void recordNoResponse(std::string reason);

  /// Counts the last attempt as a refusal. If `canReuseServer` is true, the
  /// next attempt may go to the same server.
  void uncountAttempt(const core::ServerEntry& server, bool canReuseServer);

  Context& mContext;
  ServiceCall mCall;
  std::shared_ptr<net::CancelSignal> mCancelAttempts;
  /// Notified when an attempt ends or the call is cancelled.
  net::Notifier mChanged;
  CallOutcome mOutcome;
  core::TimePoint mStartedAt = core::Clock::now();
  std::set<std::string> mTriedServers;
  /// When the request may also be sent to another server, if hedging is
  /// allowed.
  core::TimePoint mHedgeAt{};
  /// Whether hedging is limited. It does not change during a call.
  bool mHasHedgeLimit = false;
  /// Second attempt of the last first attempt, if it pays off.
  std::optional<core::HedgePlan> mHedgePlan;
  /// Failure domain of the server of the last attempt.
  std::string mLastDomain;
  core::Millis mRetryDelay{ 0 };
  int mAttempts = 0;
  int mRefusals = 0;
  /// Number of attempts whose response is awaited.
  int mRunningAttempts = 0;
  bool mMayHaveExecuted = false;
  /// True once no untried server was found.
  bool mHasNoOtherServer = false;
  bool mIsDone = false;
  bool mIsCancelled = false;
};

} // namespace lentilrack::gateway
