#pragma once

#include "core/table.h"
#include "core/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lentilrack::core {

/// One piece of waiting work.
struct QueueItem
{
  std::uint64_t id = 0;
  /// (principal, kind): the flow whose share the work is charged to.
  RowKey flow;
  std::int64_t weight = 1;
  /// 0 (most urgent) to 9.
  std::int64_t priority = 5;
  /// Estimated tokens.
  double cost = 1;
  TimePoint queuedAt;
  /// Work that has not started by then cannot meet its deadline.
  TimePoint latestStart;
  /// Work of one lane has the same requirements, so that only the head of
  /// each lane needs to be tested for eligibility.
  std::string lane;
};

struct FairQueueOptions
{
  /// Waiting time after which work competes one class higher.
  Millis ageingStep{ 10'000 };
  /// Time constant of the observed service rate of a flow.
  Millis rateWindow{ 2000 };
};

/// Queue of one target. Classes of priority, with ageing; inside a class,
/// virtualStart-time fair queueing over flows by weight and estimated cost,
/// which is corrected once the real cost is known.
class FairQueue
{
public:
  using EligibilityTest = std::function<bool(const QueueItem&)>;

  explicit FairQueue(FairQueueOptions options = {});

  void push(QueueItem item);
  /// Puts work back that was popped but did not run to its end, at the head of
  /// its lane. The earlier charge is returned with correctCharge().
  void requeueItem(QueueItem item);
  /// The item, or nothing if it is not queued.
  std::optional<QueueItem> remove(std::uint64_t id);

  /// Takes the next item by class and fair share for which `eligible` holds.
  std::optional<QueueItem> pop(TimePoint now, const EligibilityTest& eligible);
  /// Takes the item that waits longest, whatever its class (baseline).
  std::optional<QueueItem> popOldest(const EligibilityTest& eligible);
  /// The item that pop() would extract.
  const QueueItem* peek(TimePoint now, const EligibilityTest& eligible) const;

  /// Corrects the charge of work that was popped earlier.
  void correctCharge(const RowKey& flow,
                     std::int64_t priority,
                     std::int64_t weight,
                     double estimated,
                     double actual);

  /// Takes the items whose latest virtualStart has passed.
  std::vector<QueueItem> takeExpired(TimePoint now);

  /// Tokens that would be servedTokens before new work of this flow: more
  /// urgent classes and, in its class, what the flow's share entails.
  double tokensAhead(const RowKey& flow,
                     std::int64_t priority,
                     std::int64_t weight) const;
  /// Time until new work of the flow would virtualStart at the rate at which
  /// the flow was servedTokens lately. Nothing if the flow was not backlogged
  /// long enough to tell.
  std::optional<Millis> observedWait(const RowKey& flow,
                                     std::int64_t priority,
                                     TimePoint now) const;

  std::size_t size() const { return mItems.size(); }
  double tokens() const { return mTokens; }
  const QueueItem* find(std::uint64_t id) const;

private:
  struct Flow
  {
    std::int64_t weight = 1;
    /// Virtual time at which the flow's next item starts.
    double virtualStart = 0;
    std::map<std::string, std::deque<std::uint64_t>> lanes;
    double tokens = 0;
    /// Served tokens, decayed with the rate window.
    double servedTokens = 0;
    TimePoint servedAt;
    /// Since when the flow has always had waiting work.
    std::optional<TimePoint> backloggedSince;
  };

  struct PriorityClass
  {
    double virtualTime = 0;
    std::map<RowKey, Flow> flows;
    double tokens = 0;
    std::size_t items = 0;
  };

  struct LaneHead
  {
    std::int64_t priority = 0;
    double virtualStart = 0;
    const QueueItem* item = nullptr;
  };

  std::vector<LaneHead> eligibleHeads(const EligibilityTest& eligible) const;
  std::int64_t effectivePriority(const std::vector<LaneHead>& heads,
                                 std::int64_t priority,
                                 TimePoint now) const;
  void insert(QueueItem item, bool isAtFront);
  QueueItem extract(std::uint64_t id);
  void charge(const QueueItem& item, TimePoint now);
  double decayFactor(const Flow& flow, TimePoint now) const;

  FairQueueOptions mOptions;
  std::map<std::int64_t, PriorityClass> mClasses;
  std::unordered_map<std::uint64_t, QueueItem> mItems;
  std::set<std::pair<TimePoint, std::uint64_t>> mByLatestStart;
  std::set<std::pair<TimePoint, std::uint64_t>> mByQueueTime;
  double mTokens = 0;
};

} // namespace lentilrack::core
