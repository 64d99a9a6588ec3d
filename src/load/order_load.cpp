#include "load/order_load.h"

#include <random>

namespace lentilrack::load {

using net::Awaitable;

namespace {

constexpr core::Millis kPoll{ 20 };

} // namespace

OrderLoad::OrderLoad(Context& context, Report& report)
  : mContext(context)
  , mReport(report)
{
}

OrderClient&
OrderLoad::client(const std::string& principal)
{
  auto& client = mClients[principal];
  if (!client) {
    client = std::make_unique<OrderClient>(mContext, principal);
  }
  return *client;
}

Awaitable<void>
OrderLoad::run(std::vector<MixPart> mix, core::Millis duration, bool record)
{
  const auto end = core::Clock::now() + duration;
  for (const auto& part : mix) {
    ++mSources;
    net::spawn(mContext.io, arrivals(part, end, record));
  }
  while (mSources > 0 || mOpen > 0) {
    co_await net::sleepFor(kPoll);
  }
}

Awaitable<void>
OrderLoad::arrivals(MixPart part, core::TimePoint end, bool record)
{
  std::exponential_distribution<double> gap(part.rate);
  auto next = core::Clock::now();
  net::asio::steady_timer timer(mContext.io);
  for (;;) {
    next += std::chrono::duration_cast<core::Clock::duration>(
      std::chrono::duration<double>(gap(mContext.random)));
    if (next >= end) {
      break;
    }
    timer.expires_at(next);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, ignored));
    ++mOpen;
    net::spawn(mContext.io, one(part, record));
  }
  --mSources;
}

Awaitable<void>
OrderLoad::one(MixPart part, bool record)
{
  const auto result = co_await client(part.principal).place(part.spec);
  --mOpen;
  ++mReport.requests;
  mCheck.told(part.spec, result);
  switch (result.verdict) {
    case core::Verdict::Done:
      ++mReport.done;
      mDoneTokens += result.tokens;
      if (record) {
        auto& latency =
          part.isLong ? mReport.longLatency : mReport.shortLatency;
        latency.add(result.millis);
      }
      break;
    case core::Verdict::NotRun:
      ++mReport.notRun;
      ++mReport.reasons["not_run/" + result.reason];
      break;
    case core::Verdict::Unknown:
      ++mReport.unknown;
      ++mReport.reasons["unknown/" + result.reason];
      break;
  }
  if (mHook) {
    mHook(part, result);
  }
}

Awaitable<void>
OrderLoad::check(std::string model)
{
  const auto runs = co_await readLedgers(mContext, std::move(model));
  mCheck.compare(runs, mReport);
}

} // namespace lentilrack::load
