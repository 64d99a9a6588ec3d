#pragma once

#include "core/event_stream.h"
#include "gateway/forwarder.h"
#include "net/notifier.h"

#include <deque>
#include <memory>
#include <string>

namespace lentilrack::gateway {

/// Forwards a stream of events to the caller as they arrive. Only complete
/// events are forwarded. An interrupted stream can therefore continue at
/// another server after the last event forwarded, if its route allows that.
class StreamForward : public std::enable_shared_from_this<StreamForward>
{
public:
  StreamForward(Context& context,
                net::HttpExchange& exchange,
                net::HttpRequest request,
                const core::Route& route);

  /// Forwards the stream until it ends or fails, and responds to the caller.
  net::Awaitable<void> run();

private:
  /// An attempt at one server.
  struct Attempt
  {
    Attempt(net::asio::io_context& io, const std::string& versionField)
      : eventParser(versionField)
      , eventsTaken(io)
    {
    }

    core::EventStreamParser eventParser;
    core::ServerEntry server;
    std::shared_ptr<net::CancelSignal> cancel =
      std::make_shared<net::CancelSignal>();
    net::HttpResult result;
    /// Status and headers of the response; also the body, unless the response
    /// is a stream of events.
    net::HttpResponse head;
    /// Complete events that are not forwarded yet, as received.
    std::deque<std::string> events;
    /// Size of `events` in bytes.
    std::size_t queuedBytes = 0;
    /// Notified when an event was taken from `events`.
    net::Notifier eventsTaken;
    /// True while nothing is read, because the caller is slower than the
    /// server.
    bool isPaused = false;
    core::TimePoint startedAt{};
    /// When data was last received; at first the start of the attempt.
    core::TimePoint lastActivity{};
    /// True if the server responded with status 200 and a stamp, so that the
    /// body of the response is a stream of events.
    bool isStream = false;
    /// True once the call to the server has ended and `result` is set.
    bool isEnded = false;
  };

  /// Sends the request to the server and collects the received events.
  net::Awaitable<void> request(std::shared_ptr<Attempt> attempt);
  /// Waits until the caller has taken enough of the received events.
  net::Awaitable<void> waitForCaller(std::shared_ptr<Attempt> attempt) const;
  /// Forwards the events of the attempt to the caller until the attempt ends,
  /// its server is silent for too long, or the caller disconnects.
  net::Awaitable<void> relayEvents(std::shared_ptr<Attempt> attempt);
  /// Chooses a server and starts an attempt. Returns null if there is no
  /// server.
  std::shared_ptr<Attempt> startAttempt();
  core::ServerRequirements requirements() const;
  /// Returns how long to wait for a permit of a server that states a request
  /// rate. Returns nothing if the stream must be rejected now.
  std::optional<core::Millis> waitForPermit(core::TimePoint start);
  /// Responds with an error, or aborts the connection if the stream has begun.
  net::Awaitable<void> endWithError();
  /// Returns the time until the deadline.
  core::Millis timeLeft() const;
  /// Returns true if the request may be sent to another server.
  bool canRetry() const;
  /// Returns true if the attempt proves that its server has not executed the
  /// request.
  bool wasNotExecuted(const Attempt& attempt) const;
  /// Records an unsuccessful attempt in the registry. The attempt does not
  /// count towards the limit if the server has not executed the request.
  void recordAttempt(const Attempt& attempt);

  /// Counts the request as run, once. A stream that the caller resumes was
  /// counted when it began.
  void recordRun(core::TimePoint beganAt);

  Context& mContext;
  net::HttpExchange& mExchange;
  net::HttpRequest mRequest;
  std::string mRequestId;
  std::string mRouteName;
  std::string mService;
  /// True if an interrupted stream may continue at another server.
  bool mIsResumable;
  int mMaxAttempts;
  core::TimePoint mDeadline;
  /// Notified when events arrive, the attempt ends or the caller disconnects.
  net::Notifier mChanged;
  std::set<std::string> mTriedServers;
  /// Number of the last event that the caller has received.
  std::int64_t mLastEvent = 0;
  /// Number of attempts, without the refused ones.
  int mAttempts = 0;
  int mRefusals = 0;
  /// When a server that states a request rate takes the next request.
  core::Millis mRetryAfter{ 0 };
  /// True once the response to the caller has begun.
  bool mHasStarted = false;
  /// True once a server may have executed the request.
  bool mMayHaveExecuted = false;
  bool mIsRunRecorded = false;
  /// True once the response to the caller is complete.
  bool mIsDone = false;
  bool mIsCallerGone = false;
  /// Outcome of the last attempt, for the log and for error responses.
  std::string mReason = "no_server";
};

} // namespace lentilrack::gateway
