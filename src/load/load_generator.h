#pragma once

#include "load/ledger_check.h"
#include "load/order_client.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lentilrack::load {

/// One kind of order in a mix.
struct OrderSource
{
  std::string principal;
  OrderSpec spec;
  /// Arrivals per second.
  double rate = 0;
  bool isLong = false;
};

/// Open-loop load: orders arrive at random times, whether or not earlier ones
/// have been answered.
class LoadGenerator
{
public:
  using ResultCallback =
    std::function<void(const OrderSource&, const OrderResult&)>;

  LoadGenerator(Context& context, Report& report);

  /// Called with every result, besides the counting.
  void onResult(ResultCallback callback) { mOnResult = std::move(callback); }
  /// Sends the mix for the warm-up and the measured time without a pause, and
  /// waits for all answers. Verdicts of all orders are counted; latencies and
  /// tokens only of the measured time.
  net::Awaitable<void> run(std::vector<OrderSource> mix,
                           core::Millis warmUp,
                           core::Millis measured);
  /// Compares everything that was told with the ledgers of the engines.
  net::Awaitable<void> check(std::string model);
  /// Tokens of whole answers that came in the measured time of the last run.
  std::int64_t completedTokens() const { return mCompletedTokens; }
  /// Those of long orders.
  std::int64_t longTokens() const { return mLongTokens; }
  /// Whether the measured time of the last run goes on.
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
  core::TimePoint mStart;
  core::TimePoint mEnd;
};

} // namespace lentilrack::load
