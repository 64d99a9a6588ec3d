#include "entry/order_executors.h"

#include <sodium.h>

#include <algorithm>
#include <set>

namespace lentilrack::entry {

using core::Millis;
using core::Outcome;
using core::Verdict;

namespace {

/// Attempts of one request, hedges included. The budget bounds the sum over
/// all requests; this bounds one request that fails everywhere.
constexpr std::uint32_t kMaxAttempts = 4;
constexpr Millis kFirstBackoff{ 20 };

/// Attempts of idempotent work are not tied to the caller's identifier, which a
/// dispatcher would run only once.
std::string
freshIdentifier()
{
  std::uint64_t bits = 0;
  randombytes_buf(&bits, sizeof bits);
  return "idem-" + std::to_string(bits);
}

/// Whether a dispatcher refused because of its own state.
bool
isRefusalOfProcess(const std::string& reason)
{
  return reason == "leaving" || reason == "cut_off" ||
         reason == "other_incarnation";
}

/// Full jitter: the whole wait is random, so that requests that failed together
/// do not come back together.
Millis
backoff(std::uint32_t attempts)
{
  const auto most = kFirstBackoff.count() << std::min(attempts, 6U);
  return Millis(randombytes_uniform(static_cast<std::uint32_t>(most)) + 1);
}

} // namespace

struct IdempotentExecutor::Race
{
  explicit Race(net::asio::io_context& io)
    : wake(io)
  {
  }

  std::shared_ptr<OrderRun> run;
  net::asio::steady_timer wake;
  std::shared_ptr<net::CancelSignal> cancel =
    std::make_shared<net::CancelSignal>();
  std::set<std::string> used;
  std::uint32_t attempts = 0;
  std::uint32_t outstanding = 0;
  bool isHedged = false;
  bool isOver = false;
  /// Outcome and answer of the winner, or of the last failure.
  Outcome outcome;
  std::vector<core::Chunk> answer;
  bool hasWinner = false;
  /// The last failure cost no backend server anything, so that another attempt
  /// adds no load.
  bool wasFree = false;
  /// Some attempt was not proved not to have run.
  bool mayHaveRun = false;

  net::Awaitable<void> waitUntil(core::TimePoint end)
  {
    wake.expires_at(end);
    boost::system::error_code ignored;
    co_await wake.async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, ignored));
  }
};

IdempotentExecutor::IdempotentExecutor(net::asio::io_context& io,
                                       DispatchClient& client,
                                       RetryHooks hooks)
  : mIo(io)
  , mClient(client)
  , mHooks(std::move(hooks))
{
}

void
IdempotentExecutor::launch(const std::shared_ptr<Race>& race)
{
  ++race->outstanding;
  net::spawn(mIo, attempt(race, ++race->attempts), race);
}

net::Awaitable<void>
IdempotentExecutor::attempt(std::shared_ptr<Race> race, std::uint32_t number)
{
  if (race->isOver) {
    --race->outstanding;
    co_return;
  }
  const core::AttemptId id{ freshIdentifier(), number };
  const auto assembly = std::make_shared<core::AnswerAssembly>(id);
  DispatchCall call;
  call.attempt = id;
  call.work = race->run->work();
  call.remaining = race->run->remaining();
  call.avoid = race->used;
  call.cancel = race->cancel;
  call.onChosen = [race](const core::ProcessId& dispatcher) {
    race->used.insert(dispatcher.name);
  };
  call.onChunk = [assembly, id](core::Chunk chunk) {
    assembly->add(id, std::move(chunk));
  };
  auto result = co_await mClient.run(std::move(call));
  const auto outcome = assembly->finish(id, std::move(result.outcome));
  --race->outstanding;
  if (race->isOver || race->hasWinner) {
    co_return;
  }
  race->outcome = *outcome;
  race->wasFree = outcome->verdict == Verdict::NotRun &&
                  (!result.sent || isRefusalOfProcess(outcome->reason));
  race->mayHaveRun |= outcome->verdict != Verdict::NotRun;
  if (outcome->verdict == Verdict::Done) {
    race->hasWinner = true;
    race->answer = assembly->takeChunks();
  }
  race->wake.cancel();
}

bool
IdempotentExecutor::mayRetry(const Race& race) const
{
  return race.attempts < kMaxAttempts &&
         isWorthAnotherDispatcher(race.outcome.reason) &&
         race.run->remaining() > Millis(0) &&
         (race.wasFree || mHooks.mayTryAgain());
}

net::Awaitable<Outcome>
IdempotentExecutor::execute(std::shared_ptr<OrderRun> run)
{
  const auto race = std::make_shared<Race>(mIo);
  race->run = run;
  const auto& work = run->work();
  const auto usual = mDelay.after(work.kind, work.maxTokens);
  const auto hedgeAt = usual ? run->startedAt() + *usual : run->deadline();
  const bool mayHedge = mHooks.hedges && run->row().hedge && usual.has_value();
  const auto hook = run->abandonSignal()->add([race] {
    race->cancel->cancel();
    race->wake.cancel();
  });
  launch(race);
  while (!race->hasWinner && !race->cancel->cancelled()) {
    if (race->outstanding == 0) {
      if (!mayRetry(*race)) {
        break;
      }
      co_await race->waitUntil(core::Clock::now() + backoff(race->attempts));
      if (!race->cancel->cancelled()) {
        launch(race);
      }
    } else if (mayHedge && !race->isHedged && core::Clock::now() >= hedgeAt) {
      race->isHedged = true;
      if (race->attempts < kMaxAttempts && mHooks.mayTryAgain()) {
        launch(race);
      }
    } else {
      const bool waitsForHedge = mayHedge && !race->isHedged;
      co_await race->waitUntil(waitsForHedge ? hedgeAt
                                             : core::TimePoint::max());
    }
  }
  race->isOver = true;
  run->abandonSignal()->remove(hook);
  if (race->hasWinner) {
    mDelay.completed(work.kind,
                     work.maxTokens,
                     std::chrono::duration_cast<Millis>(core::Clock::now() -
                                                        run->startedAt()));
    mHooks.succeeded();
    std::ranges::for_each(race->answer,
                          [&](const auto& chunk) { run->publish(chunk); });
  } else if (race->cancel->cancelled()) {
    race->outcome.verdict = Verdict::Unknown;
    race->outcome.reason = "cancelled";
  } else if (race->mayHaveRun) {
    race->outcome.verdict = Verdict::Unknown;
  }
  race->cancel->cancel();
  // Breaks the cycle between the race and its hooks.
  race->run = nullptr;
  co_return race->outcome;
}

} // namespace lentilrack::entry
