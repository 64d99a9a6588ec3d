#include "entry/order_executors.h"

#include <sodium.h>

#include <algorithm>
#include <set>

namespace lentilrack::entry {

using core::Millis;
using core::Outcome;
using core::Verdict;

namespace {

/// Maximum number of attempts of one request, including hedged attempts. The
/// retry budget, which all requests share, would not stop a single request that
/// fails at every dispatcher.
constexpr std::uint32_t kMaxAttempts = 4;
constexpr Millis kFirstBackoff{ 20 };

/// Returns a new request identifier for one attempt. The caller's request
/// identifier cannot be used, because a dispatcher runs each identifier only
/// once.
std::string
newRequestIdentifier()
{
  std::uint64_t bits = 0;
  randombytes_buf(&bits, sizeof bits);
  return "idem-" + std::to_string(bits);
}

/// True if the dispatcher refused because of its own state, such as leaving.
bool
isDispatcherStateRefusal(const std::string& reason)
{
  return reason == "leaving" || reason == "cut_off" ||
         reason == "other_incarnation";
}

/// Returns the wait before the next attempt, chosen at random between 1 ms and
/// an upper bound that doubles with each attempt (full jitter), so that
/// requests that failed together are not retried together.
Millis
backoff(std::uint32_t startedAttempts)
{
  const auto maxBackoffMs = kFirstBackoff.count()
                            << std::min(startedAttempts, 6U);
  return Millis(randombytes_uniform(static_cast<std::uint32_t>(maxBackoffMs)) +
                1);
}

} // namespace

struct IdempotentExecutor::Execution
{
  explicit Execution(net::asio::io_context& io)
    : wake(io)
  {
  }

  std::shared_ptr<OrderRun> run;
  net::asio::steady_timer wake;
  std::shared_ptr<net::CancelSignal> cancel =
    std::make_shared<net::CancelSignal>();
  /// Names of the dispatchers chosen so far; later attempts avoid them.
  std::set<std::string> usedDispatchers;
  std::uint32_t startedAttempts = 0;
  std::uint32_t outstandingAttempts = 0;
  bool isHedged = false;
  bool isFinished = false;
  /// Outcome of the attempt that gave the first complete answer; until there is
  /// such an attempt, the outcome of the attempt that failed last.
  Outcome outcome;
  std::vector<core::Chunk> answer;
  bool hasCompleteAnswer = false;
  /// True if the last failed attempt was not sent, or was refused because of
  /// the dispatcher's state. Such an attempt reached no backend server, so its
  /// retry is not charged to the retry budget.
  bool addedNoLoad = false;
  /// True if at least one attempt ended without proof that it did not run.
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
  , mDispatchClient(client)
  , mHooks(std::move(hooks))
{
}

void
IdempotentExecutor::startAttempt(const std::shared_ptr<Execution>& execution)
{
  ++execution->outstandingAttempts;
  net::spawn(mIo, attempt(execution, ++execution->startedAttempts), execution);
}

net::Awaitable<void>
IdempotentExecutor::attempt(std::shared_ptr<Execution> execution,
                            std::uint32_t number)
{
  if (execution->isFinished) {
    --execution->outstandingAttempts;
    co_return;
  }
  const core::AttemptId id{ newRequestIdentifier(), number };
  const auto assembler = std::make_shared<core::AnswerAssembler>(id);
  DispatchCall call;
  call.attempt = id;
  call.work = execution->run->work();
  call.remaining = execution->run->remaining();
  call.avoidedDispatchers = execution->usedDispatchers;
  call.cancel = execution->cancel;
  call.onChosen = [execution](const core::ProcessId& dispatcher) {
    execution->usedDispatchers.insert(dispatcher.name);
  };
  call.onChunk = [assembler, id](core::Chunk chunk) {
    assembler->add(id, std::move(chunk));
  };
  auto result = co_await mDispatchClient.run(std::move(call));
  const auto outcome = assembler->finish(id, std::move(result.outcome));
  --execution->outstandingAttempts;
  if (execution->isFinished || execution->hasCompleteAnswer) {
    co_return;
  }
  execution->outcome = *outcome;
  execution->addedNoLoad =
    outcome->verdict == Verdict::NotRun &&
    (!result.sent || isDispatcherStateRefusal(outcome->reason));
  execution->mayHaveRun |= outcome->verdict != Verdict::NotRun;
  if (outcome->verdict == Verdict::Done) {
    execution->hasCompleteAnswer = true;
    execution->answer = assembler->takeChunks();
  }
  execution->wake.cancel();
}

bool
IdempotentExecutor::canRetry(const Execution& execution) const
{
  return execution.startedAttempts < kMaxAttempts &&
         canRetryElsewhere(execution.outcome.reason) &&
         execution.run->remaining() > Millis(0) &&
         (execution.addedNoLoad || mHooks.takeRetryBudget());
}

net::Awaitable<Outcome>
IdempotentExecutor::execute(std::shared_ptr<OrderRun> run)
{
  const auto execution = std::make_shared<Execution>(mIo);
  execution->run = run;
  const auto& work = run->work();
  const auto usualLatency = mHedgeDelay.delayFor(work.kind, work.maxTokens);
  const auto hedgeAt =
    usualLatency ? run->startedAt() + *usualLatency : run->deadline();
  const bool canHedge =
    mHooks.isHedgingEnabled && run->row().hedge && usualLatency.has_value();
  const auto hook = run->abandonSignal()->addCallback([execution] {
    execution->cancel->cancel();
    execution->wake.cancel();
  });
  startAttempt(execution);
  while (!execution->hasCompleteAnswer &&
         !execution->cancel->isCancelRequested()) {
    if (execution->outstandingAttempts == 0) {
      if (!canRetry(*execution)) {
        break;
      }
      co_await execution->waitUntil(core::Clock::now() +
                                    backoff(execution->startedAttempts));
      if (!execution->cancel->isCancelRequested()) {
        startAttempt(execution);
      }
    } else if (canHedge && !execution->isHedged &&
               core::Clock::now() >= hedgeAt) {
      execution->isHedged = true;
      if (execution->startedAttempts < kMaxAttempts &&
          mHooks.takeRetryBudget()) {
        startAttempt(execution);
      }
    } else {
      const bool isWaitingToHedge = canHedge && !execution->isHedged;
      co_await execution->waitUntil(isWaitingToHedge ? hedgeAt
                                                     : core::TimePoint::max());
    }
  }
  execution->isFinished = true;
  run->abandonSignal()->removeCallback(hook);
  if (execution->hasCompleteAnswer) {
    mHedgeDelay.recordCompletion(work.kind,
                                 work.maxTokens,
                                 std::chrono::duration_cast<Millis>(
                                   core::Clock::now() - run->startedAt()));
    mHooks.recordSuccess();
    std::ranges::for_each(execution->answer,
                          [&](const auto& chunk) { run->publish(chunk); });
  } else if (execution->cancel->isCancelRequested()) {
    execution->outcome.verdict = Verdict::Unknown;
    execution->outcome.reason = "cancelled";
  } else if (execution->mayHaveRun) {
    execution->outcome.verdict = Verdict::Unknown;
  }
  execution->cancel->cancel();
  // Breaks the reference cycle between the execution and the callbacks that
  // hold it.
  execution->run = nullptr;
  co_return execution->outcome;
}

} // namespace lentilrack::entry
