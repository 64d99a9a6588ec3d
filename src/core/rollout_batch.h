#pragma once

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

/// The call that scores the text of an item.
struct RewardCall
{
  std::string id;
  std::string host;
  std::string path;
  std::string body;
};

/// One sample that a trainer asks for.
struct BatchItem
{
  std::string id;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Items of a group share their prompt and count as a whole.
  std::string group;
  /// Expected output tokens; 0 if unknown.
  double expectedLength = 0;
  std::optional<RewardCall> reward;
};

/// What was submitted; never changed.
struct BatchSpec
{
  std::string id;
  std::string host;
  /// Path of the submission, which selects the route.
  std::string path;
  std::string model;
  /// Oldest version of the weights that may make its tokens.
  std::int64_t minVersion = 0;
  /// Whole groups that the trainer waits for.
  int desiredGroups = 0;
  std::vector<BatchItem> items;

  /// Tokens that its items are expected to give; 0 if unknown.
  double expectedTokens() const;
};

enum class ItemOutcome
{
  Completed,
  Dead,
};

struct ItemResult
{
  std::size_t item = 0;
  ItemOutcome outcome = ItemOutcome::Dead;
  std::string text;
  std::set<std::int64_t> versions;
  std::string score;
};

/// Which items of a batch wait, run or are finished, and which comes next.
/// Results get their positions elsewhere; an item is finished only once.
class BatchProgress
{
public:
  explicit BatchProgress(std::shared_ptr<const BatchSpec> spec);

  /// The waiting item that should run next: long items first, then the groups
  /// in the order of the trainer.
  std::optional<std::size_t> nextItem(TimePoint now) const;
  /// When nextItem() can give an item that is held back now.
  std::optional<TimePoint> nextReleaseTime() const;

  void markRunning(std::size_t item);
  /// Puts an item back; it waits at least until `notBefore`.
  void requeue(std::size_t item, TimePoint notBefore);
  /// False if the item was finished before.
  bool finish(std::size_t item);
  /// The run answered with a failure; returns how often so far.
  int countFailure(std::size_t item) { return ++mItems[item].failures; }
  int countRewardFailure(std::size_t item)
  {
    return ++mItems[item].rewardFailures;
  }

  bool isFinished(std::size_t item) const;
  bool isComplete() const { return mFinished == mItems.size(); }
  std::size_t size() const { return mItems.size(); }
  bool isGroupComplete(std::size_t item) const;
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
    TimePoint notBefore{};
    int failures = 0;
    int rewardFailures = 0;
  };

  std::shared_ptr<const BatchSpec> mSpec;
  std::vector<Item> mItems;
  /// Items in the order in which they start.
  std::vector<std::size_t> mOrder;
  /// Unfinished items of each group.
  std::vector<std::size_t> mOpenOfGroup;
  std::map<std::string, std::size_t> mIndex;
  std::size_t mFinished = 0;
};

} // namespace lentilrack::core
