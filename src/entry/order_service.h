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

/// Settings of an OrderService.
struct OrderServiceOptions
{
  RetryHooks retries;
  core::OrderLedgerLimits ledger;
  /// Start of this process. Ticket expiry times are relative to it.
  core::TimePoint processStart = core::Clock::now();
};

/// Runs requests at their home, the process that issued their tickets. Records
/// each outcome, so that a duplicate of a request gets the same outcome as the
/// original.
class OrderService : public std::enable_shared_from_this<OrderService>
{
public:
  OrderService(node::Node& node,
               DispatchClient& client,
               OrderServiceOptions options);

  /// Runs a request and returns the stream of its answer. A duplicate gets the
  /// answer of the running request or the recorded answer. The ticket must name
  /// this process as home and belong to the principal of the work. An error is
  /// reported as the outcome of the stream; see isProtocolError().
  std::shared_ptr<AnswerStream> submit(const core::RequestId& id,
                                       const core::Ticket& ticket,
                                       core::Work work,
                                       core::Millis remaining);

  /// Runs an idempotent request whose home is lost, and returns the stream of
  /// its answer. Does not record the outcome. A failure is reported as Unknown,
  /// never as NotRun, because the home may have run the request.
  std::shared_ptr<AnswerStream> runForLostHome(const core::RequestId& id,
                                               core::Work work,
                                               core::Millis remaining);

  /// Refuses new requests with NotRun from now on. Running requests continue.
  void beginDrain() { mIsDraining = true; }
  /// True while new requests are refused: during a drain, when the instance is
  /// leaving, or when it cannot tell whether its table is current.
  bool isRefusingNewWork() const;

  /// Returns the number of requests in flight.
  std::size_t inFlight() const
  {
    return mRunningOrders.size() + mLostHomeRunCount;
  }
  /// Returns one line of text for each request in flight.
  std::vector<std::string> describeInFlight() const;
  const core::OrderLedger& ledger() const { return mLedger; }

private:
  /// Returns the outcome with which the work must be refused, or nothing if it
  /// may run.
  std::optional<core::Outcome> checkAdmission(const core::Work& work,
                                              core::Millis remaining);
  /// Returns a stream that already holds the chunks and has ended.
  std::shared_ptr<AnswerStream> finishedStream(
    core::Outcome outcome,
    const std::vector<core::Chunk>& chunks);
  /// Returns a stream with the recorded answer and outcome of the request. The
  /// ledger must have a record of the request.
  std::shared_ptr<AnswerStream> replayRecordedAnswer(const std::string& id);
  /// Runs an admitted request. Only a non-idempotent request is limited to
  /// `allowedDispatchers`.
  net::Awaitable<void> execute(std::shared_ptr<OrderRun> run,
                               std::vector<core::ProcessId> allowedDispatchers);
  net::Awaitable<void> executeForLostHome(std::shared_ptr<OrderRun> run);
  void finish(const std::shared_ptr<OrderRun>& run, core::Outcome outcome);
  void countOutcome(const core::Outcome& outcome);

  node::Node& mNode;
  net::Logger mLog;
  core::TimePoint mProcessStart;
  core::OrderLedger mLedger;
  core::RequestLimits mLimits;
  NonIdempotentExecutor mNonIdempotentExecutor;
  IdempotentExecutor mIdempotentExecutor;
  /// Running requests by identifier, except those of runForLostHome().
  std::map<std::string, std::shared_ptr<OrderRun>> mRunningOrders;
  /// Number of running requests of runForLostHome().
  std::size_t mLostHomeRunCount = 0;
  bool mIsDraining = false;
};

/// Returns a digest of all fields of the work. Two requests with the same
/// identifier are duplicates if their digests are equal.
core::Digest
bodyDigest(const core::Work& work);

/// True if the reason of an Unknown outcome is an error of the caller:
/// "identifier_reused", "ticket_expired", "unknown_model", "unknown_service" or
/// "no_row". The response to such an outcome does not say whether a request
/// with this identifier ran.
bool
isProtocolError(const std::string& reason);

} // namespace lentilrack::entry
