#pragma once

#include "fault_proxy.h"
#include "net/http_server.h"
#include "promise_checker.h"
#include "store_server.h"

#include <pcg_random.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lentilrack::soak {

/// A backend server that runs plain requests and batch items, takes orders to
/// load weights, and fails at times. It reports all that it runs to the
/// checker.
class SoakServer
{
public:
  SoakServer(net::asio::io_context& io,
             StoreServer& store,
             PromiseChecker& checker,
             pcg64& random,
             std::string service,
             std::string model);

  const std::string& id() const { return mId; }
  /// Starts again under a new id, as a process that has crashed.
  void restart();
  /// Announces in the store, and in all responses, that the server leaves.
  void leave();
  /// Sets the hook that tells whether a holder was stopped or cut off recently.
  void onExcuseQuery(std::function<bool(const std::string&)> hook)
  {
    mIsExcused = std::move(hook);
  }

  /// Returns the number of events of an item, which depends on its id only.
  static int eventsOf(const std::string& item);
  static std::string textOf(const std::string& item);

private:
  void publish();
  void unpublish();
  bool happens(double probability);
  net::Awaitable<void> handle(net::HttpExchange& exchange);
  net::Awaitable<void> runPlain(net::HttpExchange& exchange);
  net::Awaitable<void> runItem(net::HttpExchange& exchange);
  net::HttpResponse takeOrder(const std::string& body);
  net::HttpResponse report() const;
  net::Headers answerHeaders(const net::HttpRequest& request) const;
  void checkHeaders(const net::HttpRequest& request, const std::string& batch);

  net::asio::io_context& mIo;
  StoreServer& mStore;
  PromiseChecker& mChecker;
  pcg64& mRandom;
  std::string mService;
  std::string mModel;
  net::HttpServer mServer;
  core::Endpoint mEndpoint;
  std::string mId;
  std::function<bool(const std::string&)> mIsExcused;
  std::int64_t mStartedAt = 0;
  std::int64_t mVersion = 1;
  std::int64_t mOrders = 0;
  std::int64_t mWrites = 0;
  core::TimePoint mLoadingUntil{};
  bool mIsLeaving = false;
};

/// The provider to which usage is reported. Slow, busy or silent at times.
class SoakProvider
{
public:
  SoakProvider(net::asio::io_context& io,
               PromiseChecker& checker,
               pcg64& random);

  core::Endpoint endpoint() const { return mEndpoint; }
  void onExcuseQuery(std::function<bool(const std::string&)> hook)
  {
    mIsExcused = std::move(hook);
  }
  /// Share of the calls that fail, each in one of several ways.
  double failureShare = 0;

private:
  net::Awaitable<void> handle(net::HttpExchange& exchange);

  PromiseChecker& mChecker;
  pcg64& mRandom;
  net::HttpServer mServer;
  core::Endpoint mEndpoint;
  std::function<bool(const std::string&)> mIsExcused;
};

} // namespace lentilrack::soak
