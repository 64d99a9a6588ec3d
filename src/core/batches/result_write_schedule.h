#pragma once

#include "core/rollout_batch.h"
#include "core/time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace lentilrack::core {

/// Decides when the results of a batch are written to the store. Each write is
/// charged for, and a trainer only needs the results of a step once the number
/// of groups that it waits for (the quorum) is complete. Results are therefore
/// collected for longer while the quorum is missing, and written at once when
/// they complete it.
class ResultWriteSchedule
{
public:
  /// No result waits longer than this before the quorum is complete. It bounds
  /// the work that is lost with the owner of a batch.
  static constexpr Millis kLongCollectionTime{ 1'000 };
  /// No result waits longer than this once the quorum is complete, if the batch
  /// has none, or if the step is late.
  static constexpr Millis kShortCollectionTime{ 400 };
  /// Minimum time between two writes, unless the second completes the quorum or
  /// the batch. Trainers read about twice per second.
  static constexpr Millis kMinWriteInterval{ 200 };
  /// A step is late from this time after its submission. It must be read 7.5 s
  /// after its submission; from here on each complete group may be the last
  /// that its trainer needs.
  static constexpr Millis kLateTime{ 6'000 };

  ResultWriteSchedule(const BatchSpec& spec, TimePoint submittedAt);

  /// Records that the result of an item is already in the store.
  void recordStored(std::size_t item);
  /// Records that the result of an item is to be written.
  void recordAdded(std::size_t item, TimePoint now);
  /// Records that the write of some results begins, or has ended.
  void beginWrite(const std::vector<std::size_t>& items);
  void endWrite(TimePoint now) { mLastWriteAt = now; }

  /// Returns when the next write is due; nothing while there is no result to
  /// write.
  std::optional<TimePoint> dueTime() const;

private:
  /// Whether the results that are to be written complete the quorum.
  bool completesQuorum() const;
  /// Whether more groups must be complete before the trainer has what it needs.
  bool lacksQuorum() const { return mAddedGroups.complete < mQuorum; }

  /// Counts the groups of which all items are recorded.
  struct GroupCount
  {
    /// Number of items that are not recorded, by group.
    std::vector<std::size_t> missing;
    std::size_t complete = 0;

    /// Returns true if the item is the last one of its group.
    bool record(std::size_t group)
    {
      const bool isLast = --missing[group] == 0;
      complete += isLast ? 1 : 0;
      return isLast;
    }
  };

  /// Index of the group of each item.
  std::vector<std::size_t> mGroupOfItem;
  std::vector<bool> mIsAdded;
  /// Groups by the results that are added, and by those that are stored or
  /// being written.
  GroupCount mAddedGroups;
  GroupCount mWrittenGroups;
  /// Number of groups that the trainer waits for; 0 if unknown.
  std::size_t mQuorum = 0;
  std::size_t mAdded = 0;
  std::size_t mWritten = 0;
  TimePoint mSubmittedAt;
  /// When the oldest result that is to be written was added, and when the first
  /// one that completes a group was.
  TimePoint mFirstAddedAt{};
  std::optional<TimePoint> mGroupCompletedAt;
  TimePoint mLastWriteAt{};
};

} // namespace lentilrack::core
