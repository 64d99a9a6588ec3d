#pragma once

#include "core/hedging/hedge_controller.h"

#include <pcg_random.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <vector>

namespace lentilrack::core {

/// What the servers and requests of a simulation are like.
struct HedgeScenario
{
  const char* name = "";
  int processes = 1;
  double requestsPerSecond = 40;
  /// Factor by which a server is slower than usual at a time after the start.
  std::function<double(int server, PreciseMillis time)> slowness;
  /// Share of requests that need ten times the usual work.
  double largeShare = 0;
};

struct HedgeResult
{
  PreciseMillis p50{ 0 };
  PreciseMillis p95{ 0 };
  PreciseMillis p99{ 0 };
  /// Work of second attempts, in percent of the work of the responses.
  double extraPercent = 0;
  int hedges = 0;
  int won = 0;
};

/// Simulates requests to 15 servers in 3 failure domains, each with 6 slots.
/// The decisions are those of the product: ServerRegistry chooses the server of
/// the first attempt and HedgeController decides on the second one.
class HedgeSimulation
{
public:
  /// `limit` is the limit on hedging; nothing selects the rule that applies
  /// without a limit (4 times the median, at least 60 ms).
  HedgeSimulation(HedgeScenario scenario, std::optional<double> limit);

  HedgeResult run();

private:
  static constexpr int kServers = 15;
  static constexpr int kDomains = 3;
  static constexpr int kSlots = 6;

  struct Attempt
  {
    ServerEntry server;
    TimePoint start{};
    std::optional<HedgeController::Hedge> hedge;
    bool isHedge = false;
  };
  struct Request
  {
    std::size_t process = 0;
    PreciseMillis work{ 0 };
    TimePoint start{};
    std::optional<HedgePlan> plan;
    std::vector<Attempt> attempts;
    bool isDone = false;
  };
  struct Event
  {
    TimePoint time;
    std::function<void()> action;
    bool operator>(const Event& other) const { return time > other.time; }
  };
  struct Process
  {
    ServerRegistry registry;
    HedgeController controller;
  };

  void schedule(TimePoint time, std::function<void()> action);
  void arrive();
  void startAttempt(const std::shared_ptr<Request>& request, Attempt attempt);
  void hedge(const std::shared_ptr<Request>& request);
  void finish(const std::shared_ptr<Request>& request, std::size_t winner);
  double uniform() { return std::uniform_real_distribution<>(0, 1)(mRandom); }

  HedgeScenario mScenario;
  std::optional<double> mLimit;
  std::vector<Process> mProcesses;
  pcg64 mRandom{ 20261206 };
  TimePoint mNow{ std::chrono::hours(1) };
  TimePoint mStart = mNow;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::vector<PreciseMillis> mTimes;
  PreciseMillis mWork{ 0 };
  PreciseMillis mExtra{ 0 };
  HedgeResult mResult;
};

} // namespace lentilrack::core
