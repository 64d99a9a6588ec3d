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

/// Work that reached the dispatcher.
struct Submission
{
  AttemptId attempt;
  Work work;
  Row row;
  TimePoint deadline;
};

/// Decision to run a job on a server now.
struct JobStart
{
  JobId job = 0;
  /// Counts the runs of the job, from 1. A job runs again only if the earlier
  /// run is proved not to have happened, or if the work may be resumed.
  int run = 1;
  std::string server;
  Endpoint endpoint;
  AttemptId attempt;
  /// With the offset and version of a resumed run.
  Work work;
  std::int64_t priority = 5;
  TimePoint deadline;
};

/// A job that ended without running.
struct JobEnd
{
  JobId job = 0;
  Outcome outcome;
};

struct JobBar
{
  AttemptState state = AttemptState::Barred;
  std::optional<Outcome> outcome;
  /// Jobs that left the queue because of the bar.
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
  /// Runs of one job after a proved refusal or an interruption.
  int maxReroutes = 3;
  /// Preempted runs of one target that have not ended yet.
  std::size_t maxPreempting = 4;
  /// Most jobs that wait or run.
  std::size_t maxJobs = 20'000;
  Millis compareInterval{ 200 };
};

/// Decides for one dispatcher what runs when and where. Does no I/O: the caller
/// starts what next() says and reports what happens.
class Scheduler
{
public:
  Scheduler(SchedulerOptions options, SchedulerHooks hooks, pcg32 random);

  /// The number of the queued job, or the outcome to answer with.
  std::variant<JobId, Outcome> submit(Submission submission, TimePoint now);

  /// The next job to start; nothing if no job can start now.
  std::optional<JobStart> next(TimePoint now);

  /// Called right before the first byte of a run. False if it must not start:
  /// past its deadline, barred or cancelled.
  bool begin(JobId job, TimePoint now);

  void progress(JobId job, const Chunk& chunk, TimePoint now);

  /// The run ended. Returns the outcome to answer with, or nothing if the job
  /// was queued again.
  std::optional<Outcome> finished(JobId job, Outcome outcome, TimePoint now);

  /// The outcome if the job was queued. A running job is marked, so that it is
  /// not queued again; the caller cancels its run.
  std::optional<Outcome> cancel(JobId job, TimePoint now);

  /// Nothing if no claim can be made.
  std::optional<JobBar> bar(const std::string& request, TimePoint now);

  /// Jobs whose runs the caller should cancel to make room. Their runs then
  /// end with finished(), which queues them again.
  std::vector<JobId> preemptions(TimePoint now);

  /// Housekeeping, some times a second. Returns the jobs that can no longer
  /// meet their deadline or that no server can run any more.
  std::vector<JobEnd> advance(TimePoint now);

  ServerSet& servers() { return mServers; }
  const ServerSet& servers() const { return mServers; }
  ServerHealth& health() { return mHealth; }
  const ServerHealth& health() const { return mHealth; }
  PrefixIndex& prefixes() { return mPrefixes; }
  Admission& admission() { return mAdmission; }
  AttemptLedger& ledger() { return mLedger; }
  const CostEstimator& costs() const { return mCosts; }

  /// Load of each target, for the heartbeats.
  std::map<std::string, TargetLoad> load(TimePoint now) const;
  TargetLoad loadOf(const std::string& target, TimePoint now) const;
  std::size_t queued() const;
  std::size_t running() const { return mJobs.size() - queued(); }
  /// One line for each job, for the log and the state dump.
  std::vector<std::string> describeJobs() const;

  /// Time until new work would start, by estimate.
  Millis estimatedWait(const Submission& submission,
                       const CostEstimate& cost,
                       TimePoint now) const;

private:
  struct Job
  {
    Submission submission;
    CostEstimate cost;
    bool isLong = false;
    bool running = false;
    bool begun = false;
    bool cancelled = false;
    bool preempting = false;
    /// An earlier run reached a server and was preempted or interrupted.
    bool hasRunBefore = false;
    int runs = 0;
    int preemptions = 0;
    int reroutes = 0;
    TimePoint queuedAt;
    TimePoint startedAt;
    /// No run before this time, after a reroute.
    TimePoint notBefore;
    std::string server;
    std::set<std::string> excludedServers;
    /// Version that the resumed run must have; lifted if no server has it.
    bool isVersionFromResume = false;
    /// Tokens of the current run.
    std::int64_t producedTokens = 0;
    bool areVersionsKnown = true;
    std::vector<Segment> segments;
  };

  /// Rates of a target's servers, measured with each comparison.
  struct TargetRates
  {
    /// Tokens per second of one request.
    double streamRate = 0;
    /// Tokens per second of all open servers with all slots in use.
    double totalRate = 0;
  };

  bool isPlaceable(const std::string& target, const Work& work) const;
  TargetRates measureRates(const std::string& target, TimePoint now) const;
  TargetRates ratesOf(const std::string& target) const;
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
  bool tryRequeue(JobId id, Job& job, const Outcome& outcome, TimePoint now);
  void resumeFromOffset(Job& job);
  Outcome endJob(JobId id, Outcome outcome, TimePoint now);
  void clearLostResumeVersions();
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
  std::map<std::string, FairQueue> mQueues;
  std::unordered_map<JobId, Job> mJobs;
  JobId mLastJob = 0;
  /// Target at which the search for the next job begins, so that no target
  /// comes first for ever.
  std::string mLastTarget;
  TimePoint mComparedAt;
  std::map<std::string, TargetRates> mRates;
};

} // namespace lentilrack::core
