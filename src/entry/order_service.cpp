#include "entry/order_service.h"

#include "wire/messages.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace lentilrack::entry {

using core::Millis;
using core::Outcome;
using core::Verdict;

namespace {

Outcome
makeOutcome(Verdict verdict, std::string reason)
{
  Outcome outcome;
  outcome.verdict = verdict;
  outcome.reason = std::move(reason);
  return outcome;
}

/// True if a known backend server or dispatcher serves the target, or if the
/// list of servers has not been received yet.
bool
isKnownTarget(node::Node& node, const core::Work& work)
{
  const auto& servers = node.backendServers();
  const bool isListed = std::ranges::any_of(servers, [&](const auto& server) {
    return work.type == core::WorkType::Call
             ? server.service == work.target
             : std::ranges::find(server.models, work.target) !=
                 server.models.end();
  });
  if (servers.empty() || isListed) {
    return true;
  }
  const auto dispatchers =
    node.members().liveMembers(core::MemberRole::Dispatch);
  return std::ranges::any_of(dispatchers, [&](const auto& member) {
    return member.load.contains(work.target);
  });
}

} // namespace

core::Digest
bodyDigest(const core::Work& work)
{
  const auto bytes = wire::Json::to_cbor(wire::encode(work));
  return core::digestOf(
    { reinterpret_cast<const char*>(bytes.data()), bytes.size() });
}

bool
isProtocolError(const std::string& reason)
{
  constexpr std::array<std::string_view, 5> kReasons{ "identifier_reused",
                                                      "ticket_expired",
                                                      "unknown_model",
                                                      "unknown_service",
                                                      "no_row" };
  return std::ranges::find(kReasons, reason) != kReasons.end();
}

OrderService::OrderService(node::Node& node,
                           DispatchClient& client,
                           OrderServiceOptions options)
  : mNode(node)
  , mLog(node.log().child("orders"))
  , mProcessStart(options.processStart)
  , mLedger(options.ledger)
  , mNonIdempotentExecutor(client, mLedger)
  , mIdempotentExecutor(node.io(), client, std::move(options.retries))
{
}

bool
OrderService::isRefusingNewWork() const
{
  return mIsDraining || mNode.isIsolated() ||
         mNode.members().self().state == core::MemberState::Leaving;
}

std::shared_ptr<AnswerStream>
OrderService::finishedStream(Outcome outcome,
                             const std::vector<core::Chunk>& chunks)
{
  auto stream = std::make_shared<AnswerStream>(mNode.io());
  for (const auto& chunk : chunks) {
    stream->push(chunk);
  }
  stream->end(std::move(outcome));
  return stream;
}

std::shared_ptr<AnswerStream>
OrderService::replayRecordedAnswer(const std::string& id)
{
  const auto* record = mLedger.find(id);
  return finishedStream(record->outcome, record->answer);
}

std::shared_ptr<AnswerStream>
OrderService::submit(const core::RequestId& id,
                     const core::Ticket& ticket,
                     core::Work work,
                     Millis remaining)
{
  const auto now = core::Clock::now();
  const auto text = id.text();
  // A duplicate gets the recorded outcome even after the ticket has expired.
  const bool isExpired = now - mProcessStart >= ticket.expiry;
  if (isExpired && mLedger.find(text) == nullptr) {
    return finishedStream(makeOutcome(Verdict::Unknown, "ticket_expired"), {});
  }
  const auto keepUntil = mProcessStart + ticket.expiry + core::kTicketGrace;
  switch (mLedger.admit(text, bodyDigest(work), keepUntil, now)) {
    case core::OrderLedger::AdmitResult::BodyMismatch:
      return finishedStream(makeOutcome(Verdict::Unknown, "identifier_reused"),
                            {});
    case core::OrderLedger::AdmitResult::Full:
      mNode.metrics().increment("ledger_full_total");
      return finishedStream(makeOutcome(Verdict::Unknown, "ledger_full"), {});
    case core::OrderLedger::AdmitResult::Recorded:
      return replayRecordedAnswer(text);
    case core::OrderLedger::AdmitResult::Joined:
      return mRunningOrders.at(text)->addListener();
    case core::OrderLedger::AdmitResult::New:
      break;
  }
  if (auto refused = checkAdmission(work, remaining)) {
    if (isProtocolError(refused->reason)) {
      mLedger.removeInFlight(text);
      return finishedStream(std::move(*refused), {});
    }
    auto recordedOutcome = mLedger.finish(text, std::move(*refused), {});
    countOutcome(recordedOutcome);
    return finishedStream(std::move(recordedOutcome), {});
  }
  const auto* row = mNode.table().table().findRow(work.principal, work.kind);
  const auto run = std::make_shared<OrderRun>(
    mNode.io(), text, std::move(work), *row, now + remaining);
  mRunningOrders.emplace(text, run);
  auto stream = run->addListener();
  net::spawn(mNode.io(), execute(run, ticket.dispatchers), shared_from_this());
  return stream;
}

std::optional<Outcome>
OrderService::checkAdmission(const core::Work& work, Millis remaining)
{
  const auto* row = mNode.table().table().findRow(work.principal, work.kind);
  if (row == nullptr) {
    return makeOutcome(Verdict::Unknown, "no_row");
  }
  if (!isKnownTarget(mNode, work)) {
    return makeOutcome(Verdict::Unknown,
                       work.type == core::WorkType::Call ? "unknown_service"
                                                         : "unknown_model");
  }
  if (isRefusingNewWork()) {
    return makeOutcome(Verdict::NotRun,
                       mNode.isIsolated() ? "cut_off" : "leaving");
  }
  if (remaining <= Millis(0)) {
    return makeOutcome(Verdict::NotRun, "deadline");
  }
  if (const auto limit = mLimits.admit(*row, core::Clock::now())) {
    auto outcome = makeOutcome(Verdict::NotRun, limit->reason);
    outcome.retryAfter = limit->retryAfter;
    return outcome;
  }
  return std::nullopt;
}

net::Awaitable<void>
OrderService::execute(std::shared_ptr<OrderRun> run,
                      std::vector<core::ProcessId> allowedDispatchers)
{
  Outcome outcome;
  if (run->work().idempotent) {
    outcome = co_await mIdempotentExecutor.execute(run);
  } else {
    outcome = co_await mNonIdempotentExecutor.execute(
      run, std::move(allowedDispatchers));
  }
  finish(run, std::move(outcome));
}

void
OrderService::finish(const std::shared_ptr<OrderRun>& run, Outcome outcome)
{
  mLimits.finished({ run->row().principal, run->row().kind });
  mRunningOrders.erase(run->id());
  if (run->abandonSignal()->isCancelRequested()) {
    mLedger.removeInFlight(run->id());
    mNode.metrics().increment("orders_cancelled_total");
    run->end(outcome);
    return;
  }
  const auto recordedOutcome =
    mLedger.finish(run->id(), std::move(outcome), run->published());
  countOutcome(recordedOutcome);
  mNode.metrics().observe("order_ms",
                          std::chrono::duration<double, std::milli>(
                            core::Clock::now() - run->startedAt())
                            .count());
  run->end(recordedOutcome);
}

std::shared_ptr<AnswerStream>
OrderService::runForLostHome(const core::RequestId& id,
                             core::Work work,
                             Millis remaining)
{
  if (auto refused = checkAdmission(work, remaining)) {
    refused->verdict = Verdict::Unknown;
    countOutcome(*refused);
    return finishedStream(std::move(*refused), {});
  }
  const auto* row = mNode.table().table().findRow(work.principal, work.kind);
  const auto run = std::make_shared<OrderRun>(mNode.io(),
                                              id.text(),
                                              std::move(work),
                                              *row,
                                              core::Clock::now() + remaining);
  auto stream = run->addListener();
  ++mLostHomeRunCount;
  net::spawn(mNode.io(), executeForLostHome(run), shared_from_this());
  return stream;
}

net::Awaitable<void>
OrderService::executeForLostHome(std::shared_ptr<OrderRun> run)
{
  auto outcome = co_await mIdempotentExecutor.execute(run);
  if (outcome.verdict == Verdict::NotRun) {
    outcome.verdict = Verdict::Unknown;
  }
  --mLostHomeRunCount;
  mLimits.finished({ run->row().principal, run->row().kind });
  countOutcome(outcome);
  run->end(outcome);
}

std::vector<std::string>
OrderService::describeInFlight() const
{
  std::vector<std::string> lines(mLostHomeRunCount,
                                 "request whose home is lost");
  for (const auto& [id, run] : mRunningOrders) {
    // The ticket in an identifier is a credential, so only the last characters
    // are shown. They are enough to tell requests apart.
    const auto tail =
      id.substr(id.size() - std::min<std::size_t>(id.size(), 12));
    lines.push_back(run->work().principal + "/" + run->work().kind +
                    " request ..." + tail);
  }
  return lines;
}

void
OrderService::countOutcome(const Outcome& outcome)
{
  auto& metrics = mNode.metrics();
  metrics.increment("orders_total{verdict=\"" +
                    wire::verdictName(outcome.verdict) + "\"}");
  if (outcome.verdict == Verdict::Unknown) {
    // Only the part of the reason before the colon becomes a label. The details
    // after the colon vary, and each text would create its own time series.
    const auto reason = outcome.reason.substr(0, outcome.reason.find(':'));
    metrics.increment("orders_unknown_total{reason=\"" + reason + "\"}");
    mLog.warning("order ended with an unknown outcome: {}", outcome.reason);
  }
}

} // namespace lentilrack::entry
