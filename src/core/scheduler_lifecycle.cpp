#include "core/scheduler.h"

#include <algorithm>

// The end of runs, preemption and housekeeping of the scheduler.
namespace lentilrack::core {

namespace {

bool
provedNotRun(const Outcome& outcome)
{
  return outcome.verdict == Verdict::NotRun &&
         (outcome.reason == "connection_refused" ||
          outcome.reason == "refused" || outcome.reason == "stale_fencing");
}

bool
serverFailed(const Outcome& outcome)
{
  return outcome.reason == "connection_refused" ||
         outcome.reason == "interrupted" || outcome.reason == "bad_answer";
}

} // namespace

void
Scheduler::noteServer(const Job& job, const Outcome& outcome, TimePoint now)
{
  const auto& work = job.submission.work;
  const bool done = outcome.verdict == Verdict::Done;
  if (done && work.type == WorkType::Call) {
    mHealth.progress(job.server, 1, now);
  }
  mHealth.finished(job.server, now);
  mServers.finished(job.server, job.isLong, done);
  const bool silent = outcome.reason == "timeout" && job.produced == 0;
  if (done) {
    mHealth.succeeded(job.server);
    mRetryBudget.succeeded();
  } else if (serverFailed(outcome) || silent) {
    mHealth.failed(job.server, now);
    mPrefixes.removeServer(job.server);
  } else if (outcome.reason == "refused") {
    mServers.refused(job.server, now);
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
  noteServer(job, outcome, now);
  job.running = false;
  const bool call = submission.work.type == WorkType::Call;
  const double used =
    call ? job.cost.tokens : static_cast<double>(job.produced);
  queueOf(submission.work.target)
    .correctCharge({ submission.row.principal, submission.row.kind },
                   submission.row.priority,
                   submission.row.weight,
                   job.cost.tokens,
                   used);
  if (outcome.verdict == Verdict::Done) {
    const auto total = submission.work.offset + job.produced;
    mCosts.observe(submission.work, total);
    if (job.ranBefore) {
      // The engine knows only the last of several runs.
      outcome.totalTokens = call ? outcome.totalTokens : total;
      outcome.segments =
        job.versionsKnown ? job.segments : std::vector<Segment>{};
    }
    return end(id, std::move(outcome), now);
  }
  if (queueAgain(id, job, outcome, now)) {
    return std::nullopt;
  }
  if (outcome.verdict == Verdict::NotRun) {
    if (mLedger.state(submission.attempt.request) == AttemptState::Barred) {
      outcome.reason = "barred";
    } else if (job.cancelled) {
      outcome.reason = "cancelled";
    }
    if (job.ranBefore) {
      // Only the last run did not happen.
      outcome.verdict = Verdict::Unknown;
    }
  }
  return end(id, std::move(outcome), now);
}

void
Scheduler::resumeFromOffset(Job& job)
{
  auto& work = job.submission.work;
  work.offset += job.produced;
  if (!work.version && job.produced > 0 && !job.segments.empty()) {
    work.version = job.segments.back().version;
    job.versionFromResume = true;
  }
  job.cost.tokens =
    std::max(1.0, job.cost.tokens - static_cast<double>(job.produced));
  job.produced = 0;
}

bool
Scheduler::queueAgain(JobId id, Job& job, const Outcome& outcome, TimePoint now)
{
  const auto& submission = job.submission;
  const auto& work = submission.work;
  if (job.cancelled || now >= submission.deadline ||
      mLedger.state(submission.attempt.request) == AttemptState::Barred) {
    return false;
  }
  const bool rollout = work.type == WorkType::Rollout;
  if (job.preempting && rollout && outcome.reason == "cancelled") {
    job.preempting = false;
    ++job.preemptions;
    job.ranBefore = true;
    resumeFromOffset(job);
    queueOf(work.target).requeueItem(itemFor(id, job));
    return true;
  }
  job.preempting = false;
  const bool proved = provedNotRun(outcome);
  // Tokens that went out cannot be taken back, so other work than rollouts,
  // which resume, is not run again once it has answered in part.
  const bool repeatable = (work.idempotent || rollout) &&
                          serverFailed(outcome) &&
                          (rollout || job.produced == 0);
  if ((!proved && !repeatable) || job.reroutes >= mOptions.maxReroutes ||
      !mRetryBudget.tryTake()) {
    return false;
  }
  ++job.reroutes;
  job.excludedServers.insert(job.server);
  job.notBefore =
    now + (job.reroutes > 1 ? mRetryBudget.backoff(job.reroutes - 1, mRandom)
                            : Millis(0));
  job.ranBefore = job.ranBefore || !proved;
  if (job.begun && !job.ranBefore) {
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
  for (const auto& [target, queue] : mQueues) {
    const auto* head =
      queue.size() == 0
        ? nullptr
        : queue.peek(now, [](const QueueItem& /*item*/) { return true; });
    if (head == nullptr) {
      continue;
    }
    const auto& waitingJob = mJobs.at(head->id);
    const WaitingWork waiting{ waitingJob.submission.work.type,
                               head->priority,
                               waitingJob.isLong,
                               waitingJob.queuedAt };
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
          job.cost.tokens - static_cast<double>(job.produced) });
    }
    const auto most = std::min(mOptions.maxPreempting, queue.size());
    while (preempting < most) {
      const auto* victim = mHooks.chooseVictim(waiting, running, now);
      if (victim == nullptr) {
        break;
      }
      const auto chosen = victim->id;
      mJobs.at(chosen).preempting = true;
      result.push_back(chosen);
      std::erase_if(running, [chosen](const RunningWork& work) {
        return work.id == chosen;
      });
      ++preempting;
    }
  }
  return result;
}

void
Scheduler::liftVersions()
{
  for (auto& [id, job] : mJobs) {
    auto& work = job.submission.work;
    if (job.running || !job.versionFromResume || placeable(work.target, work)) {
      continue;
    }
    // No server has the version of the first part any more. The answer then
    // has segments of two versions, which the sample reports.
    auto& queue = queueOf(work.target);
    queue.remove(id);
    work.version.reset();
    job.versionFromResume = false;
    queue.requeueItem(itemFor(id, job));
  }
}

void
Scheduler::checkTargets(std::vector<JobEnd>& ended, TimePoint now)
{
  std::vector<JobId> stranded;
  for (auto& [id, job] : mJobs) {
    const auto& work = job.submission.work;
    if (!job.running && !placeable(work.target, work)) {
      stranded.push_back(id);
    }
  }
  std::ranges::sort(stranded);
  for (const auto id : stranded) {
    const auto& job = mJobs.at(id);
    Outcome outcome;
    outcome.verdict = job.begun ? Verdict::Unknown : Verdict::NotRun;
    outcome.reason =
      job.submission.work.version ? "version_unavailable" : "no_server";
    queueOf(job.submission.work.target).remove(id);
    ended.push_back({ id, end(id, outcome, now) });
  }
}

Scheduler::TargetRates
Scheduler::measure(const std::string& target, TimePoint now) const
{
  TargetRates rates;
  double slots = 0;
  for (const auto index : mServers.serving(target)) {
    const auto& state = mServers.at(index);
    const auto& id = state.server.id;
    rates.stream = rates.stream > 0 ? rates.stream : mHealth.peerRate(id);
    if (state.isOpen(now)) {
      slots += static_cast<double>(state.server.slots) * mHealth.share(id);
    }
  }
  rates.capacity = slots * rates.stream;
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
    mRates[target] = measure(target, now);
  }
}

std::vector<JobEnd>
Scheduler::advance(TimePoint now)
{
  std::vector<JobEnd> ended;
  for (auto& [target, queue] : mQueues) {
    for (const auto& item : queue.takeExpired(now)) {
      Outcome outcome;
      outcome.verdict =
        mJobs.at(item.id).begun ? Verdict::Unknown : Verdict::NotRun;
      outcome.reason = "deadline";
      ended.push_back({ item.id, end(item.id, outcome, now) });
    }
  }
  if (now - mComparedAt >= mOptions.compareInterval) {
    mComparedAt = now;
    mServers.advance(now);
    mLedger.expire(now);
    compareServers(now);
    liftVersions();
    checkTargets(ended, now);
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
  const auto queue = mQueues.find(target);
  load.queuedTokens = queue == mQueues.end() ? 0 : queue->second.tokens();
  load.tokenRate = ratesOf(target).capacity;
  return load;
}

} // namespace lentilrack::core
