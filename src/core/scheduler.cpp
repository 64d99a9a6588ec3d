#include "core/scheduler.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace lentilrack::core {

namespace {

Outcome
notRun(std::string reason, Millis retryAfter = Millis(0))
{
  Outcome outcome;
  outcome.verdict = Verdict::NotRun;
  outcome.reason = std::move(reason);
  outcome.retryAfter = retryAfter;
  return outcome;
}

Millis
toMillis(double seconds)
{
  return Millis(
    static_cast<std::int64_t>(std::ceil(std::clamp(seconds, 0.0, 1e6) * 1000)));
}

} // namespace

Scheduler::Scheduler(SchedulerOptions options,
                     SchedulerHooks hooks,
                     pcg32 random)
  : mOptions(options)
  , mHooks(std::move(hooks))
  , mRandom(random)
  , mLedger(options.ledger)
  , mAdmission(options.admission)
  , mCosts(options.cost)
  , mServers(options.servers)
  , mHealth(options.health)
  , mRetryBudget(options.retry)
{
}

FairQueue&
Scheduler::queueOf(const std::string& target)
{
  return mQueueByTarget.try_emplace(target, mOptions.queue).first->second;
}

ServerView
Scheduler::serverView(TimePoint now) const
{
  return { mServers, mHealth, mPrefixes, mHooks.maxLongSlots, now };
}

ChoiceRequest
Scheduler::choiceRequestFor(const Job& job) const
{
  const auto& work = job.submission.work;
  return { work.target,  job.cost.tokens, work.prompt.size(), work.prefix,
           work.version, job.isLong,      job.excludedServers };
}

bool
Scheduler::isPlaceable(const std::string& target, const Work& work) const
{
  return std::ranges::any_of(mServers.serving(target), [&](std::size_t index) {
    const auto& state = mServers.at(index);
    if (!state.owned || state.server.leaving || state.reportedLeaving) {
      return false;
    }
    const auto version = state.versions.find(target);
    return !work.version || (version != state.versions.end() &&
                             version->second == *work.version);
  });
}

Scheduler::TargetRates
Scheduler::ratesOf(const std::string& target) const
{
  const auto found = mRatesByTarget.find(target);
  return found == mRatesByTarget.end() ? TargetRates{} : found->second;
}

Millis
Scheduler::runTime(const Submission& submission, const CostEstimate& cost) const
{
  const double rate = ratesOf(submission.work.target).streamRate;
  return cost.isLearned && rate > 0 ? toMillis(cost.tokens / rate) : Millis(0);
}

Millis
Scheduler::estimatedWait(const Submission& submission,
                         const CostEstimate& cost,
                         TimePoint now) const
{
  const auto& target = submission.work.target;
  const auto found = mQueueByTarget.find(target);
  if (found == mQueueByTarget.end() || found->second.size() == 0) {
    return Millis(0);
  }
  const auto& queue = found->second;
  const auto& row = submission.row;
  const RowKey flow{ row.principal, row.kind };
  const double rate = ratesOf(target).totalRate;
  double seconds = 0;
  if (rate > 0) {
    // While work is queued, all slots are busy. The next slot becomes free, on
    // average, after the time that all slots together take to generate the
    // tokens of one typical job.
    const double typical = mCosts.typicalTokens(target);
    seconds = (queue.tokensAhead(flow, row.priority, row.weight) +
               (typical > 0 ? typical : cost.tokens)) /
              rate;
  }
  const auto observed = queue.observedWait(flow, row.priority, now);
  return std::max(toMillis(seconds), observed.value_or(Millis(0)));
}

std::variant<JobId, Outcome>
Scheduler::submit(Submission submission, TimePoint now)
{
  const auto attempt = submission.attempt;
  const auto& work = submission.work;
  const auto& target = work.target;
  // The ledger is asked first: while the first attempt of a request is running,
  // a second one must not be refused as "not run" because of overload.
  if (auto refusal = mLedger.submit(attempt, work.idempotent, now)) {
    return *refusal;
  }
  const auto refuse = [&](Outcome outcome) {
    mLedger.withdraw(attempt, outcome, now);
    return outcome;
  };
  const auto remaining =
    std::chrono::duration_cast<Millis>(submission.deadline - now);
  if (remaining <= Millis(0)) {
    return refuse(notRun("deadline"));
  }
  if (!isPlaceable(target, work)) {
    return refuse(
      notRun(work.version ? "version_unavailable" : "no_server", Millis(1000)));
  }
  if (mJobs.size() >= mOptions.maxJobs) {
    return refuse(notRun("overload", Millis(1000)));
  }
  const auto queue = mQueueByTarget.find(target);
  const auto queued = queue == mQueueByTarget.end() ? 0 : queue->second.size();
  const auto rateWait = mServers.rateWait(target, queued + 1, now);
  if (rateWait >= remaining) {
    return refuse(notRun("request_rate", rateWait));
  }
  const auto cost = mCosts.estimate(work);
  const auto wait = mHooks.admissionWait(estimatedWait(submission, cost, now));
  const auto run = runTime(submission, cost);
  // If the work can start at once, the estimated run time does not count: only
  // the server can tell whether the remaining time is enough.
  const AdmissionRequest request{
    submission.row, remaining, wait, wait > Millis(0) ? run : Millis(0)
  };
  if (const auto refusal = mAdmission.admit(request, now)) {
    return refuse(notRun(refusal->reason, refusal->retryAfter));
  }
  Job job;
  job.cost = cost;
  job.isLong = mHooks.isLong(cost.tokens, mCosts.typicalTokens(target));
  job.queuedAt = now;
  job.submission = std::move(submission);
  const auto id = ++mLastJob;
  const auto item = itemFor(id, job);
  queueOf(job.submission.work.target).push(item);
  mJobs.emplace(id, std::move(job));
  return id;
}

QueueItem
Scheduler::itemFor(JobId id, const Job& job) const
{
  const auto& submission = job.submission;
  const auto& row = submission.row;
  QueueItem item;
  item.id = id;
  item.flow = { row.principal, row.kind };
  item.weight = row.weight;
  item.priority = row.priority;
  item.cost = job.cost.tokens;
  item.queuedAt = job.queuedAt;
  // The estimated run time is inexact. Idempotent work may start late, since a
  // failed attempt does no harm. Other work ends as Unknown if the deadline
  // cuts it off, so it must start early enough to have time to spare.
  const int tenths = submission.work.idempotent ? 8 : 13;
  item.latestStart =
    submission.deadline - runTime(submission, job.cost) * tenths / 10;
  item.lane = job.isLong ? "long" : "short";
  if (submission.work.version) {
    item.lane += fmt::format("/v{}", *submission.work.version);
  }
  if (job.reroutes > 0) {
    // A rerouted job gets a lane of its own, because its earliest start and its
    // excluded servers differ from those of other jobs.
    item.lane += fmt::format("/job{}", id);
  }
  return item;
}

std::optional<JobStart>
Scheduler::next(TimePoint now)
{
  if (mQueueByTarget.empty()) {
    return std::nullopt;
  }
  auto position = mQueueByTarget.upper_bound(mLastTarget);
  for (std::size_t i = 0; i < mQueueByTarget.size(); ++i) {
    if (position == mQueueByTarget.end()) {
      position = mQueueByTarget.begin();
    }
    if (position->second.size() > 0) {
      if (auto found = nextForTarget(position->first, position->second, now)) {
        mLastTarget = position->first;
        return found;
      }
    }
    ++position;
  }
  return std::nullopt;
}

std::optional<JobStart>
Scheduler::nextForTarget(const std::string& target,
                         FairQueue& queue,
                         TimePoint now)
{
  const auto choiceView = serverView(now);
  const auto hasFreeServer =
    std::ranges::any_of(mServers.serving(target), [&](std::size_t index) {
      return mServers.slots(index).hasFreeSlot(now);
    });
  if (!hasFreeServer) {
    return std::nullopt;
  }
  std::map<std::string, bool> laneEligibility;
  const FairQueue::EligibilityTest eligible = [&](const QueueItem& item) {
    const auto& job = mJobs.at(item.id);
    if (job.notBefore > now) {
      return false;
    }
    const auto cached = laneEligibility.find(item.lane);
    if (cached != laneEligibility.end()) {
      return cached->second;
    }
    const bool canStart = canPlaceAnywhere(choiceRequestFor(job), choiceView);
    laneEligibility[item.lane] = canStart;
    return canStart;
  };
  auto item = mHooks.takeNext(queue, now, eligible);
  if (!item) {
    return std::nullopt;
  }
  const auto index = mHooks.chooseServer(
    choiceRequestFor(mJobs.at(item->id)), choiceView, mRandom);
  if (!index) {
    queue.correctCharge(
      item->flow, item->priority, item->weight, item->cost, 0);
    queue.requeueItem(std::move(*item));
    return std::nullopt;
  }
  return start(item->id, *index, now);
}

JobStart
Scheduler::start(JobId id, std::size_t serverIndex, TimePoint now)
{
  auto& job = mJobs.at(id);
  const auto server = mServers.at(serverIndex).server;
  job.running = true;
  job.startedAt = now;
  job.producedTokens = 0;
  job.server = server.id;
  ++job.runs;
  mServers.started(server.id, job.isLong, now);
  mHealth.started(server.id, now);
  mPrefixes.recordAssignment(server.id, job.submission.work.prefix);
  return { id,
           job.runs,
           server.id,
           server.endpoint,
           job.submission.attempt,
           job.submission.work,
           job.submission.row.priority,
           job.submission.deadline };
}

bool
Scheduler::begin(JobId job, TimePoint now)
{
  const auto found = mJobs.find(job);
  if (found == mJobs.end() || found->second.cancelled ||
      now >= found->second.submission.deadline) {
    return false;
  }
  // The ledger refuses to start an attempt twice. A job that has begun before
  // is already started there, so it is not started again.
  if (!found->second.begun &&
      !mLedger.start(found->second.submission.attempt)) {
    return false;
  }
  found->second.begun = true;
  return true;
}

void
Scheduler::progress(JobId job, const Chunk& chunk, TimePoint now)
{
  const auto found = mJobs.find(job);
  if (found == mJobs.end()) {
    return;
  }
  auto& state = found->second;
  const auto from = state.submission.work.offset + state.producedTokens;
  state.producedTokens += chunk.tokens;
  if (chunk.tokens > 0 && !chunk.version) {
    state.areVersionsKnown = false;
  } else if (chunk.tokens > 0) {
    auto& segments = state.segments;
    if (!segments.empty() && segments.back().version == *chunk.version &&
        segments.back().to == from) {
      segments.back().to += chunk.tokens;
    } else {
      segments.push_back({ *chunk.version, from, from + chunk.tokens });
    }
  }
  mHealth.progress(state.server, static_cast<double>(chunk.tokens), now);
  const auto typical = mCosts.typicalTokens(state.submission.work.target);
  if (!state.isLong &&
      mHooks.isLong(static_cast<double>(state.producedTokens), typical)) {
    // The job was estimated to be short but has turned out to be long, so it
    // counts as long work of its server from now on.
    state.isLong = true;
    mServers.markRunLong(state.server);
  }
}

std::optional<Outcome>
Scheduler::cancel(JobId job, TimePoint now)
{
  const auto found = mJobs.find(job);
  if (found == mJobs.end()) {
    return std::nullopt;
  }
  if (found->second.running) {
    found->second.cancelled = true;
    return std::nullopt;
  }
  queueOf(found->second.submission.work.target).remove(job);
  auto outcome = notRun("cancelled");
  if (found->second.begun) {
    outcome.verdict = Verdict::Unknown;
  }
  return endJob(job, outcome, now);
}

std::optional<JobBar>
Scheduler::bar(const std::string& request, TimePoint now)
{
  const auto result = mLedger.bar(request, now);
  if (!result) {
    return std::nullopt;
  }
  JobBar answer{ result->state, result->outcome, {} };
  std::vector<JobId> queuedJobs;
  for (const auto& [id, job] : mJobs) {
    if (!job.running && !job.begun &&
        std::ranges::find(result->removed, job.submission.attempt) !=
          result->removed.end()) {
      queuedJobs.push_back(id);
    }
  }
  for (const auto id : queuedJobs) {
    queueOf(mJobs.at(id).submission.work.target).remove(id);
    answer.ended.push_back({ id, endJob(id, notRun("barred"), now) });
  }
  return answer;
}

Outcome
Scheduler::endJob(JobId id, Outcome outcome, TimePoint now)
{
  const auto found = mJobs.find(id);
  const auto& submission = found->second.submission;
  mAdmission.finished({ submission.row.principal, submission.row.kind });
  mLedger.finish(submission.attempt, outcome, now);
  mJobs.erase(found);
  return outcome;
}

std::size_t
Scheduler::queued() const
{
  std::size_t count = 0;
  for (const auto& [target, queue] : mQueueByTarget) {
    count += queue.size();
  }
  return count;
}

std::vector<std::string>
Scheduler::describeJobs() const
{
  std::vector<std::string> lines;
  for (const auto& [id, job] : mJobs) {
    const auto& work = job.submission.work;
    lines.push_back(
      fmt::format("job {}: {} of {} for {}, {}",
                  id,
                  work.kind,
                  work.principal,
                  work.target,
                  job.running ? "running on " + job.server : "queued"));
  }
  std::ranges::sort(lines);
  return lines;
}

} // namespace lentilrack::core
