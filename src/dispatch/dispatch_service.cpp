#include "dispatch/dispatch_service.h"

#include <algorithm>

namespace lentilrack::dispatch {

using core::Clock;
using core::Verdict;
using net::Awaitable;

namespace {

/// Precision of deadlines in the queue and of the waiting time before a
/// preemption.
constexpr core::Millis kTick{ 20 };

core::Outcome
notRun(std::string reason)
{
  core::Outcome outcome;
  outcome.verdict = Verdict::NotRun;
  outcome.reason = std::move(reason);
  return outcome;
}

wire::BarState
barStateOf(core::AttemptState state)
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

/// Identifier of a run at the engine. A later run of the same attempt gets its
/// own, so that a late cancel of the earlier run does not reach it.
std::string
engineAttempt(const core::JobStart& start)
{
  auto text = start.attempt.text();
  if (start.run > 1) {
    text += "." + std::to_string(start.run);
  }
  return text;
}

core::Millis
timeLeft(const core::JobStart& start)
{
  return std::max(
    core::Millis(1),
    std::chrono::duration_cast<core::Millis>(start.deadline - Clock::now()));
}

} // namespace

DispatchService::DispatchService(node::Node& node,
                                 core::Scheduler& scheduler,
                                 Fencing& fencing,
                                 StaleFencing onStaleFencing)
  : mNode(node)
  , mScheduler(scheduler)
  , mFencing(fencing)
  , mOnStaleFencing(std::move(onStaleFencing))
  , mEngines(node.http())
  , mServices(node.http())
{
}

void
DispatchService::addHandlers(net::LinkServer& server)
{
  server.handle(wire::DispatchRequest::kType,
                [this](std::shared_ptr<net::LinkRequest> request) {
                  return handleDispatch(std::move(request));
                });
  server.handle(wire::BarRequest::kType,
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
    refusal = notRun("bad_message: " + message.error().text());
  } else if (message.value().dispatcher != mNode.self()) {
    refusal = notRun("other_incarnation");
  } else if (mDraining) {
    refusal = notRun("leaving");
  } else if (mNode.cutOff()) {
    refusal = notRun("cut_off");
  } else {
    accept(request, std::move(message).value());
    pump();
    co_return;
  }
  count(refusal);
  replyTo(*request, refusal, "");
}

core::Row
DispatchService::rowOf(const core::Work& work) const
{
  const auto* row = mNode.table().table().findRow(work.principal, work.kind);
  if (row != nullptr) {
    return *row;
  }
  // The entry admitted the work by a table that this process may not have yet.
  core::Row fallback;
  fallback.principal = work.principal;
  fallback.kind = work.kind;
  return fallback;
}

void
DispatchService::accept(const std::shared_ptr<net::LinkRequest>& request,
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
                                 mPauseGuard.maxUnreadTime(now) };
  submission.row = rowOf(submission.work);
  const auto result = mScheduler.submit(std::move(submission), now);
  if (const auto* refusal = std::get_if<core::Outcome>(&result)) {
    count(*refusal);
    replyTo(*request, *refusal, target);
    return;
  }
  const auto job = std::get<core::JobId>(result);
  Active active;
  active.request = request;
  active.idempotent = idempotent;
  active.received = now;
  active.target = target;
  active.requestId = requestId;
  mActive.emplace(job, std::move(active));
  request->cancelled()->add([this, job] { cancel(job); });
  // A lost link says nothing on what the caller may be told, so work that must
  // not be repeated goes on, and its outcome stays in the ledger.
  if (idempotent) {
    request->linkLost()->add([this, job] { cancel(job); });
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
    answer(ended.job, ended.outcome);
  }
  mNode.metrics().increment("dispatch_bars_total");
  wire::BarReply reply{ barStateOf(result->state), result->outcome, {} };
  const auto* answer = mRecentAnswers.find(message.value().request);
  if (answer != nullptr && result->outcome &&
      result->outcome->verdict == core::Verdict::Done) {
    reply.answer = *answer;
  }
  request->reply(wire::encode(reply));
}

void
DispatchService::pump()
{
  const auto now = Clock::now();
  for (const auto& ended : mScheduler.advance(now)) {
    answer(ended.job, ended.outcome);
  }
  while (auto start = mScheduler.next(now)) {
    net::spawn(mNode.io(), run(std::move(*start)));
  }
}

Awaitable<void>
DispatchService::tickLoop()
{
  for (;;) {
    co_await net::sleepFor(kTick);
    mPauseGuard.tick(Clock::now());
    pump();
    // Looks at every job, so it is not part of each pump().
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
  call.request.attempt = engineAttempt(start);
  call.request.model = work.target;
  call.request.prompt = work.prompt;
  call.request.prefix = work.prefix;
  call.request.maxTokens = work.maxTokens;
  call.request.offset = work.offset;
  call.request.priority = start.priority;
  call.request.fencing = mFencing.number(start.server);
  call.request.version = work.version;
  call.timeout = timeLeft(start);
  call.beforeFirstByte = [this, job = start.job] {
    return mScheduler.begin(job, Clock::now());
  };
  call.onChunk = [this, job = start.job](const core::Chunk& chunk) {
    takeChunk(job, chunk);
  };
  return call;
}

backends::ServiceCall
DispatchService::serviceCall(const core::JobStart& start)
{
  backends::ServiceCall call;
  call.content = start.work.call;
  call.requestId = start.work.idempotent ? "" : start.attempt.request;
  call.timeout = timeLeft(start);
  call.beforeFirstByte = [this, job = start.job] {
    return mScheduler.begin(job, Clock::now());
  };
  call.onChunk = [this, job = start.job](const core::Chunk& chunk) {
    takeChunk(job, chunk);
  };
  return call;
}

Awaitable<void>
DispatchService::run(core::JobStart start)
{
  const auto found = mActive.find(start.job);
  if (found == mActive.end()) {
    const auto gone = notRun("cancelled");
    mScheduler.finished(start.job, gone, Clock::now());
    co_return;
  }
  const auto signal = std::make_shared<net::CancelSignal>();
  found->second.cancel = signal;
  found->second.engine = start.endpoint;
  found->second.engineAttempt = engineAttempt(start);
  core::Outcome outcome;
  if (start.work.type == core::WorkType::Call) {
    auto call = serviceCall(start);
    call.cancel = signal;
    outcome = co_await mServices.call(start.endpoint, std::move(call));
  } else {
    auto call = generateCall(start);
    call.cancel = signal;
    outcome = co_await mEngines.generate(start.endpoint, std::move(call));
  }
  if (outcome.reason == "stale_fencing") {
    mOnStaleFencing(start.server);
  }
  const auto active = mActive.find(start.job);
  if (active != mActive.end()) {
    active->second.cancel.reset();
  }
  const auto result =
    mScheduler.finished(start.job, std::move(outcome), Clock::now());
  if (result) {
    answer(start.job, *result);
  } else {
    mNode.metrics().increment("dispatch_requeued_total");
  }
  pump();
}

void
DispatchService::takeChunk(core::JobId job, const core::Chunk& chunk)
{
  mScheduler.progress(job, chunk, Clock::now());
  const auto found = mActive.find(job);
  if (found != mActive.end()) {
    found->second.request->event(wire::encode(chunk));
    if (!found->second.idempotent) {
      found->second.chunks.push_back(chunk);
    }
  }
}

void
DispatchService::cancel(core::JobId job)
{
  const auto outcome = mScheduler.cancel(job, Clock::now());
  if (outcome) {
    answer(job, *outcome);
    return;
  }
  const auto found = mActive.find(job);
  // What must not be repeated ends by itself, so that its outcome is known.
  if (found != mActive.end() && found->second.idempotent) {
    cancelRun(job);
  }
}

void
DispatchService::cancelRun(core::JobId job)
{
  const auto found = mActive.find(job);
  if (found == mActive.end() || !found->second.cancel) {
    return;
  }
  const auto& active = found->second;
  const auto signal = active.cancel;
  net::spawn(mNode.io(), cancelAtEngine(active.engine, active.engineAttempt));
  signal->cancel();
}

Awaitable<void>
DispatchService::cancelAtEngine(core::Endpoint engine, std::string attempt)
{
  co_await mEngines.cancel(std::move(engine), std::move(attempt));
}

void
DispatchService::answer(core::JobId job, const core::Outcome& outcome)
{
  const auto found = mActive.find(job);
  if (found == mActive.end()) {
    return;
  }
  const std::chrono::duration<double, std::milli> took =
    Clock::now() - found->second.received;
  mNode.metrics().observe("dispatch_time_ms", took.count());
  count(outcome);
  auto active = std::move(found->second);
  mActive.erase(found);
  if (!active.idempotent && outcome.verdict == core::Verdict::Done) {
    mRecentAnswers.store(active.requestId, std::move(active.chunks));
  }
  replyTo(*active.request, outcome, active.target);
}

void
DispatchService::replyTo(net::LinkRequest& request,
                         const core::Outcome& outcome,
                         const std::string& target) const
{
  wire::DispatchReply reply{ outcome, std::nullopt };
  if (!target.empty() && !mDraining) {
    reply.load = mScheduler.loadOf(target, Clock::now());
  }
  request.reply(wire::encode(reply));
}

void
DispatchService::count(const core::Outcome& outcome)
{
  // Details after a colon would make a new series for each message.
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
