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

/// Permission for extra attempts of idempotent work.
struct RetryHooks
{
  /// Whether one more attempt is within the budget; takes it from the budget.
  std::function<bool()> takeRetryBudget = [] { return true; };
  /// A request succeeded, which adds to the budget.
  std::function<void()> recordSuccess = [] {};
  /// Whether idempotent work may be hedged at all; not in the baseline.
  bool isHedgingEnabled = true;
};

/// Whether a request that was refused for this reason may do better at another
/// dispatcher.
bool
canRetryElsewhere(const std::string& reason);

/// Runs a non-idempotent request: at most one attempt is outstanding, and each
/// dispatcher of the dispatch set gets at most one. The answer is published as
/// it comes.
class NonIdempotentExecutor
{
public:
  NonIdempotentExecutor(DispatchClient& client, core::OrderLedger& ledger);

  net::Awaitable<core::Outcome> execute(std::shared_ptr<OrderRun> run,
                                        std::vector<core::ProcessId> allowed);

private:
  net::Awaitable<DispatchResult> attempt(std::shared_ptr<OrderRun> run,
                                         std::vector<core::ProcessId> allowed,
                                         std::uint32_t number);
  net::Awaitable<core::Outcome> resolveLostAttempt(
    std::shared_ptr<OrderRun> run,
    core::ProcessId dispatcher,
    std::size_t received);

  DispatchClient& mClient;
  core::OrderLedger& mLedger;
};

/// Runs idempotent work: attempts may be repeated and hedged. The first whole
/// answer wins. Nothing is published before an answer is whole, so that a
/// failed attempt can be replaced without splicing.
class IdempotentExecutor
{
public:
  IdempotentExecutor(net::asio::io_context& io,
                     DispatchClient& client,
                     RetryHooks hooks);

  net::Awaitable<core::Outcome> execute(std::shared_ptr<OrderRun> run);

private:
  struct Execution;

  void startAttempt(const std::shared_ptr<Execution>& execution);
  net::Awaitable<void> attempt(std::shared_ptr<Execution> execution,
                               std::uint32_t number);
  bool canRetry(const Execution& execution) const;

  net::asio::io_context& mIo;
  DispatchClient& mClient;
  RetryHooks mHooks;
  core::HedgeDelay mHedgeDelay;
};

} // namespace lentilrack::entry
