#pragma once

#include "core/event_stream.h"
#include "gateway/forwarder.h"
#include "net/notifier.h"

#include <deque>
#include <memory>
#include <string>

namespace lentilrack::gateway {

/// Forwards a stream of events as they arrive. Only complete events are
/// forwarded, so that an interrupted stream can continue at another server
/// after the last one if its route allows that.
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
    explicit Attempt(const std::string& versionField)
      : eventParser(versionField)
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
    std::deque<std::string> events;
    core::TimePoint startedAt{};
    core::TimePoint lastActivity{};
    bool isStream = false;
    bool isEnded = false;
  };

  net::Awaitable<void> request(std::shared_ptr<Attempt> attempt);
  net::Awaitable<void> relayEvents(std::shared_ptr<Attempt> attempt);
  std::shared_ptr<Attempt> startAttempt();
  net::Awaitable<void> answerWhole(net::HttpResponse response);
  net::Awaitable<void> endWithError();
  core::Millis timeLeft() const;
  /// Returns true if the request may be sent to another server.
  bool canRetry() const;
  /// Returns true if the attempt proves that its server has not executed the
  /// request.
  bool wasNotExecuted(const Attempt& attempt) const;
  void recordAttempt(const Attempt& attempt);

  Context& mContext;
  net::HttpExchange& mExchange;
  net::HttpRequest mRequest;
  std::string mRequestId;
  std::string mRouteName;
  std::string mService;
  bool mIsResumable;
  int mMaxAttempts;
  core::TimePoint mDeadline;
  net::Notifier mChanged;
  std::set<std::string> mTriedServers;
  /// Number of the last event sent to the caller.
  std::int64_t mLastEvent = 0;
  int mAttempts = 0;
  int mRefusals = 0;
  bool mHasStarted = false;
  bool mMayHaveExecuted = false;
  bool mIsDone = false;
  bool mIsCallerGone = false;
  std::string mReason = "no_server";
};

} // namespace lentilrack::gateway
