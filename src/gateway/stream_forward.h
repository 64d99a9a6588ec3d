#pragma once

#include "core/event_stream.h"
#include "gateway/forwarder.h"
#include "net/notifier.h"

#include <deque>
#include <memory>
#include <string>

namespace lentilrack::gateway {

/// Passes a stream of events on as they come. Only whole events are passed on,
/// so that a stream that breaks can go on at another server after the last one
/// where its route allows that.
class StreamForward : public std::enable_shared_from_this<StreamForward>
{
public:
  StreamForward(Context& context,
                net::HttpExchange& exchange,
                net::HttpRequest request,
                const core::Route& route);

  net::Awaitable<void> run();

private:
  /// One run at one server.
  struct Attempt
  {
    explicit Attempt(const std::string& versionField)
      : cutter(versionField)
    {
    }

    core::EventStreamParser cutter;
    core::ServerEntry server;
    std::shared_ptr<net::CancelSignal> cancel =
      std::make_shared<net::CancelSignal>();
    net::HttpResult result;
    /// Status and headers of a proper stream.
    net::HttpResponse head;
    std::deque<std::string> events;
    core::TimePoint startedAt{};
    core::TimePoint lastActivity{};
    bool isStream = false;
    bool isEnded = false;
  };

  net::Awaitable<void> request(std::shared_ptr<Attempt> attempt);
  net::Awaitable<void> passOn(std::shared_ptr<Attempt> attempt);
  std::shared_ptr<Attempt> startAttempt();
  net::Awaitable<void> answerWhole(net::HttpResponse response);
  net::Awaitable<void> giveUp();
  core::Millis timeLeft() const;
  bool mayTryAgain() const;
  /// Whether the attempt proves that no server has run the request.
  bool isNotRun(const Attempt& attempt) const;
  void noteAttempt(const Attempt& attempt);

  Context& mContext;
  net::HttpExchange& mExchange;
  net::HttpRequest mRequest;
  std::string mId;
  std::string mRouteName;
  std::string mService;
  bool mIsResumable;
  int mMaxAttempts;
  core::TimePoint mDeadline;
  net::Notifier mChanged;
  std::set<std::string> mUsed;
  /// The last event that the caller has.
  std::int64_t mLastEvent = 0;
  int mAttempts = 0;
  int mRefusals = 0;
  bool mHasBegun = false;
  bool mMayHaveRun = false;
  bool mIsDone = false;
  bool mIsCallerGone = false;
  std::string mReason = "no_server";
};

} // namespace lentilrack::gateway
