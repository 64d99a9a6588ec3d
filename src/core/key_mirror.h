#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::core {

/// A key of the store with its value, as read at a revision.
struct MirroredItem
{
  std::string key;
  std::string value;
  std::int64_t revision = 0;
};

/// The changes of a mirror (see KeyMirror) after a given sequence number.
struct MirrorDelta
{
  /// Whether `items` is the complete content, so that other keys are removed.
  bool isSnapshot = false;
  std::vector<MirroredItem> items;
  /// Removed keys, each with a revision at which it no longer existed.
  std::vector<std::pair<std::string, std::int64_t>> removed;
  /// Sequence number from which the next delta continues.
  std::uint64_t sequence = 0;
  /// Store revision up to which the delta is complete.
  std::int64_t revision = 0;
};

/// A local replica of the keys below one prefix of the store, updated from the
/// store or from the mirror of another process. A key never goes back to an
/// older revision, regardless of the source.
class KeyMirror
{
public:
  /// Number of changes that are kept for other mirrors. A mirror that has
  /// missed more gets a snapshot.
  static constexpr std::size_t kKeptChanges = 1'000;

  /// Returns true if a new value is equivalent to the old one, so that the
  /// change need not be passed on.
  using UnchangedTest =
    std::function<bool(const MirroredItem& before, const MirroredItem& after)>;

  /// Sets the test for new values that are equivalent to the old ones.
  void setUnchangedTest(UnchangedTest test)
  {
    mUnchangedTest = std::move(test);
  }

  /// Sets the function to be called for each new or changed item.
  void onItem(std::function<void(const MirroredItem&)> hook)
  {
    mOnItem = std::move(hook);
  }
  /// Sets the function to be called for each removed key and its revision.
  void onRemoved(std::function<void(const std::string&, std::int64_t)> hook)
  {
    mOnRemoved = std::move(hook);
  }

  /// Stores an item. Returns false, and changes nothing, if the mirror already
  /// knows a write or a removal of the key at the same or a later revision.
  bool put(const MirroredItem& item);
  /// Removes a key that did not exist at `revision`. Returns false if the key
  /// is unknown or was written later.
  bool remove(const std::string& key, std::int64_t revision);
  /// Applies a complete list of the keys below the prefix, as of a revision.
  void replace(const std::vector<MirroredItem>& items, std::int64_t revision);
  /// Applies the changes of another mirror.
  void applyDelta(const MirrorDelta& delta);
  /// Records that all changes up to a revision have been applied.
  void markCompleteTo(std::int64_t revision)
  {
    mCompleteRevision = std::max(mCompleteRevision, revision);
  }

  /// Returns the changes after a sequence number, or a snapshot if these
  /// changes are no longer kept.
  MirrorDelta changesSince(std::uint64_t sequence) const;
  /// Returns the number of the last change.
  std::uint64_t sequence() const { return mSequence; }
  /// Returns the store revision up to which all changes have been applied.
  /// Single items may be newer.
  std::int64_t completeRevision() const { return mCompleteRevision; }
  /// Whether all keys below the prefix were read at least once.
  bool isComplete() const { return mIsComplete; }
  const std::map<std::string, MirroredItem>& items() const { return mItems; }

private:
  struct Change
  {
    std::uint64_t sequence = 0;
    std::string key;
  };

  /// Adds a change of the key to the sequence of changes.
  void record(const std::string& key);

  UnchangedTest mUnchangedTest;
  std::function<void(const MirroredItem&)> mOnItem;
  std::function<void(const std::string&, std::int64_t)> mOnRemoved;
  std::map<std::string, MirroredItem> mItems;
  /// Revisions at which the removed keys in `mChanges` were removed, by key.
  std::map<std::string, std::int64_t> mRemoved;
  std::deque<Change> mChanges;
  std::uint64_t mSequence = 1;
  std::int64_t mCompleteRevision = 0;
  bool mIsComplete = false;
};

} // namespace lentilrack::core
