#pragma once

#include "core/answer_assembler.h"
#include "core/hedge_delay.h"
#include "core/order_ledger.h"
#include "core/ticket.h"
#include "entry/dispatch_client.h"
#include "entry/order_run.h"

#include <functional>
#include <memory>

namespace lentilrack::entry {

/// Limits the extra attempts of idempotent requests.
struct RetryHooks
{
  /// Takes one attempt from the retry budget. Returns false if the budget is
  /// used up.
  std::function<bool()> takeRetryBudget = [] { return true; };
  /// Adds to the retry budget; called after each success.
  std::function<void()> recordSuccess = [] {};
  /// True if hedged attempts may be sent. The baseline policy sends none.
  bool isHedgingEnabled = true;
};

/// True if a request that was refused for this reason may succeed at another
/// dispatcher.
bool
canRetryElsewhere(const std::string& reason);

/// Runs non-idempotent requests. At most one attempt of a request is
/// outstanding at a time. Each dispatcher that the ticket allows to run the
/// request (the dispatch set) gets at most one attempt. The chunks of the
/// answer are published as they arrive.
class NonIdempotentExecutor
{
public:
  NonIdempotentExecutor(DispatchClient& client, core::OrderLedger& ledger);

  /// Runs the request and returns its outcome. Only the dispatchers in
  /// `allowedDispatchers` may get it.
  net::Awaitable<core::Outcome> execute(
    std::shared_ptr<OrderRun> run,
    std::vector<core::ProcessId> allowedDispatchers);

private:
  net::Awaitable<DispatchResult> attempt(
    std::shared_ptr<OrderRun> run,
    std::vector<core::ProcessId> allowedDispatchers,
    std::uint32_t number);
  /// Determines the outcome of an attempt whose reply was lost. Asks its
  /// dispatcher for a bar, the promise never to start the request. Publishes
  /// the rest of the answer if the dispatcher still has it; `received` is the
  /// number of chunks that have already been published.
  net::Awaitable<core::Outcome> resolveLostAttempt(
    std::shared_ptr<OrderRun> run,
    core::ProcessId dispatcher,
    std::size_t received);

  DispatchClient& mDispatchClient;
  core::OrderLedger& mLedger;
};

/// Runs idempotent requests, with retries and hedged attempts. The first
/// complete answer is used. Nothing is published before an answer is complete,
/// so that the answer never mixes chunks of different attempts.
class IdempotentExecutor
{
public:
  IdempotentExecutor(net::asio::io_context& io,
                     DispatchClient& client,
                     RetryHooks hooks);

  /// Runs the request, publishes its answer and returns its outcome.
  net::Awaitable<core::Outcome> execute(std::shared_ptr<OrderRun> run);

private:
  struct Execution;

  void startAttempt(const std::shared_ptr<Execution>& execution);
  net::Awaitable<void> attempt(std::shared_ptr<Execution> execution,
                               std::uint32_t number);
  bool canRetry(const Execution& execution) const;

  net::asio::io_context& mIo;
  DispatchClient& mDispatchClient;
  RetryHooks mHooks;
  core::HedgeDelay mHedgeDelay;
};

} // namespace lentilrack::entry
