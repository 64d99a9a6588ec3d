#include "core/batches/result_write_schedule.h"

#include <algorithm>
#include <map>
#include <string>

namespace lentilrack::core {

ResultWriteSchedule::ResultWriteSchedule(const BatchSpec& spec,
                                         TimePoint submittedAt)
  : mIsAdded(spec.items.size(), false)
  , mSubmittedAt(submittedAt)
{
  std::map<std::string, std::size_t> groups;
  for (const auto& item : spec.items) {
    const auto group = groups.try_emplace(item.group, groups.size());
    mGroupOfItem.push_back(group.first->second);
    if (group.second) {
      mAddedGroups.missing.push_back(0);
    }
    ++mAddedGroups.missing[mGroupOfItem.back()];
  }
  mWrittenGroups = mAddedGroups;
  const auto desired =
    static_cast<std::size_t>(std::max(0, spec.desiredGroups));
  mQuorum = std::min(desired, groups.size());
}

void
ResultWriteSchedule::recordStored(std::size_t item)
{
  if (!mIsAdded[item]) {
    mIsAdded[item] = true;
    ++mAdded;
    ++mWritten;
    mAddedGroups.record(mGroupOfItem[item]);
    mWrittenGroups.record(mGroupOfItem[item]);
  }
}

void
ResultWriteSchedule::recordAdded(std::size_t item, TimePoint now)
{
  if (mIsAdded[item]) {
    return;
  }
  mIsAdded[item] = true;
  if (mAdded == mWritten) {
    mFirstAddedAt = now;
    mGroupCompletedAt.reset();
  }
  ++mAdded;
  const bool completesGroup = mAddedGroups.record(mGroupOfItem[item]);
  if (completesGroup && !mGroupCompletedAt) {
    mGroupCompletedAt = now;
  }
}

void
ResultWriteSchedule::beginWrite(const std::vector<std::size_t>& items)
{
  for (const auto item : items) {
    ++mWritten;
    mWrittenGroups.record(mGroupOfItem[item]);
  }
}

bool
ResultWriteSchedule::completesQuorum() const
{
  return mQuorum > 0 && mAddedGroups.complete >= mQuorum &&
         mWrittenGroups.complete < mQuorum;
}

std::optional<TimePoint>
ResultWriteSchedule::dueTime() const
{
  if (mAdded == mWritten) {
    return std::nullopt;
  }
  const bool isLast = mAdded == mIsAdded.size();
  if (isLast || completesQuorum()) {
    return mFirstAddedAt;
  }
  auto due = mGroupCompletedAt.value_or(mFirstAddedAt + kShortCollectionTime);
  if (lacksQuorum()) {
    due = std::max(
      due,
      std::min(mFirstAddedAt + kLongCollectionTime, mSubmittedAt + kLateTime));
  }
  return std::max(due, mLastWriteAt + kMinWriteInterval);
}

} // namespace lentilrack::core
