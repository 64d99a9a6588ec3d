#pragma once

#include "core/autoscaling/server_count_planner.h"
#include "core/autoscaling/server_order_queue.h"

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lentilrack::core {

/// Tokens that each trainer submits every four seconds, at a time.
using LoadShape = std::function<double(int trainer, int second)>;

/// A simulated service with trainers, servers and a provider, whose numbers a
/// ServerCountPlanner decides. Work is a fluid, shared by all servers, earliest
/// batch first. Advances in steps of 0.1 s.
class FleetSimulation
{
public:
  struct Options
  {
    AutoscalingSpec spec{
      .minServers = 1,
      .maxServers = 24,
      .bootTime = Millis(4'000),
      .reclaimablePriceFactor = 0.15,
      .pricePerSecond = { { "a", 1.0 }, { "b", 1.0 }, { "c", 1.0 } }
    };
    int initialPerDomain = 15;
    int trainers = 3;
    /// Useful tokens per second of a server.
    double tokensPerSecond = 50;
    /// Spread of the logarithm of the real tokens of a batch around the
    /// expected ones.
    double spread = 0.3;
    /// Ticks between the submissions of two trainers.
    int phaseTicks = 13;
    /// False if the numbers stay as at the start.
    bool isPlanned = true;
    ServerDemand::Limits demand{};
    unsigned seed = 1;
  };

  FleetSimulation(Options options, LoadShape shape);

  /// Runs until this time after the start.
  void runUntil(int second);
  /// Takes all reclaimable servers of a failure domain back.
  void reclaim(const std::string& domain) { mServing[domain].reclaimable = 0; }

  /// Mean value of the steps: 1 until the due time, then falling to 0.4 at 12
  /// s, and nothing after that.
  double payoff() const;
  /// Ordinary server-seconds with the same price.
  double serverSeconds() const { return mServerSeconds; }
  const CountsByDomain& serving() const { return mServing; }
  const CountsByDomain& planned() const { return mPlanned; }
  const std::vector<PoolOrder>& orders() const { return mOrders; }
  const ServerCountPlanner& planner() const { return mPlanner; }
  /// Returns how often the direction of a pool's orders has changed.
  int reversals() const;

  /// Pools for which the provider answers that it has no more servers.
  std::set<ServerPool> unavailable;
  /// Error of the wall clock of the planner.
  Millis clockError{ 0 };
  /// Whether the provider answers.
  bool isProviderReachable = true;
  /// Whether the list of servers can be read.
  bool isListKnown = true;
  /// Observed time per token. 8 slots yield 100 tokens a second, half of which
  /// are useful.
  double millisPerToken = 80;

private:
  struct Batch
  {
    RecentBatch recent;
    double remaining = 0;
    double dueValue = 0;
  };
  struct Booting
  {
    ServerPool pool;
    TimePoint readyAt;
  };

  void step();
  void submit();
  void work();
  void planNumbers();
  void sendOrders();
  void execute(const PoolOrder& order);
  void finish(Batch& batch);
  Millis unixNow() const
  {
    return std::chrono::duration_cast<Millis>(mNow.time_since_epoch());
  }

  Options mOptions;
  LoadShape mShape;
  std::mt19937 mRandom;
  TimePoint mStart = TimePoint() + std::chrono::hours(1);
  TimePoint mNow = mStart;
  int mTick = 0;
  ServerCountPlanner mPlanner;
  ServerOrderQueue mQueue{ ServerOrderQueue::Limits{} };
  CountsByDomain mServing;
  CountsByDomain mPlanned;
  std::vector<Booting> mBooting;
  std::vector<Batch> mBatches;
  std::vector<PoolOrder> mOrders;
  double mServerSeconds = 0;
  double mValue = 0;
  int mFinished = 0;
};

} // namespace lentilrack::core
