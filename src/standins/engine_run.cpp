#include "standins/engine_run.h"

#include <limits>

namespace lentilrack::standins {

namespace {

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t kMaxTokens = 10'000'000;
constexpr std::int64_t kLowestPriority = 9;
constexpr std::chrono::hours kQueueWait{ 24 };

} // namespace

GenerateRequest
readGenerateRequest(wire::ObjectReader& reader)
{
  GenerateRequest body;
  body.attempt = reader.required<std::string>("attempt");
  body.model = reader.required<std::string>("model");
  body.prompt = reader.required<std::string>("prompt");
  body.prefix = reader.optional<std::string>("prefix", "");
  body.maxTokens = reader.integer("max_tokens", 0, kMaxTokens);
  body.offset = reader.integerOr("offset", 0, body.maxTokens, 0);
  body.priority = reader.integerOr("priority", 0, kLowestPriority, 5);
  body.fencing = reader.integerOr("fencing", 0, kMaxInteger, 0);
  body.version = reader.findValue<std::int64_t>("version");
  return body;
}

net::Awaitable<void>
RunControl::wait(core::Clock::duration duration)
{
  if (mStopped) {
    co_return;
  }
  mTimer.expires_after(duration);
  boost::system::error_code ignored;
  co_await mTimer.async_wait(
    net::asio::redirect_error(net::asio::use_awaitable, ignored));
}

net::Awaitable<bool>
EngineSlots::acquire(std::int64_t priority, std::shared_ptr<RunControl> control)
{
  if (mRunning < mSlots) {
    ++mRunning;
    co_return true;
  }
  const QueueKey place{ priority, ++mLastArrival };
  mQueue.emplace(place, control);
  while (!control->isGranted && !control->isStopped()) {
    co_await control->wait(kQueueWait);
  }
  if (!control->isGranted) {
    mQueue.erase(place);
  }
  co_return control->isGranted;
}

void
EngineSlots::release()
{
  --mRunning;
  if (mQueue.empty()) {
    return;
  }
  const auto next = mQueue.begin()->second;
  mQueue.erase(mQueue.begin());
  ++mRunning;
  next->isGranted = true;
  next->wake();
}

wire::Json
EngineRun::json() const
{
  return { { "attempt", attempt }, { "prompt", prompt },
           { "offset", offset },   { "versions", versions },
           { "tokens", tokens },   { "finished", finished } };
}

} // namespace lentilrack::standins
