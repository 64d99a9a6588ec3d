#pragma once

#include "core/rollout_batch.h"
#include "core/server_registry.h"

#include <pcg_random.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lentilrack::core {

/// Simulates the items of batches on backend servers, to compare scheduling
/// decisions. An item takes the time of its events at the pace of its server,
/// and a server reads a prompt that it does not hold first.
class StepSimulation
{
public:
  struct Setup
  {
    int servers = 15;
    int slots = 6;
    int groups = 25;
    int itemsOfGroup = 8;
    double desiredShare = 0.9;
    double promptMillis = 0;
    /// Relative times per event, given to the servers in turn.
    std::vector<double> paces = { 1.0 };
    std::uint64_t seed = 1;
  };
  struct Batch
  {
    std::shared_ptr<BatchSpec> spec;
    std::unique_ptr<BatchProgress> progress;
    /// Number of events of each item.
    std::vector<int> events;
    TimePoint submittedAt{};
    int completeGroups = 0;
    /// Time until the desired number of groups was complete.
    std::optional<Millis> duration;
  };
  struct Start
  {
    std::size_t item = 0;
    std::string server;
  };
  /// Chooses the next start for a batch, or nothing if it has to wait.
  using Policy = std::function<std::optional<Start>(Batch&, TimePoint)>;

  explicit StepSimulation(Setup setup);
  /// Submits `count` batches at this interval and runs each until it has the
  /// desired number of complete groups.
  void run(int count, Millis interval, const Policy& policy);

  std::vector<Batch>& batches() { return mBatches; }
  ServerRegistry& registry() { return mRegistry; }
  double random() { return std::uniform_real_distribution<double>()(mRandom); }
  double meanDuration() const;
  /// Returns the part of the events that belongs to groups that were incomplete
  /// when their batch ended.
  double discardedShare() const { return mDiscarded / mProduced; }
  /// Returns how many prompts were read besides the first time.
  int repeatedPrompts() const { return mPromptsRead - mPrompts; }
  /// Returns the ratio of the work of the busiest server to the mean, in
  /// seconds.
  double busiestToMean() const;

private:
  struct Run
  {
    Batch* batch = nullptr;
    std::size_t item = 0;
    std::string server;
    double millisPerEvent = 0;
    TimePoint startedAt{};
    TimePoint endsAt{};
  };
  void addBatch(TimePoint now);
  void start(Batch& batch, const Start& start, TimePoint now);
  void endBatch(Batch& batch, TimePoint now);
  void finish(const Run& run, TimePoint now);
  double eventsUntil(const Run& run, TimePoint now) const;

  Setup mSetup;
  /// For the contents of the batches, which do not depend on the policy.
  pcg64 mBatchRandom;
  pcg64 mRandom;
  ServerRegistry mRegistry;
  std::map<std::string, ServerEntry> mServers;
  std::map<std::string, double> mPaces;
  std::vector<Batch> mBatches;
  std::vector<Run> mRuns;
  std::set<std::pair<std::string, std::string>> mPromptsHeld;
  std::map<std::string, double> mWork;
  double mProduced = 0;
  double mDiscarded = 0;
  int mPromptsRead = 0;
  int mPrompts = 0;
};

} // namespace lentilrack::core
