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

/// An item of queued work.
struct QueueItem
{
  std::uint64_t id = 0;
  /// The flow, (principal, kind), whose share is charged for the work.
  RowKey flow;
  std::int64_t weight = 1;
  /// Priority class, from 0 (most urgent) to 9.
  std::int64_t priority = 5;
  /// Estimated cost in tokens.
  double cost = 1;
  TimePoint queuedAt;
  /// Work that has not started by this time cannot meet its deadline.
  TimePoint latestStart;
  /// Name of the item's lane within its flow. All items of a lane have the same
  /// requirements, so only the first one needs to be tested for eligibility.
  std::string lane;
};

struct FairQueueOptions
{
  /// Waiting time that raises the effective priority by one class.
  Millis ageingStep{ 10'000 };
  /// Time constant of the decaying average of a flow's service rate.
  Millis rateTimeConstant{ 2000 };
};

/// The queue of one target. Priority classes are served in order, with ageing.
/// Within a class, start-time fair queueing shares the service between flows by
/// weight and estimated cost; the charge is corrected once the actual cost is
/// known.
class FairQueue
{
public:
  using EligibilityTest = std::function<bool(const QueueItem&)>;

  explicit FairQueue(FairQueueOptions options = {});

  /// Adds new work at the end of its lane.
  void push(QueueItem item);
  /// Puts popped work that did not run to completion back at the head of its
  /// lane. Does not refund the charge; see correctCharge().
  void requeueItem(QueueItem item);
  /// Removes and returns an item, or returns nothing if it is not queued.
  std::optional<QueueItem> remove(std::uint64_t id);

  /// Removes and returns the next eligible item by class and fair share, and
  /// charges its flow.
  std::optional<QueueItem> pop(TimePoint now, const EligibilityTest& eligible);
  /// Removes and returns the eligible item that has waited longest, regardless
  /// of its class. Used by the baseline policy.
  std::optional<QueueItem> popOldest(const EligibilityTest& eligible);
  /// Returns the item that pop() would remove, or null.
  const QueueItem* peek(TimePoint now, const EligibilityTest& eligible) const;

  /// Replaces the estimated charge of popped work by the actual one.
  void correctCharge(const RowKey& flow,
                     std::int64_t priority,
                     std::int64_t weight,
                     double estimated,
                     double actual);

  /// Removes and returns the items whose latest start has passed.
  std::vector<QueueItem> takeExpired(TimePoint now);

  /// Estimates how many tokens will be served before new work of this flow:
  /// those queued in all more urgent classes, those queued in the flow itself,
  /// and those that other flows of its class get while its queue is served.
  double tokensAhead(const RowKey& flow,
                     std::int64_t priority,
                     std::int64_t weight) const;
  /// Estimates the time until new work of the flow would start, from the rate
  /// at which the flow was served recently. Returns nothing if the flow has not
  /// been backlogged long enough for an estimate.
  std::optional<Millis> observedWait(const RowKey& flow,
                                     std::int64_t priority,
                                     TimePoint now) const;

  std::size_t size() const { return mItems.size(); }
  /// Returns the total cost of the queued items in estimated tokens.
  double tokens() const { return mTokens; }
  /// Returns the queued item, or null.
  const QueueItem* find(std::uint64_t id) const;

private:
  struct Flow
  {
    std::int64_t weight = 1;
    /// Virtual start time of the flow's next item.
    double virtualStart = 0;
    /// Ids of the queued items by lane, in queue order.
    std::map<std::string, std::deque<std::uint64_t>> lanes;
    /// Estimated cost of the queued items, in tokens.
    double tokens = 0;
    /// Sum of served tokens that decays exponentially with
    /// FairQueueOptions::rateTimeConstant; the value is that at `servedAt`.
    double servedTokens = 0;
    TimePoint servedAt;
    /// Since when the flow has had queued work without interruption.
    std::optional<TimePoint> backloggedSince;
  };

  struct PriorityClass
  {
    /// Virtual time of start-time fair queueing.
    double virtualTime = 0;
    std::map<RowKey, Flow> flows;
    /// Estimated cost of the queued items, in tokens.
    double tokens = 0;
    /// Number of queued items.
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
  /// Classes by priority.
  std::map<std::int64_t, PriorityClass> mClasses;
  /// Queued items by id.
  std::unordered_map<std::uint64_t, QueueItem> mItems;
  std::set<std::pair<TimePoint, std::uint64_t>> mByLatestStart;
  std::set<std::pair<TimePoint, std::uint64_t>> mByQueueTime;
  double mTokens = 0;
};

} // namespace lentilrack::core
