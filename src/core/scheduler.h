#pragma once

#include "core/admission.h"
#include "core/attempt_ledger.h"
#include "core/cost_estimator.h"
#include "core/member.h"
#include "core/retry_budget.h"
#include "core/scheduler_hooks.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace lentilrack::core {

using JobId = std::uint64_t;

/// Work submitted to the dispatcher.
struct Submission
{
  AttemptId attempt;
  Work work;
  /// Table row with the limits, priority and weight for the work.
  Row row;
  TimePoint deadline;
};

/// The decision to run a job on a server now.
struct JobStart
{
  JobId job = 0;
  /// Number of this run of the job, from 1. A job is run again only if the
  /// earlier run provably did not happen, or if the work is idempotent or can
  /// be resumed.
  int run = 1;
  std::string server;
  Endpoint endpoint;
  AttemptId attempt;
  /// The submitted work; for a resumed run, with the offset and version at
  /// which to resume.
  Work work;
  std::int64_t priority = 5;
  TimePoint deadline;
};

/// A job that the scheduler ended while it was queued.
struct JobEnd
{
  JobId job = 0;
  Outcome outcome;
};

/// The result of barring a request. A bar is the dispatcher's promise never to
/// start the request.
struct JobBar
{
  AttemptState state = AttemptState::Barred;
  std::optional<Outcome> outcome;
  /// Jobs that were removed from the queue because of the bar.
  std::vector<JobEnd> ended;
};

struct SchedulerOptions
{
  AttemptLedgerLimits ledger;
  AdmissionOptions admission;
  FairQueueOptions queue;
  ServerSetOptions servers;
  ServerHealthOptions health;
  CostEstimatorOptions cost;
  RetryBudgetOptions retry;
  /// Maximum number of additional runs of one job after a refusal or a server
  /// failure.
  int maxReroutes = 3;
  /// Maximum number of preempted runs of one target that have not ended yet.
  std::size_t maxPreempting = 4;
  /// Maximum number of jobs that are queued or running.
  std::size_t maxJobs = 20'000;
  /// How often servers are compared and other periodic work is done.
  Millis compareInterval{ 200 };
};

/// Decides which job a dispatcher runs when, and on which server. Does no I/O:
/// the caller starts the jobs that next() returns and reports their progress.
class Scheduler
{
public:
  /// `random` is used for server choices and retry backoffs.
  Scheduler(SchedulerOptions options, SchedulerHooks hooks, pcg32 random);

  /// Queues the work. Returns the job's number, or the outcome to answer with
  /// if the work is refused.
  std::variant<JobId, Outcome> submit(Submission submission, TimePoint now);

  /// Returns the next job to start, or nothing if no job can start now.
  std::optional<JobStart> next(TimePoint now);

  /// Marks a run as begun; called right before its first byte is sent. Returns
  /// false if the run must not begin because the job is past its deadline,
  /// barred or cancelled.
  bool begin(JobId job, TimePoint now);

  /// Records that a part of the running job's answer was received.
  void progress(JobId job, const Chunk& chunk, TimePoint now);

  /// Records the end of a run. Returns the outcome to answer with, or nothing
  /// if the job was queued again.
  std::optional<Outcome> finished(JobId job, Outcome outcome, TimePoint now);

  /// Cancels a job. Returns its outcome if it was queued. A running job is only
  /// marked, so that it is not queued again; the caller must cancel the run.
  std::optional<Outcome> cancel(JobId job, TimePoint now);

  /// Prevents every further run of a request. Returns nothing if the bar cannot
  /// be recorded because the ledger is full; the request may then still run.
  std::optional<JobBar> bar(const std::string& request, TimePoint now);

  /// Returns jobs whose runs the caller should cancel to make room for more
  /// urgent work. Each of these runs ends with finished(), which queues the job
  /// again.
  std::vector<JobId> preemptions(TimePoint now);

  /// Does periodic work; to be called several times a second. Returns the jobs
  /// that it ended because they can no longer meet their deadline or because no
  /// server can run them any more.
  std::vector<JobEnd> advance(TimePoint now);

  ServerSet& servers() { return mServers; }
  const ServerSet& servers() const { return mServers; }
  ServerHealth& health() { return mHealth; }
  const ServerHealth& health() const { return mHealth; }
  PrefixIndex& prefixes() { return mPrefixes; }
  Admission& admission() { return mAdmission; }
  AttemptLedger& ledger() { return mLedger; }
  const CostEstimator& costs() const { return mCosts; }

  /// Returns the workload of each target: its slots, and its running and queued
  /// work. It is reported in heartbeats.
  std::map<std::string, TargetLoad> load(TimePoint now) const;
  /// Returns the workload of one target.
  TargetLoad loadOf(const std::string& target, TimePoint now) const;
  /// Returns the number of queued jobs over all targets.
  std::size_t queued() const;
  std::size_t running() const { return mJobs.size() - queued(); }
  /// Returns one line per job, for the log and the state dump.
  std::vector<std::string> describeJobs() const;

  /// Estimates the time until newly submitted work would start.
  Millis estimatedWait(const Submission& submission,
                       const CostEstimate& cost,
                       TimePoint now) const;

private:
  struct Job
  {
    Submission submission;
    CostEstimate cost;
    bool isLong = false;
    /// Whether the job was started and its run has not ended. A job that is not
    /// running is queued.
    bool running = false;
    /// Whether the ledger counts the job as started, since begin() allowed a
    /// run that may have reached a server.
    bool begun = false;
    bool cancelled = false;
    /// Whether preemptions() has returned the job, and the run has not ended
    /// yet.
    bool preempting = false;
    /// Whether an earlier run may have reached a server before it was preempted
    /// or failed.
    bool hasRunBefore = false;
    /// Number of started runs.
    int runs = 0;
    int preemptions = 0;
    /// Number of times the job was queued again after a refusal or a server
    /// failure.
    int reroutes = 0;
    TimePoint queuedAt;
    TimePoint startedAt;
    /// Earliest start of the next run; set after a reroute.
    TimePoint notBefore;
    std::string server;
    /// Servers that refused or failed this job.
    std::set<std::string> excludedServers;
    /// Whether the version in `submission.work` was set to resume an earlier
    /// run, not by the submitter. Such a version is cleared if no server has it
    /// any more.
    bool isVersionFromResume = false;
    /// Tokens that the current run has produced.
    std::int64_t producedTokens = 0;
    bool areVersionsKnown = true;
    std::vector<Segment> segments;
  };

  /// Rates of a target's servers, updated with each comparison of servers.
  struct TargetRates
  {
    /// Tokens per second of one running request.
    double streamRate = 0;
    /// Tokens per second of all servers that may get new work, with all their
    /// slots in use.
    double totalRate = 0;
  };

  /// Whether any owned server that is not leaving could run the work, even if
  /// all its slots are in use now.
  bool isPlaceable(const std::string& target, const Work& work) const;
  TargetRates measureRates(const std::string& target, TimePoint now) const;
  TargetRates ratesOf(const std::string& target) const;
  /// Returns the estimated run time, or zero if it is not known.
  Millis runTime(const Submission& submission, const CostEstimate& cost) const;
  ChoiceRequest choiceRequestFor(const Job& job) const;
  ServerView serverView(TimePoint now) const;
  FairQueue& queueOf(const std::string& target);
  QueueItem itemFor(JobId id, const Job& job) const;
  std::optional<JobStart> nextForTarget(const std::string& target,
                                        FairQueue& queue,
                                        TimePoint now);
  JobStart start(JobId id, std::size_t serverIndex, TimePoint now);
  void recordServerOutcome(const Job& job,
                           const Outcome& outcome,
                           TimePoint now);
  /// Queues the job again if it may run again. Returns false if it may not.
  bool tryRequeue(JobId id, Job& job, const Outcome& outcome, TimePoint now);
  /// Moves the offset of the work behind the tokens produced so far, so that
  /// the next run resumes after them.
  void resumeFromOffset(Job& job);
  Outcome endJob(JobId id, Outcome outcome, TimePoint now);
  /// Clears the version that resumed jobs require if no server has it any more.
  void clearLostResumeVersions();
  /// Ends queued jobs that no server can run any more.
  void endUnplaceableJobs(std::vector<JobEnd>& ended, TimePoint now);
  void compareServers(TimePoint now);

  SchedulerOptions mOptions;
  SchedulerHooks mHooks;
  pcg32 mRandom;
  AttemptLedger mLedger;
  Admission mAdmission;
  CostEstimator mCosts;
  ServerSet mServers;
  ServerHealth mHealth;
  PrefixIndex mPrefixes;
  RetryBudget mRetryBudget;
  /// The queue of each model or service.
  std::map<std::string, FairQueue> mQueueByTarget;
  std::unordered_map<JobId, Job> mJobs;
  JobId mLastJob = 0;
  /// Target of the last started job. The next search for a job begins with the
  /// target after it, so that all targets get their turn.
  std::string mLastTarget;
  /// When the servers were last compared.
  TimePoint mComparedAt;
  std::map<std::string, TargetRates> mRatesByTarget;
};

} // namespace lentilrack::core
