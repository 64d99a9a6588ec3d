#pragma once

#include "core/scheduling/group_order.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lentilrack::core {

struct PlacedItem;

/// Call to the service that scores the text of an item.
struct RewardCall
{
  std::string id;
  std::string host;
  std::string path;
  std::string body;
};

/// One sample requested by a trainer.
struct BatchItem
{
  std::string id;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Name of the item's group. Items of a group share their prompt, and the
  /// trainer counts only complete groups.
  std::string group;
  /// Expected number of output tokens; 0 if unknown.
  double expectedLength = 0;
  std::optional<RewardCall> reward;
};

/// A batch as submitted. Immutable.
struct BatchSpec
{
  /// Id under which the batch is stored; see scopedBatchId().
  std::string id;
  /// Organisation that has submitted the batch; empty if the deployment has no
  /// organisations.
  std::string organisation;
  std::string host;
  /// Path to which the batch was submitted; selects the route.
  std::string path;
  std::string model;
  /// Oldest weight version that may produce tokens of the batch.
  std::int64_t minVersion = 0;
  /// Number of complete groups that the trainer waits for.
  int desiredGroups = 0;
  std::vector<BatchItem> items;

  /// Returns the expected total number of output tokens of all items; 0 if
  /// unknown.
  double expectedTokens() const;
};

enum class ItemOutcome
{
  Completed,
  GivenUp,
};

struct ItemResult
{
  std::size_t item = 0;
  ItemOutcome outcome = ItemOutcome::GivenUp;
  std::string text;
  /// Weight versions that produced the text.
  std::set<std::int64_t> versions;
  std::string score;
};

/// A waiting item that may start now.
struct WaitingItem
{
  std::size_t item = 0;
  /// Whether its group is beyond those that the trainer waits for. The item is
  /// of use only if another group is late, so it should run only in slots that
  /// no other item needs.
  bool isSpare = false;
};

/// Tracks which items of a batch are waiting, running or finished, and chooses
/// the item to run next. Each item is finished at most once.
class BatchProgress
{
public:
  explicit BatchProgress(std::shared_ptr<const BatchSpec> spec);

  /// Returns the waiting item to run next, or nothing if none may start now.
  std::optional<std::size_t> nextItem(TimePoint now) const;
  /// Returns the waiting items that may start now, the next one to run first,
  /// with at most one item of each group besides the long items. Long items of
  /// needed groups come first, then groups in the order of orderGroups().
  std::vector<WaitingItem> waitingItems(TimePoint now) const;
  /// Returns the earliest time at which a waiting item may start, or nothing if
  /// no item is waiting.
  std::optional<TimePoint> nextReleaseTime() const;

  /// Makes a waiting item running, so that nextItem() no longer returns it.
  void markRunning(std::size_t item);
  /// Makes a running item wait again, at least until `earliestStart`.
  void requeue(std::size_t item, TimePoint earliestStart);
  /// Marks an item as finished. Returns false if it was finished before.
  bool finish(std::size_t item, ItemOutcome outcome = ItemOutcome::Completed);
  /// Counts a failed run of an item, and returns the number of its failures.
  int countFailure(std::size_t item) { return ++mItems[item].failures; }
  /// Counts a failed reward call, and returns the number of the item's
  /// failures.
  int countRewardFailure(std::size_t item)
  {
    return ++mItems[item].rewardFailures;
  }

  /// Whether the item is expected to be longer than most items of the batch.
  /// `events` is the number of events that it has produced so far. Long items
  /// determine when the step completes.
  bool isLong(std::size_t item, std::int64_t events) const;
  /// Records the number of events of an item that is complete, and its expected
  /// length; 0 if unknown.
  void recordLength(std::int64_t events, double expectedLength = 0);
  /// Returns how many events an item is expected to produce after the first
  /// `events`, judging by its expected length and the complete items.
  double expectedEvents(std::size_t item, std::int64_t events) const;
  /// Returns what the placement of an item depends on, if it has produced
  /// `events` so far.
  PlacedItem placedItem(std::size_t item,
                        std::int64_t events,
                        double promptTokens) const;

  bool isFinished(std::size_t item) const;
  /// Whether all items are finished.
  bool isComplete() const { return mFinished == mItems.size(); }
  /// Returns the number of items.
  std::size_t size() const { return mItems.size(); }
  /// Whether all items of the item's group are finished.
  bool isGroupComplete(std::size_t item) const;
  /// Returns the index of an item, or nothing if the batch has no such item.
  std::optional<std::size_t> indexOf(const std::string& itemId) const;

private:
  enum class State
  {
    Waiting,
    Running,
    Finished,
  };
  struct Item
  {
    State state = State::Waiting;
    std::size_t group = 0;
    /// Whether the expected length is well above that of most items.
    bool isLong = false;
    TimePoint earliestStart{};
    int failures = 0;
    int rewardFailures = 0;
  };

  void updateLongestItem(std::size_t group);

  std::shared_ptr<const BatchSpec> mSpec;
  std::vector<Item> mItems;
  /// Indexes of the items, by descending expected length.
  std::vector<std::size_t> mOrder;
  std::vector<GroupProgress> mGroups;
  /// Indexes of the items of each group, by descending expected length.
  std::vector<std::vector<std::size_t>> mItemsOfGroup;
  /// Index of each item by its identifier.
  std::map<std::string, std::size_t> mIndexById;
  std::size_t mFinished = 0;
  /// Median of the expected lengths; 0 if unknown.
  double mMedianLength = 0;
  /// Mean number of events of the complete items, and their number.
  double mMeanEvents = 0;
  std::size_t mCompleteItems = 0;
  /// Events and expected lengths of the complete items with an expected length.
  double mEventsOfKnownLength = 0;
  double mKnownLength = 0;
};

} // namespace lentilrack::core
