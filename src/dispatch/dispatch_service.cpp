#include "dispatch/dispatch_service.h"

#include <algorithm>

namespace lentilrack::dispatch {

using core::Clock;
using core::Verdict;
using net::Awaitable;

namespace {

/// Interval between runs of the scheduler, and so the maximum delay with which
/// it notices that a job's deadline has passed or that a preemption is due.
constexpr core::Millis kSchedulerInterval{ 20 };

core::Outcome
notRunOutcome(std::string reason)
{
  core::Outcome outcome;
  outcome.verdict = Verdict::NotRun;
  outcome.reason = std::move(reason);
  return outcome;
}

wire::BarState
toBarState(core::AttemptState state)
{
  switch (state) {
    case core::AttemptState::Barred:
      return wire::BarState::Barred;
    case core::AttemptState::Finished:
      return wire::BarState::Finished;
    default:
      return wire::BarState::Started;
  }
}

/// Returns the identifier of a run at the engine. Each further run of an
/// attempt gets its own suffix, so that a late request to cancel an earlier run
/// does not cancel a later one.
std::string
engineAttemptId(const core::JobStart& start)
{
  auto text = start.attempt.text();
  if (start.run > 1) {
    text += "." + std::to_string(start.run);
  }
  return text;
}

core::Millis
remainingTime(const core::JobStart& start)
{
  return std::max(
    core::Millis(1),
    std::chrono::duration_cast<core::Millis>(start.deadline - Clock::now()));
}

} // namespace

backends::RateHook
rateHook(core::Scheduler& scheduler)
{
  return
    [&scheduler](const core::Endpoint& server, std::optional<double> rate) {
      scheduler.servers().recordStatedRate(server, rate, Clock::now());
    };
}

DispatchService::DispatchService(node::Node& node,
                                 core::Scheduler& scheduler,
                                 Fencing& fencing,
                                 StaleFencingCallback onStaleFencing)
  : mNode(node)
  , mScheduler(scheduler)
  , mFencing(fencing)
  , mOnStaleFencing(std::move(onStaleFencing))
  , mEngineClient(node.http(), rateHook(scheduler))
  , mServiceClient(node.http(), rateHook(scheduler))
{
}

void
DispatchService::addHandlers(net::LinkServer& server)
{
  server.registerHandler(wire::DispatchRequest::kType,
                         [this](std::shared_ptr<net::LinkRequest> request) {
                           return handleDispatch(std::move(request));
                         });
  server.registerHandler(wire::BarRequest::kType,
                         [this](std::shared_ptr<net::LinkRequest> request) {
                           return handleBar(std::move(request));
                         });
}

Awaitable<void>
DispatchService::handleDispatch(std::shared_ptr<net::LinkRequest> request)
{
  auto message = wire::decode<wire::DispatchRequest>(request->body());
  core::Outcome refusal;
  if (!message) {
    refusal = notRunOutcome("bad_message: " + message.error().text());
  } else if (message.value().dispatcher != mNode.self()) {
    refusal = notRunOutcome("other_incarnation");
  } else if (mIsDraining) {
    refusal = notRunOutcome("leaving");
  } else if (mNode.isIsolated()) {
    refusal = notRunOutcome("cut_off");
  } else {
    submitWork(request, std::move(message).value());
    runScheduler();
    co_return;
  }
  countOutcome(refusal);
  sendReply(*request, refusal, "");
}

core::Row
DispatchService::tableRow(const core::Work& work) const
{
  const auto* row = mNode.table().table().findRow(work.principal, work.kind);
  if (row != nullptr) {
    return *row;
  }
  // The row is missing if the entry process admitted the work under a newer
  // table that this process has not received yet. Default values are used
  // instead.
  core::Row fallback;
  fallback.principal = work.principal;
  fallback.kind = work.kind;
  return fallback;
}

void
DispatchService::submitWork(const std::shared_ptr<net::LinkRequest>& request,
                            wire::DispatchRequest message)
{
  const auto now = Clock::now();
  const bool idempotent = message.work.idempotent;
  const auto target = message.work.target;
  const auto requestId = message.attempt.request;
  core::Submission submission{ std::move(message.attempt),
                               std::move(message.work),
                               {},
                               now + message.remaining -
                                 mPauseDetector.maxUnreadTime(now) };
  submission.row = tableRow(submission.work);
  const auto result = mScheduler.submit(std::move(submission), now);
  if (const auto* refusal = std::get_if<core::Outcome>(&result)) {
    countOutcome(*refusal);
    sendReply(*request, *refusal, target);
    return;
  }
  const auto job = std::get<core::JobId>(result);
  ActiveJob active;
  active.request = request;
  active.idempotent = idempotent;
  active.receivedAt = now;
  active.target = target;
  active.requestId = requestId;
  mActiveJobs.emplace(job, std::move(active));
  request->cancelSignal()->addCallback([this, job] { cancel(job); });
  // Non-idempotent work continues when the link is lost, because cancelling it
  // would leave its outcome unknown. The ledger records the outcome.
  if (idempotent) {
    request->linkLostSignal()->addCallback([this, job] { cancel(job); });
  }
}

Awaitable<void>
DispatchService::handleBar(std::shared_ptr<net::LinkRequest> request)
{
  const auto message = wire::decode<wire::BarRequest>(request->body());
  if (!message) {
    request->reject(message.error().text());
    co_return;
  }
  if (message.value().dispatcher != mNode.self()) {
    request->reject("another incarnation");
    co_return;
  }
  const auto result = mScheduler.bar(message.value().request, Clock::now());
  if (!result) {
    request->reject("the ledger is full");
    co_return;
  }
  for (const auto& ended : result->ended) {
    finishJob(ended.job, ended.outcome);
  }
  mNode.metrics().increment("dispatch_bars_total");
  wire::BarReply reply{ toBarState(result->state), result->outcome, {} };
  const auto* answer = mRecentAnswers.find(message.value().request);
  if (answer != nullptr && result->outcome &&
      result->outcome->verdict == core::Verdict::Done) {
    reply.answer = *answer;
  }
  request->reply(wire::encode(reply));
}

void
DispatchService::runScheduler()
{
  const auto now = Clock::now();
  for (const auto& ended : mScheduler.advance(now)) {
    finishJob(ended.job, ended.outcome);
  }
  while (auto start = mScheduler.next(now)) {
    net::spawn(mNode.io(), run(std::move(*start)));
  }
}

Awaitable<void>
DispatchService::schedulerLoop()
{
  for (;;) {
    co_await net::sleepFor(kSchedulerInterval);
    mPauseDetector.tick(Clock::now());
    runScheduler();
    // Preemptions are checked here, and not in runScheduler(), because
    // preemptions() scans all jobs and runScheduler() is called much more
    // often.
    for (const auto job : mScheduler.preemptions(Clock::now())) {
      mNode.metrics().increment("dispatch_preemptions_total");
      cancelRun(job);
    }
  }
}

backends::GenerateCall
DispatchService::generateCall(const core::JobStart& start)
{
  const auto& work = start.work;
  backends::GenerateCall call;
  call.request.attempt = engineAttemptId(start);
  call.request.model = work.target;
  call.request.prompt = work.prompt;
  call.request.prefix = work.prefix;
  call.request.maxTokens = work.maxTokens;
  call.request.offset = work.offset;
  call.request.priority = start.priority;
  call.request.fencing = mFencing.number(start.server);
  call.request.version = work.version;
  call.timeout = remainingTime(start);
  call.beforeFirstByte = [this, job = start.job] {
    return mScheduler.begin(job, Clock::now());
  };
  call.onChunk = [this, job = start.job](const core::Chunk& chunk) {
    forwardChunk(job, chunk);
  };
  return call;
}

backends::ServiceCall
DispatchService::serviceCall(const core::JobStart& start)
{
  backends::ServiceCall call;
  call.content = start.work.call;
  call.requestId = start.work.idempotent ? "" : start.attempt.request;
  call.timeout = remainingTime(start);
  call.beforeFirstByte = [this, job = start.job] {
    return mScheduler.begin(job, Clock::now());
  };
  call.onChunk = [this, job = start.job](const core::Chunk& chunk) {
    forwardChunk(job, chunk);
  };
  return call;
}

Awaitable<void>
DispatchService::run(core::JobStart start)
{
  const auto entry = mActiveJobs.find(start.job);
  if (entry == mActiveJobs.end()) {
    const auto cancelledOutcome = notRunOutcome("cancelled");
    mScheduler.finished(start.job, cancelledOutcome, Clock::now());
    co_return;
  }
  const auto runCancelSignal = std::make_shared<net::CancelSignal>();
  entry->second.cancel = runCancelSignal;
  entry->second.engine = start.endpoint;
  entry->second.engineAttemptId = engineAttemptId(start);
  core::Outcome outcome;
  if (start.work.type == core::WorkType::Call) {
    auto call = serviceCall(start);
    call.cancel = runCancelSignal;
    outcome = co_await mServiceClient.call(start.endpoint, std::move(call));
  } else {
    auto call = generateCall(start);
    call.cancel = runCancelSignal;
    outcome = co_await mEngineClient.generate(start.endpoint, std::move(call));
  }
  if (outcome.reason == "stale_fencing") {
    mOnStaleFencing(start.server);
  }
  const auto active = mActiveJobs.find(start.job);
  if (active != mActiveJobs.end()) {
    active->second.cancel.reset();
  }
  const auto result =
    mScheduler.finished(start.job, std::move(outcome), Clock::now());
  if (result) {
    finishJob(start.job, *result);
  } else {
    mNode.metrics().increment("dispatch_requeued_total");
  }
  runScheduler();
}

void
DispatchService::forwardChunk(core::JobId job, const core::Chunk& chunk)
{
  mScheduler.progress(job, chunk, Clock::now());
  const auto entry = mActiveJobs.find(job);
  if (entry != mActiveJobs.end()) {
    entry->second.request->sendEvent(wire::encode(chunk));
    if (!entry->second.idempotent) {
      entry->second.chunks.push_back(chunk);
    }
  }
}

void
DispatchService::cancel(core::JobId job)
{
  const auto outcome = mScheduler.cancel(job, Clock::now());
  if (outcome) {
    finishJob(job, *outcome);
    return;
  }
  const auto entry = mActiveJobs.find(job);
  // A non-idempotent run is not cancelled, because a cancelled run has an
  // unknown outcome.
  if (entry != mActiveJobs.end() && entry->second.idempotent) {
    cancelRun(job);
  }
}

void
DispatchService::cancelRun(core::JobId job)
{
  const auto entry = mActiveJobs.find(job);
  if (entry == mActiveJobs.end() || !entry->second.cancel) {
    return;
  }
  const auto& active = entry->second;
  const auto runCancelSignal = active.cancel;
  net::spawn(mNode.io(), cancelAtEngine(active.engine, active.engineAttemptId));
  runCancelSignal->cancel();
}

Awaitable<void>
DispatchService::cancelAtEngine(core::Endpoint engine, std::string attempt)
{
  // Without a permit, the engine stops the run when its connection closes.
  if (!mScheduler.servers().takePermit(engine, Clock::now())) {
    co_return;
  }
  co_await mEngineClient.cancel(std::move(engine), std::move(attempt));
}

void
DispatchService::finishJob(core::JobId job, const core::Outcome& outcome)
{
  const auto entry = mActiveJobs.find(job);
  if (entry == mActiveJobs.end()) {
    return;
  }
  const std::chrono::duration<double, std::milli> elapsed =
    Clock::now() - entry->second.receivedAt;
  mNode.metrics().observe("dispatch_time_ms", elapsed.count());
  countOutcome(outcome);
  auto active = std::move(entry->second);
  mActiveJobs.erase(entry);
  if (!active.idempotent && outcome.verdict == core::Verdict::Done) {
    mRecentAnswers.store(active.requestId, std::move(active.chunks));
  }
  sendReply(*active.request, outcome, active.target);
}

void
DispatchService::sendReply(net::LinkRequest& request,
                           const core::Outcome& outcome,
                           const std::string& target) const
{
  wire::DispatchReply reply{ outcome, std::nullopt };
  if (!target.empty() && !mIsDraining) {
    reply.load = mScheduler.loadOf(target, Clock::now());
  }
  request.reply(wire::encode(reply));
}

void
DispatchService::countOutcome(const core::Outcome& outcome)
{
  // Only the part of the reason before the colon becomes a label. The details
  // after the colon vary, and each text would create its own time series.
  const auto reason = outcome.reason.substr(0, outcome.reason.find(':'));
  mNode.metrics().increment("dispatch_outcomes_total{verdict=\"" +
                            wire::verdictName(outcome.verdict) +
                            "\",reason=\"" + reason + "\"}");
}

std::vector<std::string>
DispatchService::inFlight() const
{
  return mScheduler.describeJobs();
}

} // namespace lentilrack::dispatch
