#pragma once

#include "load/ledger_check.h"
#include "load/order_client.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lentilrack::load {

/// One kind of order in a mix.
struct MixPart
{
  std::string principal;
  OrderSpec spec;
  /// Arrivals per second.
  double rate = 0;
  bool isLong = false;
};

/// Open-loop load: orders arrive at random times, whether or not earlier ones
/// have been answered.
class OrderLoad
{
public:
  using Hook = std::function<void(const MixPart&, const OrderResult&)>;

  OrderLoad(Context& context, Report& report);

  /// Called with every result, besides the counting.
  void onResult(Hook hook) { mHook = std::move(hook); }
  /// Sends the mix for the warm-up and the measured time without a pause, and
  /// waits for all answers. Verdicts of all orders are counted; latencies and
  /// tokens only of the measured time.
  net::Awaitable<void> run(std::vector<MixPart> mix,
                           core::Millis warmUp,
                           core::Millis measured);
  /// Compares everything that was told with the ledgers of the engines.
  net::Awaitable<void> check(std::string model);
  /// Tokens of whole answers that came in the measured time of the last run.
  std::int64_t doneTokens() const { return mDoneTokens; }
  /// Those of long orders.
  std::int64_t longTokens() const { return mLongTokens; }
  /// Whether the measured time of the last run goes on.
  bool isMeasuring() const;

private:
  net::Awaitable<void> arrivals(MixPart part);
  net::Awaitable<void> one(MixPart part);
  OrderClient& client(const std::string& principal);

  Context& mContext;
  Report& mReport;
  LedgerCheck mCheck;
  Hook mHook;
  std::map<std::string, std::unique_ptr<OrderClient>> mClients;
  std::int64_t mOpen = 0;
  std::int64_t mSources = 0;
  std::int64_t mDoneTokens = 0;
  std::int64_t mLongTokens = 0;
  core::TimePoint mStart;
  core::TimePoint mEnd;
};

} // namespace lentilrack::load
