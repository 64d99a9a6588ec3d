#include "core/key_mirror.h"

#include <algorithm>
#include <ranges>
#include <set>

namespace lentilrack::core {

void
KeyMirror::record(const std::string& key)
{
  mChanges.push_back({ ++mSequence, key });
  if (mChanges.size() > kKeptChanges) {
    const auto dropped = mChanges.front().key;
    mChanges.pop_front();
    const bool hasLaterChange = std::ranges::any_of(
      mChanges, [&](const Change& change) { return change.key == dropped; });
    if (!hasLaterChange) {
      mRemoved.erase(dropped);
    }
  }
}

bool
KeyMirror::put(const MirroredItem& item)
{
  const auto removal = mRemoved.find(item.key);
  if (removal != mRemoved.end() && item.revision <= removal->second) {
    return false;
  }
  auto& known = mItems[item.key];
  if (item.revision <= known.revision) {
    return false;
  }
  const bool isUnchanged =
    known.revision != 0 && mUnchangedTest && mUnchangedTest(known, item);
  known = item;
  if (isUnchanged) {
    return true;
  }
  mRemoved.erase(item.key);
  record(item.key);
  if (mOnItem) {
    mOnItem(item);
  }
  return true;
}

bool
KeyMirror::remove(const std::string& key, std::int64_t revision)
{
  const auto known = mItems.find(key);
  if (known == mItems.end() || revision < known->second.revision) {
    return false;
  }
  mItems.erase(known);
  mRemoved[key] = revision;
  record(key);
  if (mOnRemoved) {
    mOnRemoved(key, revision);
  }
  return true;
}

void
KeyMirror::replace(const std::vector<MirroredItem>& items,
                   std::int64_t revision)
{
  std::set<std::string> listed;
  for (const auto& item : items) {
    listed.insert(item.key);
    put(item);
  }
  std::vector<std::string> missing;
  for (const auto& [key, item] : mItems) {
    if (!listed.contains(key) && item.revision <= revision) {
      missing.push_back(key);
    }
  }
  std::ranges::for_each(missing,
                        [&](const auto& key) { remove(key, revision); });
  markCompleteTo(revision);
  mIsComplete = true;
}

void
KeyMirror::applyDelta(const MirrorDelta& delta)
{
  if (delta.isSnapshot) {
    replace(delta.items, delta.revision);
    return;
  }
  std::ranges::for_each(delta.items, [this](const auto& item) { put(item); });
  for (const auto& [key, revision] : delta.removed) {
    remove(key, revision);
  }
  markCompleteTo(delta.revision);
}

MirrorDelta
KeyMirror::changesSince(std::uint64_t sequence) const
{
  MirrorDelta delta;
  delta.sequence = mSequence;
  delta.revision = mCompleteRevision;
  const bool hasAllChanges =
    sequence <= mSequence && sequence > 0 &&
    (sequence == mSequence ||
     (!mChanges.empty() && mChanges.front().sequence <= sequence + 1));
  if (!hasAllChanges) {
    delta.isSnapshot = true;
    std::ranges::copy(mItems | std::views::values,
                      std::back_inserter(delta.items));
    return delta;
  }
  std::set<std::string> keys;
  for (const auto& change : mChanges) {
    if (change.sequence > sequence) {
      keys.insert(change.key);
    }
  }
  for (const auto& key : keys) {
    const auto item = mItems.find(key);
    if (item != mItems.end()) {
      delta.items.push_back(item->second);
    } else if (const auto removal = mRemoved.find(key);
               removal != mRemoved.end()) {
      delta.removed.emplace_back(key, removal->second);
    }
  }
  return delta;
}

} // namespace lentilrack::core
