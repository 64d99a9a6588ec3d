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

/// An answer that waits for its score.
struct ScoreJob
{
  std::string prompt;
  std::string text;
  /// Asked before each attempt; false drops the job.
  std::function<bool()> isWanted;
  std::function<void(double)> onScored;
  std::int64_t failures = 0;
};

/// Where and how answers are scored.
struct SampleScorerOptions
{
  /// Scorers that may be used now; asked before each attempt.
  std::function<std::vector<core::Endpoint>()> endpoints;
  std::function<core::Millis(std::int64_t failures, double random)> backoff =
    core::stepBackoff;
  core::Millis timeout{ 10'000 };
  /// Answers in one call to a scorer.
  std::size_t maxBatchSize = 32;
  /// Calls at a time.
  int maxConcurrentCalls = 4;
};

/// Scores answers in batches. A failed batch is tried again with backoff until
/// it succeeds or nobody wants it, so that a scorer that is down delays samples
/// and loses none. The jobs of a batch that the scorer refused are sent one by
/// one, so that one of them cannot hold up the others.
class SampleScorer : public std::enable_shared_from_this<SampleScorer>
{
public:
  SampleScorer(net::asio::io_context& io,
               net::HttpClient& http,
               net::Metrics& metrics,
               net::Logger log,
               SampleScorerOptions options);

  void submit(ScoreJob job);
  std::size_t queuedJobs() const { return mQueue.size(); }

private:
  void startCalls();
  std::vector<ScoreJob> takeBatch();
  net::Awaitable<void> scoreBatch(std::vector<ScoreJob> jobs);
  void requeue(std::vector<ScoreJob> jobs);
  std::optional<core::Endpoint> nextEndpoint();

  net::asio::io_context& mIo;
  backends::ScorerClient mClient;
  net::Metrics& mMetrics;
  net::Logger mLog;
  SampleScorerOptions mOptions;
  std::deque<ScoreJob> mQueue;
  int mRunningCalls = 0;
  std::size_t mNextEndpoint = 0;
};

} // namespace lentilrack::entry
