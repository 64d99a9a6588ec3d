#pragma once

#include "core/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::core {

/// A key of the store as it was read.
struct MirroredItem
{
  std::string key;
  std::string value;
  std::int64_t revision = 0;
};

/// What a mirror has learned since a place in its own sequence of changes.
struct MirrorDelta
{
  /// The items are all that there are; others are gone.
  bool isSnapshot = false;
  std::vector<MirroredItem> items;
  /// Removed keys with the revision at which they were known to be gone.
  std::vector<std::pair<std::string, std::int64_t>> removed;
  /// Place in the sequence after this delta.
  std::uint64_t sequence = 0;
  /// Revision of the store up to which the delta is complete.
  std::int64_t revision = 0;
};

/// Copy of the keys below one prefix of the store, fed by the store or by the
/// mirror of another process. A key never goes back to an older revision,
/// whoever tells of it.
class KeyMirror
{
public:
  /// Changes that are kept for others, after which they get everything.
  static constexpr std::size_t kKeptChanges = 1'000;

  /// Whether a new value says nothing new; such a change is not passed on.
  using UnchangedTest =
    std::function<bool(const MirroredItem& before, const MirroredItem& after)>;

  /// Says which new values say nothing new.
  void setUnchangedTest(UnchangedTest isSame) { mIsSame = std::move(isSame); }

  void onItem(std::function<void(const MirroredItem&)> hook)
  {
    mOnItem = std::move(hook);
  }
  void onRemoved(std::function<void(const std::string&, std::int64_t)> hook)
  {
    mOnRemoved = std::move(hook);
  }

  /// False if the item is not newer than what is known.
  bool put(const MirroredItem& item);
  bool remove(const std::string& key, std::int64_t revision);
  /// Takes everything below the prefix as of a revision.
  void replace(const std::vector<MirroredItem>& items, std::int64_t revision);
  void applyDelta(const MirrorDelta& delta);

  MirrorDelta changesSince(std::uint64_t sequence) const;
  std::uint64_t sequence() const { return mSequence; }
  std::int64_t revision() const { return mRevision; }
  /// Whether everything below the prefix was read at least once.
  bool isComplete() const { return mIsComplete; }
  const std::map<std::string, MirroredItem>& items() const { return mItems; }

private:
  struct Change
  {
    std::uint64_t sequence = 0;
    std::string key;
  };

  void record(const std::string& key);

  UnchangedTest mIsSame;
  std::function<void(const MirroredItem&)> mOnItem;
  std::function<void(const std::string&, std::int64_t)> mOnRemoved;
  std::map<std::string, MirroredItem> mItems;
  /// Revisions at which keys were removed, while a change tells of them.
  std::map<std::string, std::int64_t> mRemoved;
  std::deque<Change> mChanges;
  std::uint64_t mSequence = 1;
  std::int64_t mRevision = 0;
  bool mIsComplete = false;
};

} // namespace lentilrack::core
