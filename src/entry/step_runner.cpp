#include "entry/step_runner.h"

#include "net/random.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace lentilrack::entry {

using core::Clock;
using core::Millis;
using core::StepError;
using net::Awaitable;

namespace {

// In addition to one running copy for each engine slot, one copy is queued for
// every four slots, so that the engines do not run out of work.
constexpr std::int64_t kQueuedCopiesDivisor = 4;
// Number of copies of a step that may run in any case, also while no dispatcher
// has reported its capacity.
constexpr std::int64_t kMinWindow = 8;
constexpr Millis kMaxLoopWait{ 500 };
constexpr Millis kMinRefusalPause{ 20 };
constexpr Millis kMaxRefusalPause{ 1000 };

std::string
promptPrefix(const std::string& prompt)
{
  return fmt::format("{:016x}", XXH64(prompt.data(), prompt.size(), 0));
}

} // namespace

StepRunner::StepRunner(std::shared_ptr<const StepServices> services,
                       core::Step step)
  : mServices(std::move(services))
  , mStep(std::move(step))
  , mLastMessageAt(Clock::now())
  , mWake(*mServices->io)
{
  applyNewestVersion();
}

void
StepRunner::startLoop()
{
  net::spawn(*mServices->io, loop(), shared_from_this());
}

void
StepRunner::close()
{
  mIsClosed = true;
  const auto cancelSignals = mCancelSignals;
  for (const auto& [id, cancel] : cancelSignals) {
    cancel->cancel();
  }
  notifyChange();
}

void
StepRunner::notifyChange()
{
  mWake.notify();
  if (mPullWake) {
    mPullWake->notify();
  }
}

void
StepRunner::onVersionsChanged()
{
  applyNewestVersion();
  mWake.notify();
}

void
StepRunner::applyNewestVersion()
{
  const auto newest = mServices->versions->newest(mStep.spec().model);
  if (newest) {
    mStep.observeVersion(*newest);
  }
}

bool
StepRunner::applyCurrentRow(Millis* deadline)
{
  const auto* row = mServices->row(mStep.spec());
  if (row == nullptr) {
    return false;
  }
  *deadline = row->deadline;
  // Fails only for a negative bound, which the validation of the table
  // excludes. A failure would keep the previous bound.
  return mStep.setStalenessBound(row->stalenessBound).has_value();
}

core::Result<void, StepError>
StepRunner::reopen(const core::StepSpec& spec,
                   std::int64_t opening,
                   const std::vector<core::Slot>& received,
                   std::int64_t version)
{
  auto result = mStep.reopen(spec, opening, received);
  if (result) {
    mLastMessageAt = Clock::now();
    mStep.observeVersion(version);
    notifyChange();
  }
  return result;
}

core::Result<void, StepError>
StepRunner::acknowledge(std::int64_t opening,
                        const std::vector<core::Slot>& received)
{
  auto result = mStep.acknowledge(opening, received);
  if (result) {
    mLastMessageAt = Clock::now();
    notifyChange();
  }
  return result;
}

Awaitable<PullResult>
StepRunner::pull(std::int64_t opening,
                 std::vector<core::Slot> received,
                 std::int64_t version,
                 Millis wait)
{
  const auto self = shared_from_this();
  const auto end = Clock::now() + wait;
  std::uint64_t number = 0;
  std::shared_ptr<net::Notifier> wake;
  for (;;) {
    PullResult result;
    result.isSuperseded =
      mIsClosed || (number != 0 && mLastPullNumber != number);
    if (result.isSuperseded) {
      co_return result;
    }
    Millis deadline{ 0 };
    applyNewestVersion();
    applyCurrentRow(&deadline);
    auto pulledSamples = mStep.pull(opening, received, version);
    if (!pulledSamples) {
      result.error = pulledSamples.error();
      co_return result;
    }
    mLastMessageAt = Clock::now();
    if (number == 0) {
      // Only a valid pull replaces the pull that is waiting.
      number = ++mLastPullNumber;
      wake = replaceWaitingPull();
    }
    // Wakes the loop, because the pull may have acknowledged or dropped
    // samples, which allows further copies to start.
    mWake.notify();
    result.pulledSamples = std::move(pulledSamples.value());
    result.droppedStale = mStep.counters().stale;
    const auto now = Clock::now();
    const bool ready =
      !result.pulledSamples.samples.empty() || result.pulledSamples.complete;
    if (ready || now >= end) {
      mServices->metrics->increment(
        "samples_handed_over_total",
        static_cast<double>(result.pulledSamples.samples.size()));
      co_return result;
    }
    co_await wake->wait(std::chrono::ceil<Millis>(end - now));
  }
}

std::shared_ptr<net::Notifier>
StepRunner::replaceWaitingPull()
{
  const auto previous =
    std::exchange(mPullWake, std::make_shared<net::Notifier>(*mServices->io));
  if (previous) {
    previous->notify();
  }
  return mPullWake;
}

Awaitable<void>
StepRunner::loop()
{
  while (!mIsClosed) {
    startCopies();
    cancelCopies();
    const auto maxWaitTime = maxWait();
    co_await mWake.wait(maxWaitTime);
  }
}

Millis
StepRunner::maxWait() const
{
  const auto next = mStep.nextStartTime();
  const auto now = Clock::now();
  if (!next || *next <= now) {
    return kMaxLoopWait;
  }
  return std::min(kMaxLoopWait, std::chrono::ceil<Millis>(*next - now));
}

void
StepRunner::startCopies()
{
  Millis deadline{ 0 };
  const auto now = Clock::now();
  if (!applyCurrentRow(&deadline) || now < mPausedUntil) {
    return;
  }
  const auto capacity = mServices->capacity(mStep.spec().model);
  const auto window = std::max(
    kMinWindow, capacity.slots + capacity.slots / kQueuedCopiesDivisor);
  auto idle = capacity.idleSlots;
  while (mStep.running() < window) {
    const auto start = mStep.startNext(now, idle);
    if (!start) {
      break;
    }
    --idle;
    mCancelSignals[start->id] = std::make_shared<net::CancelSignal>();
    net::spawn(*mServices->io, runCopy(*start, deadline), shared_from_this());
  }
}

void
StepRunner::cancelCopies()
{
  auto ids = mStep.takeCancelled();
  const auto unwanted = std::exchange(mUnwantedCopies, {});
  ids.insert(ids.end(), unwanted.begin(), unwanted.end());
  for (const auto id : ids) {
    const auto found = mCancelSignals.find(id);
    if (found != mCancelSignals.end()) {
      const auto cancel = found->second;
      cancel->cancel();
    }
  }
}

DispatchCall
StepRunner::makeCall(const core::CopyStart& start, Millis deadline)
{
  const auto& spec = mStep.spec();
  DispatchCall call;
  call.attempt = { "idem-" + net::randomHex(), 1 };
  call.work.type = core::WorkType::Rollout;
  call.work.principal = spec.trainer;
  call.work.kind = spec.kind;
  call.work.target = spec.model;
  call.work.idempotent = true;
  call.work.prompt = spec.prompts[static_cast<std::size_t>(start.slot.group)];
  call.work.maxTokens = spec.maxTokens;
  call.work.offset = start.offset;
  call.work.prefix = promptPrefix(call.work.prompt);
  call.work.version = start.version;
  call.remaining = deadline;
  call.cancel = mCancelSignals[start.id];
  call.onChunk = [this, copy = start.id](const core::Chunk& chunk) {
    handleChunk(copy, chunk);
  };
  return call;
}

void
StepRunner::handleChunk(core::CopyId copy, const core::Chunk& chunk)
{
  const bool isWanted = mStep.addChunk(copy, chunk);
  if (chunk.version) {
    mServices->versions->observe(mStep.spec().model, *chunk.version);
  }
  if (!isWanted) {
    // The loop cancels the copy, because cancelling it here would call back
    // into the client that is delivering this chunk.
    mUnwantedCopies.push_back(copy);
    mWake.notify();
  }
}

Awaitable<void>
StepRunner::runCopy(core::CopyStart start, Millis deadline)
{
  const auto self = shared_from_this();
  auto call = makeCall(start, deadline);
  const auto result = co_await mServices->run(std::move(call));
  mCancelSignals.erase(start.id);
  if (mIsClosed) {
    co_return;
  }
  const auto& outcome = result.outcome;
  const auto now = Clock::now();
  const auto end = mStep.finish(start.id, outcome, now, net::randomFraction());
  if (end == core::CopyOutcome::NeedsScore) {
    submitForScore(start.id, start.slot.group);
  } else if (end == core::CopyOutcome::Retry) {
    mServices->metrics->increment("rollouts_again_total");
    if (outcome.verdict == core::Verdict::NotRun) {
      const auto pause =
        std::clamp(outcome.retryAfter, kMinRefusalPause, kMaxRefusalPause);
      mPausedUntil = now + pause;
    }
  }
  mWake.notify();
}

void
StepRunner::submitForScore(core::CopyId copy, std::int64_t group)
{
  const auto* answer = mStep.answerText(copy);
  const std::weak_ptr<StepRunner> weak = weak_from_this();
  ScoreJob job;
  job.prompt = mStep.spec().prompts[static_cast<std::size_t>(group)];
  job.text = *answer;
  job.isWanted = [weak, copy] {
    const auto self = weak.lock();
    return self && !self->mIsClosed && self->mStep.answerText(copy) != nullptr;
  };
  job.onScored = [weak, copy](double score) {
    const auto self = weak.lock();
    if (self && !self->mIsClosed) {
      self->mStep.recordScore(copy, score);
      self->notifyChange();
    }
  };
  mServices->scorer->submit(std::move(job));
}

} // namespace lentilrack::entry
