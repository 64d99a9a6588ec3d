#pragma once

#include "load/ledger_check.h"
#include "load/order_client.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lentilrack::load {

/// Orders of one kind from one caller, with random arrivals.
struct OrderSource
{
  std::string principal;
  OrderSpec spec;
  /// Arrivals per second.
  double rate = 0;
  /// If true, latencies count as longLatency and tokens as longTokens().
  bool isLong = false;
};

/// Open-loop load generator: orders arrive at random times, independent of
/// whether earlier ones have been answered.
class LoadGenerator
{
public:
  using ResultCallback =
    std::function<void(const OrderSource&, const OrderResult&)>;

  LoadGenerator(Context& context, Report& report);

  /// Sets a function that is called with each result, after it was counted.
  void onResult(ResultCallback callback) { mOnResult = std::move(callback); }
  /// Places orders during the warm-up and the measured time that follows it,
  /// and waits for all answers. Verdicts are counted for all orders, latencies
  /// only for orders placed after the warm-up, and tokens only for answers
  /// completed in the measured time.
  net::Awaitable<void> run(std::vector<OrderSource> mix,
                           core::Millis warmUp,
                           core::Millis measured);
  /// Compares the results of all runs with the ledgers of the engines that
  /// serve the model.
  net::Awaitable<void> check(std::string model);
  /// Returns the number of tokens in answers that were completed in the
  /// measured time of the last run.
  std::int64_t completedTokens() const { return mCompletedTokens; }
  /// Returns how many of the completedTokens() belong to long orders.
  std::int64_t longTokens() const { return mLongTokens; }
  /// True during the measured time of the last run.
  bool isMeasuring() const;

private:
  net::Awaitable<void> generateArrivals(OrderSource source);
  net::Awaitable<void> placeOrder(OrderSource source);
  OrderClient& client(const std::string& principal);

  Context& mContext;
  Report& mReport;
  LedgerCheck mCheck;
  ResultCallback mOnResult;
  std::map<std::string, std::unique_ptr<OrderClient>> mClients;
  std::int64_t mOutstanding = 0;
  std::int64_t mActiveSources = 0;
  std::int64_t mCompletedTokens = 0;
  std::int64_t mLongTokens = 0;
  core::TimePoint mMeasureStart;
  core::TimePoint mMeasureEnd;
};

} // namespace lentilrack::load
