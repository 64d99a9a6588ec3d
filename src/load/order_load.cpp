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

bool
OrderLoad::isMeasuring() const
{
  const auto now = core::Clock::now();
  return now >= mStart && now < mEnd;
}

Awaitable<void>
OrderLoad::run(std::vector<MixPart> mix,
               core::Millis warmUp,
               core::Millis measured)
{
  mStart = core::Clock::now() + warmUp;
  mEnd = mStart + measured;
  mDoneTokens = 0;
  mLongTokens = 0;
  for (const auto& part : mix) {
    ++mSources;
    net::spawn(mContext.io, arrivals(part));
  }
  while (mSources > 0 || mOpen > 0) {
    co_await net::sleepFor(kPoll);
  }
}

Awaitable<void>
OrderLoad::arrivals(MixPart part)
{
  std::exponential_distribution<double> gap(part.rate);
  auto next = core::Clock::now();
  net::asio::steady_timer timer(mContext.io);
  for (;;) {
    next += std::chrono::duration_cast<core::Clock::duration>(
      std::chrono::duration<double>(gap(mContext.random)));
    if (next >= mEnd) {
      break;
    }
    timer.expires_at(next);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, ignored));
    ++mOpen;
    net::spawn(mContext.io, one(part));
  }
  --mSources;
}

Awaitable<void>
OrderLoad::one(MixPart part)
{
  const bool isRecorded = core::Clock::now() >= mStart;
  const auto result = co_await client(part.principal).place(part.spec);
  --mOpen;
  ++mReport.requests;
  mCheck.told(part.spec, result);
  switch (result.verdict) {
    case core::Verdict::Done:
      ++mReport.done;
      if (isMeasuring()) {
        mDoneTokens += result.tokens;
        mLongTokens += part.isLong ? result.tokens : 0;
      }
      if (isRecorded) {
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
