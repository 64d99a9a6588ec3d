#pragma once

#include "core/scheduler.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace lentilrack::core {

/// Requests of one principal that arrive at random, with exponentially
/// distributed intervals.
struct SimulatedLoad
{
  std::string principal;
  WorkType type = WorkType::Order;
  double perSecond = 10;
  std::int64_t tokens = 100;
  std::int64_t priority = 5;
  std::int64_t weight = 1;
  Millis deadline{ 30'000 };
};

struct SimulatedResult
{
  std::int64_t offered = 0;
  std::int64_t refused = 0;
  std::int64_t done = 0;
  /// Number of requests that were admitted but not completed in time.
  std::int64_t late = 0;
  double doneTokens = 0;
  std::vector<double> seconds;

  double quantile(double q)
  {
    if (seconds.empty()) {
      return 0;
    }
    std::ranges::sort(seconds);
    const auto last = static_cast<double>(seconds.size() - 1);
    return seconds[static_cast<std::size_t>(q * last)];
  }
};

/// Simulates engines in virtual time, in steps of 10 ms. Every busy slot
/// generates tokens at the rate of its engine.
class Simulation
{
public:
  Simulation(int engines, std::int64_t slots, double rate, SchedulerHooks hooks)
    : mScheduler({}, std::move(hooks), pcg32(42))
    , mRates(static_cast<std::size_t>(engines), rate)
    , mNormalRate(rate)
  {
    std::vector<BackendServer> list;
    for (int i = 0; i < engines; ++i) {
      BackendServer server;
      server.id = std::to_string(i);
      server.models = { "m" };
      server.slots = slots;
      list.push_back(server);
    }
    mScheduler.servers().update(
      list, [](const auto&) { return true; }, mNow);
  }

  void add(SimulatedLoad load) { mLoads.push_back({ std::move(load), mNow }); }

  /// Multiplies the rate of the first `count` engines by `factor` during the
  /// first half of each period.
  void slowDown(std::size_t count, double factor, Millis period)
  {
    mSlowCount = count;
    mSlowFactor = factor;
    mSlowPeriod = period;
  }

  /// Runs the simulation and returns the results by principal, without those
  /// of the warm-up time.
  std::map<std::string, SimulatedResult> run(Millis warmup, Millis time)
  {
    const auto measured = mNow + warmup;
    const auto end = measured + time;
    while (mNow < end) {
      mIsMeasuring = mNow >= measured;
      step();
    }
    return mResults;
  }

private:
  struct Stream
  {
    SimulatedLoad load;
    TimePoint next;
  };

  struct SimulatedJob
  {
    std::size_t engine = 0;
    std::string principal;
    double remainingTokens = 0;
    double partialTokens = 0;
    TimePoint submitted;
    TimePoint deadline;
  };

  static constexpr Millis kStep{ 10 };

  void step()
  {
    mNow += kStep;
    setRates();
    for (auto& stream : mLoads) {
      while (stream.next <= mNow) {
        submit(stream.load);
        std::exponential_distribution<double> gap(stream.load.perSecond);
        stream.next += std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(gap(mRandom)));
      }
    }
    work();
    for (const auto& ended : mScheduler.advance(mNow)) {
      end(ended.job, ended.outcome);
    }
    startAll();
    for (const auto job : mScheduler.preemptions(mNow)) {
      stop(job, "cancelled");
    }
    startAll();
  }

  void setRates()
  {
    if (mSlowPeriod == Millis(0)) {
      return;
    }
    const auto phase = (mNow - TimePoint()) % mSlowPeriod;
    for (std::size_t i = 0; i < mSlowCount; ++i) {
      mRates[i] = mNormalRate * (phase < mSlowPeriod / 2 ? mSlowFactor : 1);
    }
  }

  void submit(const SimulatedLoad& load)
  {
    Submission submission;
    submission.attempt = { std::to_string(++mLastRequest), 1 };
    submission.work.type = load.type;
    submission.work.principal = load.principal;
    submission.work.kind = "k";
    submission.work.target = "m";
    submission.work.maxTokens = load.tokens;
    submission.work.idempotent = load.type == WorkType::Rollout;
    submission.row.principal = load.principal;
    submission.row.kind = "k";
    submission.row.priority = load.priority;
    submission.row.weight = load.weight;
    submission.deadline = mNow + load.deadline;
    auto& result = mResults[load.principal];
    result.offered += mIsMeasuring ? 1 : 0;
    const auto answer = mScheduler.submit(std::move(submission), mNow);
    if (std::holds_alternative<Outcome>(answer)) {
      result.refused += mIsMeasuring ? 1 : 0;
      return;
    }
    const auto id = std::get<JobId>(answer);
    mJobs[id] = { 0, load.principal, static_cast<double>(load.tokens),
                  0, mNow,           mNow + load.deadline };
  }

  void startAll()
  {
    while (const auto start = mScheduler.next(mNow)) {
      auto& job = mJobs.at(start->job);
      job.engine = std::stoul(start->server);
      job.partialTokens = 0;
      mScheduler.begin(start->job, mNow);
      mRunning.push_back(start->job);
    }
  }

  void work()
  {
    const double seconds = std::chrono::duration<double>(kStep).count();
    const auto running = mRunning;
    for (const auto id : running) {
      auto& job = mJobs.at(id);
      job.partialTokens += mRates[job.engine] * seconds;
      const auto whole = static_cast<std::int64_t>(
        std::min(std::floor(job.partialTokens), job.remainingTokens));
      if (whole > 0) {
        job.partialTokens -= static_cast<double>(whole);
        job.remainingTokens -= static_cast<double>(whole);
        mScheduler.progress(id, { "", whole, 1 }, mNow);
      }
      if (job.remainingTokens <= 0) {
        stop(id, "");
      } else if (mNow >= job.deadline) {
        stop(id, "timeout");
      }
    }
  }

  void stop(JobId id, const std::string& reason)
  {
    std::erase(mRunning, id);
    Outcome outcome;
    outcome.verdict = reason.empty() ? Verdict::Done : Verdict::Unknown;
    outcome.reason = reason;
    if (const auto result = mScheduler.finished(id, outcome, mNow)) {
      end(id, *result);
    }
  }

  void end(JobId id, const Outcome& outcome)
  {
    const auto found = mJobs.find(id);
    auto& result = mResults[found->second.principal];
    if (mIsMeasuring) {
      const bool done = outcome.verdict == Verdict::Done;
      (done ? result.done : result.late) += 1;
      if (done) {
        result.seconds.push_back(
          std::chrono::duration<double>(mNow - found->second.submitted)
            .count());
      }
    }
    if (mIsMeasuring && outcome.verdict == Verdict::Done) {
      result.doneTokens += tokensOf(found->second);
    }
    mJobs.erase(found);
  }

  double tokensOf(const SimulatedJob& job) const
  {
    for (const auto& stream : mLoads) {
      if (stream.load.principal == job.principal) {
        return static_cast<double>(stream.load.tokens);
      }
    }
    return 0;
  }

  Scheduler mScheduler;
  std::vector<double> mRates;
  double mNormalRate;
  std::vector<Stream> mLoads;
  std::map<JobId, SimulatedJob> mJobs;
  std::vector<JobId> mRunning;
  std::map<std::string, SimulatedResult> mResults;
  std::uint64_t mLastRequest = 0;
  TimePoint mNow{ Millis(1'000'000) };
  bool mIsMeasuring = false;
  std::size_t mSlowCount = 0;
  double mSlowFactor = 1;
  Millis mSlowPeriod{ 0 };
  std::mt19937_64 mRandom{ 42 };
};

} // namespace lentilrack::core
