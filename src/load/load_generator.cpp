#include "load/load_generator.h"

#include <random>

namespace lentilrack::load {

using net::Awaitable;

namespace {

constexpr core::Millis kPollInterval{ 20 };

} // namespace

LoadGenerator::LoadGenerator(Context& context, Report& report)
  : mContext(context)
  , mReport(report)
{
}

OrderClient&
LoadGenerator::client(const std::string& principal)
{
  auto& client = mClients[principal];
  if (!client) {
    client = std::make_unique<OrderClient>(mContext, principal);
  }
  return *client;
}

bool
LoadGenerator::isMeasuring() const
{
  const auto now = core::Clock::now();
  return now >= mMeasureStart && now < mMeasureEnd;
}

Awaitable<void>
LoadGenerator::run(std::vector<OrderSource> mix,
                   core::Millis warmUp,
                   core::Millis measured)
{
  mMeasureStart = core::Clock::now() + warmUp;
  mMeasureEnd = mMeasureStart + measured;
  mCompletedTokens = 0;
  mLongTokens = 0;
  for (const auto& source : mix) {
    ++mActiveSources;
    net::spawn(mContext.io, generateArrivals(source));
  }
  while (mActiveSources > 0 || mOutstanding > 0) {
    co_await net::sleepFor(kPollInterval);
  }
}

Awaitable<void>
LoadGenerator::generateArrivals(OrderSource source)
{
  std::exponential_distribution<double> gap(source.rate);
  auto next = core::Clock::now();
  net::asio::steady_timer timer(mContext.io);
  for (;;) {
    next += std::chrono::duration_cast<core::Clock::duration>(
      std::chrono::duration<double>(gap(mContext.random)));
    if (next >= mMeasureEnd) {
      break;
    }
    timer.expires_at(next);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, ignored));
    ++mOutstanding;
    net::spawn(mContext.io, placeOrder(source));
  }
  --mActiveSources;
}

Awaitable<void>
LoadGenerator::placeOrder(OrderSource source)
{
  const bool isRecorded = core::Clock::now() >= mMeasureStart;
  const auto result = co_await client(source.principal).place(source.spec);
  --mOutstanding;
  ++mReport.requests;
  mCheck.recordResult(source.spec, result);
  switch (result.verdict) {
    case core::Verdict::Done:
      ++mReport.done;
      if (isMeasuring()) {
        mCompletedTokens += result.tokens;
        mLongTokens += source.isLong ? result.tokens : 0;
      }
      if (isRecorded) {
        auto& latency =
          source.isLong ? mReport.longLatency : mReport.shortLatency;
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
  if (mOnResult) {
    mOnResult(source, result);
  }
}

Awaitable<void>
LoadGenerator::check(std::string model)
{
  const auto runs = co_await readLedgers(mContext, std::move(model));
  mCheck.compare(runs, mReport);
}

} // namespace lentilrack::load
