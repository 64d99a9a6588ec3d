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
  /// Sends the mix for the time and waits for all answers. Latencies are
  /// counted only if `record` is set; verdicts always.
  net::Awaitable<void> run(std::vector<MixPart> mix,
                           core::Millis duration,
                           bool record);
  /// Compares everything that was told with the ledgers of the engines.
  net::Awaitable<void> check(std::string model);
  /// Tokens of whole answers so far.
  std::int64_t doneTokens() const { return mDoneTokens; }

private:
  net::Awaitable<void> arrivals(MixPart part, core::TimePoint end, bool record);
  net::Awaitable<void> one(MixPart part, bool record);
  OrderClient& client(const std::string& principal);

  Context& mContext;
  Report& mReport;
  LedgerCheck mCheck;
  Hook mHook;
  std::map<std::string, std::unique_ptr<OrderClient>> mClients;
  std::int64_t mOpen = 0;
  std::int64_t mSources = 0;
  std::int64_t mDoneTokens = 0;
};

} // namespace lentilrack::load
