#include "entry/sample_scorer.h"

#include "backends/error.h"
#include "net/random.h"

#include <algorithm>

namespace lentilrack::entry {

using net::Awaitable;

namespace {

/// Maximum time until another scorer is tried while all of them have used up
/// the request rates that they state.
constexpr core::Millis kMaxPermitDelay{ 100 };

} // namespace

SampleScorer::SampleScorer(net::asio::io_context& io,
                           net::HttpClient& http,
                           net::Metrics& metrics,
                           net::Logger log,
                           SampleScorerOptions options)
  : mIo(io)
  , mScorerClient(http, options.onRate)
  , mMetrics(metrics)
  , mLog(std::move(log))
  , mOptions(std::move(options))
{
}

void
SampleScorer::submit(ScoreJob job)
{
  mQueue.push_back(std::move(job));
  startCalls();
}

void
SampleScorer::startCalls()
{
  while (mRunningCalls < mOptions.maxConcurrentCalls) {
    auto jobs = takeBatch();
    if (jobs.empty()) {
      return;
    }
    ++mRunningCalls;
    net::spawn(mIo, scoreBatch(std::move(jobs)), shared_from_this());
  }
}

std::vector<ScoreJob>
SampleScorer::takeBatch()
{
  std::vector<ScoreJob> jobs;
  while (!mQueue.empty() && jobs.size() < mOptions.maxBatchSize) {
    // A job that a scorer has refused before is sent in a batch of its own.
    const bool isSentAlone = mQueue.front().failures > 0;
    if (isSentAlone && !jobs.empty()) {
      break;
    }
    auto job = std::move(mQueue.front());
    mQueue.pop_front();
    if (job.isWanted()) {
      jobs.push_back(std::move(job));
    }
    if (isSentAlone && !jobs.empty()) {
      break;
    }
  }
  return jobs;
}

std::optional<core::Endpoint>
SampleScorer::nextEndpoint()
{
  const auto endpoints = mOptions.endpoints();
  if (endpoints.empty()) {
    return std::nullopt;
  }
  return endpoints[mNextEndpoint++ % endpoints.size()];
}

Awaitable<core::Millis>
SampleScorer::permitDelay(core::Endpoint scorer)
{
  if (!mOptions.takePermit) {
    co_return core::Millis(0);
  }
  co_return co_await mOptions.takePermit(std::move(scorer));
}

Awaitable<void>
SampleScorer::scoreBatch(std::vector<ScoreJob> jobs)
{
  auto failures = jobs.front().failures;
  for (;;) {
    std::erase_if(jobs, [](const ScoreJob& job) { return !job.isWanted(); });
    if (jobs.empty()) {
      break;
    }
    std::error_code error = backends::BackendError::Unavailable;
    const auto endpoint = nextEndpoint();
    if (endpoint) {
      const auto delay = co_await permitDelay(*endpoint);
      if (delay > core::Millis(0)) {
        co_await net::sleepFor(std::min(delay, kMaxPermitDelay));
        continue;
      }
      std::vector<backends::ScoreItem> items;
      for (const auto& job : jobs) {
        items.push_back({ job.prompt, job.text });
      }
      const auto scores = co_await mScorerClient.score(
        *endpoint, std::move(items), mOptions.timeout);
      error = scores ? std::error_code() : scores.error();
      if (scores && scores.value().size() != jobs.size()) {
        error = backends::BackendError::BadResponse;
      }
      if (!error) {
        for (std::size_t i = 0; i < jobs.size(); ++i) {
          jobs[i].onScored(scores.value()[i]);
        }
        break;
      }
    }
    mMetrics.increment("score_failures_total");
    mLog.warning("Scoring failed, will be retried: {}.", error.message());
    const auto pause = mOptions.backoff(++failures, net::randomFraction());
    co_await net::sleepFor(pause);
    if (error != backends::BackendError::Unavailable) {
      requeue(std::move(jobs));
      break;
    }
  }
  --mRunningCalls;
  startCalls();
}

void
SampleScorer::requeue(std::vector<ScoreJob> jobs)
{
  for (auto& job : jobs) {
    ++job.failures;
    mQueue.push_back(std::move(job));
  }
}

} // namespace lentilrack::entry
