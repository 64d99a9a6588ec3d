#include "entry/order_executors.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace lentilrack::entry {

using core::Millis;
using core::Outcome;
using core::Verdict;

namespace {

constexpr Millis kBarTimeout{ 2000 };
/// Wait before a dispatcher that still runs the attempt is asked a second time
/// for its outcome. The wait doubles with each further query.
constexpr Millis kFirstQueryInterval{ 200 };

Outcome
makeOutcome(Verdict verdict, std::string reason)
{
  Outcome outcome;
  outcome.verdict = verdict;
  outcome.reason = std::move(reason);
  return outcome;
}

} // namespace

bool
canRetryElsewhere(const std::string& reason)
{
  // After these reasons no other dispatcher is tried. Limits and the deadline
  // apply at every dispatcher. "barred" means that another instance considers
  // this process, the home of the request, lost and determines the outcome of
  // the request.
  constexpr std::array<std::string_view, 6> kFinalReasons{
    "deadline",          "overload", "rate_limit",
    "concurrency_limit", "barred",   "cancelled"
  };
  return std::ranges::find(kFinalReasons, reason) == kFinalReasons.end();
}

NonIdempotentExecutor::NonIdempotentExecutor(DispatchClient& client,
                                             core::OrderLedger& ledger)
  : mDispatchClient(client)
  , mLedger(ledger)
{
}

net::Awaitable<Outcome>
NonIdempotentExecutor::execute(std::shared_ptr<OrderRun> run,
                               std::vector<core::ProcessId> allowedDispatchers)
{
  auto lastOutcome = makeOutcome(Verdict::NotRun, "no_dispatcher");
  // Stops when no dispatcher is left. DispatchClient must not get an empty
  // list, because an empty list allows any live dispatcher.
  while (!allowedDispatchers.empty()) {
    if (run->remaining() <= Millis(0)) {
      co_return makeOutcome(Verdict::NotRun, "deadline");
    }
    const auto number = mLedger.beginAttempt(run->id());
    if (!number) {
      co_return makeOutcome(Verdict::Unknown, "attempt_outstanding");
    }
    auto result = co_await attempt(run, allowedDispatchers, *number);
    lastOutcome = std::move(result.outcome);
    if (lastOutcome.verdict != Verdict::NotRun) {
      co_return lastOutcome;
    }
    mLedger.recordAttemptNotRun(run->id());
    if (!result.dispatcher || !canRetryElsewhere(lastOutcome.reason)) {
      co_return lastOutcome;
    }
    std::erase(allowedDispatchers, *result.dispatcher);
  }
  co_return lastOutcome;
}

net::Awaitable<DispatchResult>
NonIdempotentExecutor::attempt(std::shared_ptr<OrderRun> run,
                               std::vector<core::ProcessId> allowedDispatchers,
                               std::uint32_t number)
{
  const core::AttemptId id{ run->id(), number };
  const auto assembler = std::make_shared<core::AnswerAssembler>(id);
  DispatchCall call;
  call.attempt = id;
  call.work = run->work();
  call.remaining = run->remaining();
  call.allowedDispatchers = std::move(allowedDispatchers);
  call.onChunk = [run, assembler, id](core::Chunk chunk) {
    if (assembler->add(id, chunk)) {
      run->publish(chunk);
    }
  };
  auto result = co_await mDispatchClient.run(std::move(call));
  const auto assembled = assembler->finish(id, result.outcome);
  result.outcome = *assembled;
  const bool isOutcomeLost = result.outcome.reason == "dispatcher_lost" ||
                             result.outcome.reason == "timeout" ||
                             result.outcome.reason == "bad_answer";
  if (result.outcome.verdict == Verdict::Unknown && result.sent &&
      result.dispatcher && isOutcomeLost) {
    auto resolved = co_await resolveLostAttempt(
      run, *result.dispatcher, assembler->chunks().size());
    // Published chunks prove that the request ran, so NotRun must not replace
    // its outcome.
    if (resolved.verdict != Verdict::NotRun || assembler->chunks().empty()) {
      result.outcome = std::move(resolved);
    }
  }
  co_return result;
}

net::Awaitable<Outcome>
NonIdempotentExecutor::resolveLostAttempt(std::shared_ptr<OrderRun> run,
                                          core::ProcessId dispatcher,
                                          std::size_t received)
{
  auto wait = kFirstQueryInterval;
  for (;;) {
    const auto reply =
      co_await mDispatchClient.bar(dispatcher, run->id(), kBarTimeout);
    if (!reply) {
      co_return makeOutcome(Verdict::Unknown, "dispatcher_lost");
    }
    if (reply->state == wire::BarState::Barred) {
      co_return makeOutcome(Verdict::NotRun, "dispatcher_lost");
    }
    if (reply->state == wire::BarState::Finished) {
      auto outcome = reply->outcome.value_or(
        makeOutcome(Verdict::Unknown, "dispatcher_lost"));
      if (outcome.verdict != Verdict::Done) {
        co_return outcome;
      }
      const auto completeOutcome =
        core::outcomeIfComplete(outcome, reply->answer);
      if (!completeOutcome) {
        outcome.reason = "answer_lost";
        co_return outcome;
      }
      // Chunks of an attempt arrive in order, so the received chunks are the
      // first ones of the answer. Only the chunks after them are published.
      const auto firstMissing = std::min(received, reply->answer.size());
      for (std::size_t i = firstMissing; i < reply->answer.size(); ++i) {
        run->publish(reply->answer[i]);
      }
      co_return *completeOutcome;
    }
    if (run->remaining() <= wait) {
      co_return makeOutcome(Verdict::Unknown, "dispatcher_lost");
    }
    co_await net::sleepFor(wait);
    wait *= 2;
  }
}

} // namespace lentilrack::entry
