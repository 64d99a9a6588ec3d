#pragma once

#include "backends/scorer_client.h"
#include "core/step_policy.h"
#include "net/asio.h"
#include "net/log.h"
#include "net/metrics.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lentilrack::entry {

/// An answer that is to be scored.
struct ScoreJob
{
  std::string prompt;
  std::string text;
  /// True while the score is still needed. Called before each attempt to score
  /// the answer; if it returns false, the job is dropped.
  std::function<bool()> isWanted;
  std::function<void(double)> onScored;
  /// Number of batches with this job that a scorer refused or answered with a
  /// malformed response.
  std::int64_t failures = 0;
};

/// Settings of a SampleScorer.
struct SampleScorerOptions
{
  /// Returns the scorers that can be used; called before each attempt.
  std::function<std::vector<core::Endpoint>()> endpoints;
  /// Called before each call. Returns zero if the call may be sent now,
  /// otherwise the time after which to try again.
  std::function<net::Awaitable<core::Millis>(core::Endpoint)> takePermit;
  /// Called with the request rates that the scorers state.
  backends::RateHook onRate;
  std::function<core::Millis(std::int64_t failures, double random)> backoff =
    core::stepBackoff;
  /// Time limit of one call to a scorer.
  core::Millis timeout{ 10'000 };
  /// Maximum number of answers in one call to a scorer.
  std::size_t maxBatchSize = 32;
  /// Maximum number of concurrent calls.
  int maxConcurrentCalls = 4;
};

/// Scores answers in batches. A failed batch is retried with backoff until it
/// succeeds or none of its answers is wanted any more, so that an outage of the
/// scorers delays samples but loses none. When a scorer refuses a batch, each
/// of the jobs is sent again in its own batch, so that a single job that no
/// scorer accepts does not block the others.
class SampleScorer : public std::enable_shared_from_this<SampleScorer>
{
public:
  SampleScorer(net::asio::io_context& io,
               net::HttpClient& http,
               net::Metrics& metrics,
               net::Logger log,
               SampleScorerOptions options);

  /// Queues an answer for scoring.
  void submit(ScoreJob job);
  std::size_t queuedJobs() const { return mQueue.size(); }

private:
  void startCalls();
  std::vector<ScoreJob> takeBatch();
  net::Awaitable<void> scoreBatch(std::vector<ScoreJob> jobs);
  /// Returns the time until the scorer takes a call; zero if it does now.
  net::Awaitable<core::Millis> permitDelay(core::Endpoint scorer);
  void requeue(std::vector<ScoreJob> jobs);
  std::optional<core::Endpoint> nextEndpoint();

  net::asio::io_context& mIo;
  backends::ScorerClient mScorerClient;
  net::Metrics& mMetrics;
  net::Logger mLog;
  SampleScorerOptions mOptions;
  std::deque<ScoreJob> mQueue;
  int mRunningCalls = 0;
  std::size_t mNextEndpoint = 0;
};

} // namespace lentilrack::entry
