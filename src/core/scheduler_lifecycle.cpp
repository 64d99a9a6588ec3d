#include "core/scheduler.h"

#include <algorithm>

// The part of Scheduler that handles the end of runs, requeueing, preemption
// and periodic work.
namespace lentilrack::core {

namespace {

bool
isProvedNotRun(const Outcome& outcome)
{
  return outcome.verdict == Verdict::NotRun &&
         (outcome.reason == "connection_refused" ||
          outcome.reason == "refused" || outcome.reason == "stale_fencing");
}

bool
isServerFailure(const Outcome& outcome)
{
  return outcome.reason == "connection_refused" ||
         outcome.reason == "interrupted" || outcome.reason == "bad_answer";
}

} // namespace

void
Scheduler::recordServerOutcome(const Job& job,
                               const Outcome& outcome,
                               TimePoint now)
{
  const auto& work = job.submission.work;
  const bool isDone = outcome.verdict == Verdict::Done;
  if (isDone && work.type == WorkType::Call) {
    mHealth.progress(job.server, 1, now);
  }
  mHealth.finished(job.server, now);
  mServers.finished(job.server, job.isLong, isDone);
  const bool isSilentTimeout =
    outcome.reason == "timeout" && job.producedTokens == 0;
  if (isDone) {
    mHealth.succeeded(job.server);
    mRetryBudget.succeeded();
  } else if (isServerFailure(outcome) || isSilentTimeout) {
    mHealth.failed(job.server, now);
    mPrefixes.removeServer(job.server);
  } else if (outcome.reason == "refused") {
    mServers.recordRefusal(job.server, now);
  }
}

std::optional<Outcome>
Scheduler::finished(JobId id, Outcome outcome, TimePoint now)
{
  const auto found = mJobs.find(id);
  if (found == mJobs.end()) {
    return std::nullopt;
  }
  auto& job = found->second;
  const auto& submission = job.submission;
  recordServerOutcome(job, outcome, now);
  job.running = false;
  const bool isCall = submission.work.type == WorkType::Call;
  const double actualCost =
    isCall ? job.cost.tokens : static_cast<double>(job.producedTokens);
  queueOf(submission.work.target)
    .correctCharge({ submission.row.principal, submission.row.kind },
                   submission.row.priority,
                   submission.row.weight,
                   job.cost.tokens,
                   actualCost);
  if (outcome.verdict == Verdict::Done) {
    const auto total = submission.work.offset + job.producedTokens;
    mCosts.observe(submission.work, total);
    if (job.hasRunBefore) {
      // The engine reports the tokens and segments of the last run only, but
      // the answer consists of several runs.
      outcome.totalTokens = isCall ? outcome.totalTokens : total;
      outcome.segments =
        job.areVersionsKnown ? job.segments : std::vector<Segment>{};
    }
    return endJob(id, std::move(outcome), now);
  }
  if (tryRequeue(id, job, outcome, now)) {
    return std::nullopt;
  }
  if (outcome.verdict == Verdict::NotRun) {
    if (mLedger.state(submission.attempt.request) == AttemptState::Barred) {
      outcome.reason = "barred";
    } else if (job.cancelled) {
      outcome.reason = "cancelled";
    }
    if (job.hasRunBefore) {
      // NotRun is proved only for the last run; an earlier one may have reached
      // a server.
      outcome.verdict = Verdict::Unknown;
    }
  }
  return endJob(id, std::move(outcome), now);
}

void
Scheduler::resumeFromOffset(Job& job)
{
  auto& work = job.submission.work;
  work.offset += job.producedTokens;
  if (!work.version && job.producedTokens > 0 && !job.segments.empty()) {
    work.version = job.segments.back().version;
    job.isVersionFromResume = true;
  }
  job.cost.tokens =
    std::max(1.0, job.cost.tokens - static_cast<double>(job.producedTokens));
  job.producedTokens = 0;
}

bool
Scheduler::tryRequeue(JobId id, Job& job, const Outcome& outcome, TimePoint now)
{
  const auto& submission = job.submission;
  const auto& work = submission.work;
  if (job.cancelled || now >= submission.deadline ||
      mLedger.state(submission.attempt.request) == AttemptState::Barred) {
    return false;
  }
  const bool isRollout = work.type == WorkType::Rollout;
  if (job.preempting && isRollout && outcome.reason == "cancelled") {
    job.preempting = false;
    ++job.preemptions;
    job.hasRunBefore = true;
    resumeFromOffset(job);
    queueOf(work.target).requeueItem(itemFor(id, job));
    return true;
  }
  job.preempting = false;
  const bool isProved = isProvedNotRun(outcome);
  // Tokens that were sent to the caller cannot be taken back. Rollouts resume
  // after them; other work is not run again once it has produced tokens.
  const bool isRepeatable = (work.idempotent || isRollout) &&
                            isServerFailure(outcome) &&
                            (isRollout || job.producedTokens == 0);
  if ((!isProved && !isRepeatable) || job.reroutes >= mOptions.maxReroutes ||
      !mRetryBudget.tryTake()) {
    return false;
  }
  ++job.reroutes;
  job.excludedServers.insert(job.server);
  job.notBefore =
    now + (job.reroutes > 1 ? mRetryBudget.backoff(job.reroutes - 1, mRandom)
                            : Millis(0));
  job.hasRunBefore = job.hasRunBefore || !isProved;
  if (job.begun && !job.hasRunBefore) {
    mLedger.requeue(submission.attempt);
    job.begun = false;
  }
  resumeFromOffset(job);
  queueOf(work.target).requeueItem(itemFor(id, job));
  return true;
}

std::vector<JobId>
Scheduler::preemptions(TimePoint now)
{
  std::vector<JobId> result;
  for (const auto& [target, queue] : mQueueByTarget) {
    const auto* head =
      queue.size() == 0
        ? nullptr
        : queue.peek(now, [](const QueueItem& /*item*/) { return true; });
    if (head == nullptr) {
      continue;
    }
    const auto& headJob = mJobs.at(head->id);
    const WaitingWork waiting{ headJob.submission.work.type,
                               head->priority,
                               headJob.isLong,
                               headJob.queuedAt };
    std::vector<RunningWork> running;
    std::size_t preempting = 0;
    for (const auto& [id, job] : mJobs) {
      if (!job.running || job.submission.work.target != target) {
        continue;
      }
      if (job.preempting) {
        ++preempting;
        continue;
      }
      running.push_back(
        { id,
          job.submission.work.type,
          job.submission.row.priority,
          job.isLong && !job.cancelled,
          job.preemptions,
          job.startedAt,
          job.cost.tokens - static_cast<double>(job.producedTokens) });
    }
    const auto most = std::min(mOptions.maxPreempting, queue.size());
    while (preempting < most) {
      const auto* victim = mHooks.chooseVictim(waiting, running, now);
      if (victim == nullptr) {
        break;
      }
      const auto victimId = victim->id;
      mJobs.at(victimId).preempting = true;
      result.push_back(victimId);
      std::erase_if(running, [victimId](const RunningWork& work) {
        return work.id == victimId;
      });
      ++preempting;
    }
  }
  return result;
}

void
Scheduler::clearLostResumeVersions()
{
  for (auto& [id, job] : mJobs) {
    auto& work = job.submission.work;
    if (job.running || !job.isVersionFromResume ||
        isPlaceable(work.target, work)) {
      continue;
    }
    // No server has the version any more that generated the first part of the
    // answer. The rest is generated with another version, and the segments of
    // the sample name both.
    auto& queue = queueOf(work.target);
    queue.remove(id);
    work.version.reset();
    job.isVersionFromResume = false;
    queue.requeueItem(itemFor(id, job));
  }
}

void
Scheduler::endUnplaceableJobs(std::vector<JobEnd>& ended, TimePoint now)
{
  std::vector<JobId> unplaceable;
  for (auto& [id, job] : mJobs) {
    const auto& work = job.submission.work;
    if (!job.running && !isPlaceable(work.target, work)) {
      unplaceable.push_back(id);
    }
  }
  std::ranges::sort(unplaceable);
  for (const auto id : unplaceable) {
    const auto& job = mJobs.at(id);
    Outcome outcome;
    outcome.verdict = job.begun ? Verdict::Unknown : Verdict::NotRun;
    outcome.reason =
      job.submission.work.version ? "version_unavailable" : "no_server";
    queueOf(job.submission.work.target).remove(id);
    ended.push_back({ id, endJob(id, outcome, now) });
  }
}

Scheduler::TargetRates
Scheduler::measureRates(const std::string& target, TimePoint now) const
{
  TargetRates rates;
  double slots = 0;
  for (const auto index : mServers.serving(target)) {
    const auto& state = mServers.at(index);
    const auto& id = state.server.id;
    rates.streamRate =
      rates.streamRate > 0 ? rates.streamRate : mHealth.peerRate(id);
    if (state.isOpen(now)) {
      slots += static_cast<double>(state.server.slots) * mHealth.share(id);
    }
  }
  rates.totalRate = slots * rates.streamRate;
  return rates;
}

void
Scheduler::compareServers(TimePoint now)
{
  for (const auto& target : mServers.targets()) {
    std::vector<std::string> names;
    for (const auto index : mServers.serving(target)) {
      names.push_back(mServers.at(index).server.id);
    }
    mHooks.compareServers(mHealth, names, now);
    mRatesByTarget[target] = measureRates(target, now);
  }
}

std::vector<JobEnd>
Scheduler::advance(TimePoint now)
{
  std::vector<JobEnd> ended;
  for (auto& [target, queue] : mQueueByTarget) {
    for (const auto& item : queue.takeExpired(now)) {
      Outcome outcome;
      outcome.verdict =
        mJobs.at(item.id).begun ? Verdict::Unknown : Verdict::NotRun;
      outcome.reason = "deadline";
      ended.push_back({ item.id, endJob(item.id, outcome, now) });
    }
  }
  if (now - mComparedAt >= mOptions.compareInterval) {
    mComparedAt = now;
    mServers.advance(now);
    mLedger.expire(now);
    compareServers(now);
    clearLostResumeVersions();
    endUnplaceableJobs(ended, now);
  }
  return ended;
}

std::map<std::string, TargetLoad>
Scheduler::load(TimePoint now) const
{
  std::map<std::string, TargetLoad> loads;
  for (const auto& target : mServers.targets()) {
    loads[target] = loadOf(target, now);
  }
  return loads;
}

TargetLoad
Scheduler::loadOf(const std::string& target, TimePoint now) const
{
  TargetLoad load;
  for (const auto index : mServers.serving(target)) {
    const auto& state = mServers.at(index);
    if (state.isOpen(now)) {
      ++load.servers;
      load.slots += state.limit();
      load.running += state.running;
    }
  }
  const auto queue = mQueueByTarget.find(target);
  load.queuedTokens =
    queue == mQueueByTarget.end() ? 0 : queue->second.tokens();
  load.tokenRate = ratesOf(target).totalRate;
  return load;
}

} // namespace lentilrack::core
