#pragma once

#include "core/order_ledger.h"
#include "core/request_limits.h"
#include "core/ticket.h"
#include "entry/order_executors.h"
#include "entry/order_run.h"

#include <map>
#include <memory>
#include <string>

namespace lentilrack::entry {

/// What the service needs of its surroundings.
struct OrderServiceOptions
{
  RetryHooks retries;
  core::OrderLedgerLimits ledger;
  /// Start of this process's clock, to which ticket expiries refer.
  core::TimePoint start = core::Clock::now();
};

/// The home of requests: decides what happens to each request of a ticket that
/// this process issued, and tells every caller and duplicate the same.
class OrderService : public std::enable_shared_from_this<OrderService>
{
public:
  OrderService(node::Node& node,
               DispatchClient& client,
               OrderServiceOptions options);

  /// Takes a request whose ticket names this process as home and belongs to
  /// the principal of the work. Errors come as outcomes; see isProtocolError().
  std::shared_ptr<AnswerStream> submit(const core::RequestId& id,
                                       const core::Ticket& ticket,
                                       core::Work work,
                                       core::Millis remaining);

  /// Runs idempotent work whose home is lost. Nothing is recorded, so a
  /// failure is never reported as not run: the home may have run it.
  std::shared_ptr<AnswerStream> runForLostHome(const core::RequestId& id,
                                               core::Work work,
                                               core::Millis remaining);

  /// Refuses new work as not run from now on; what runs goes on.
  void beginDrain() { mIsDraining = true; }
  /// Whether new work is refused.
  bool isRefusingNewWork() const;

  std::size_t inFlight() const { return mRunning.size() + mLostHomeRuns; }
  /// One line for each request in flight.
  std::vector<std::string> describeInFlight() const;
  const core::OrderLedger& ledger() const { return mLedger; }

private:
  std::optional<core::Outcome> checkAdmission(const core::Work& work,
                                              core::Millis remaining);
  std::shared_ptr<AnswerStream> finishedStream(
    core::Outcome outcome,
    const std::vector<core::Chunk>& chunks);
  std::shared_ptr<AnswerStream> recordedStream(const std::string& id);
  net::Awaitable<void> execute(std::shared_ptr<OrderRun> run,
                               std::vector<core::ProcessId> allowed);
  net::Awaitable<void> executeForLostHome(std::shared_ptr<OrderRun> run);
  void finish(const std::shared_ptr<OrderRun>& run, core::Outcome outcome);
  void countOutcome(const core::Outcome& outcome);

  node::Node& mNode;
  net::Logger mLog;
  core::TimePoint mStart;
  core::OrderLedger mLedger;
  core::RequestLimits mLimits;
  NonIdempotentExecutor mNonIdempotent;
  IdempotentExecutor mIdempotent;
  std::map<std::string, std::shared_ptr<OrderRun>> mRunning;
  std::size_t mLostHomeRuns = 0;
  bool mIsDraining = false;
};

/// Digest of everything in the work that a duplicate must have in common.
core::Digest
bodyDigest(const core::Work& work);

/// Whether the reason of an Unknown outcome is a mistake of the caller about
/// which no claim is made: "identifier_reused", "ticket_expired",
/// "unknown_model", "unknown_service", "no_row".
bool
isProtocolError(const std::string& reason);

} // namespace lentilrack::entry
