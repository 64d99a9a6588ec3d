#include "core/rollout_batch.h"

#include "core/scheduling/placement.h"
#include "core/statistics/median.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>

namespace lentilrack::core {

namespace {

/// An item counts as long above this multiple of the median expected length.
/// Long items determine when the step completes, so they must not wait for a
/// slot.
constexpr double kLongItemFactor = 2;
/// Number of unfinished items of a group from which each is late.
constexpr std::size_t kLateItems = 2;
/// Expected events of an item before any is complete.
constexpr double kDefaultEvents = 12;
/// An item that has produced more events than expected is expected to produce
/// this share of them in addition, because the lengths have a long tail.
constexpr double kTailShare = 0.3;

double
medianLength(const std::vector<BatchItem>& items)
{
  std::vector<double> lengths;
  std::ranges::transform(
    items, std::back_inserter(lengths), &BatchItem::expectedLength);
  return medianOf(std::move(lengths));
}

} // namespace

double
BatchSpec::expectedTokens() const
{
  return std::accumulate(
    items.begin(), items.end(), 0.0, [](double sum, const BatchItem& item) {
      return sum + item.expectedLength;
    });
}

BatchProgress::BatchProgress(std::shared_ptr<const BatchSpec> spec)
  : mSpec(std::move(spec))
  , mItems(mSpec->items.size())
  , mOrder(mSpec->items.size())
{
  std::map<std::string, std::size_t> groups;
  for (std::size_t i = 0; i < mItems.size(); ++i) {
    const auto& item = mSpec->items[i];
    const auto group = groups.try_emplace(item.group, groups.size());
    mItems[i].group = group.first->second;
    if (group.second) {
      mGroups.emplace_back();
    }
    ++mGroups[mItems[i].group].unfinished;
    mIndexById[item.id] = i;
  }
  mMedianLength = medianLength(mSpec->items);
  const double longThreshold = kLongItemFactor * mMedianLength;
  for (std::size_t i = 0; i < mItems.size(); ++i) {
    mItems[i].isLong =
      longThreshold > 0 && mSpec->items[i].expectedLength > longThreshold;
  }
  std::iota(mOrder.begin(), mOrder.end(), 0);
  std::ranges::stable_sort(mOrder, std::greater<>(), [&](std::size_t i) {
    return mSpec->items[i].expectedLength;
  });
  mItemsOfGroup.resize(mGroups.size());
  for (const auto i : mOrder) {
    mItemsOfGroup[mItems[i].group].push_back(i);
  }
  for (std::size_t group = 0; group < mGroups.size(); ++group) {
    updateLongestItem(group);
  }
}

void
BatchProgress::updateLongestItem(std::size_t group)
{
  const auto& items = mItemsOfGroup[group];
  const auto longest = std::ranges::find_if(
    items, [this](std::size_t i) { return !isFinished(i); });
  mGroups[group].longestItem =
    longest == items.end() ? 0 : mSpec->items[*longest].expectedLength;
}

std::optional<std::size_t>
BatchProgress::nextItem(TimePoint now) const
{
  const auto items = waitingItems(now);
  return items.empty() ? std::nullopt : std::optional(items.front().item);
}

std::vector<WaitingItem>
BatchProgress::waitingItems(TimePoint now) const
{
  const auto order = orderGroups(mGroups, mSpec->desiredGroups);
  std::vector<bool> isNeeded(mGroups.size());
  for (std::size_t i = 0; i < order.neededGroups; ++i) {
    isNeeded[order.groups[i]] = true;
  }
  std::vector<WaitingItem> items;
  std::vector<std::optional<std::size_t>> firstOfGroup(mGroups.size());
  for (const auto i : mOrder) {
    const auto& item = mItems[i];
    if (item.state != State::Waiting || item.earliestStart > now) {
      continue;
    }
    if (item.isLong && isNeeded[item.group]) {
      items.push_back({ i, false });
    } else if (!firstOfGroup[item.group]) {
      firstOfGroup[item.group] = i;
    }
  }
  for (const auto group : order.groups) {
    if (firstOfGroup[group]) {
      items.push_back({ *firstOfGroup[group], !isNeeded[group] });
    }
  }
  return items;
}

std::optional<TimePoint>
BatchProgress::nextReleaseTime() const
{
  std::optional<TimePoint> first;
  for (const auto& item : mItems) {
    if (item.state == State::Waiting) {
      first = std::min(first.value_or(item.earliestStart), item.earliestStart);
    }
  }
  return first;
}

void
BatchProgress::markRunning(std::size_t item)
{
  mItems[item].state = State::Running;
}

void
BatchProgress::requeue(std::size_t item, TimePoint earliestStart)
{
  if (mItems[item].state == State::Running) {
    mItems[item].state = State::Waiting;
    mItems[item].earliestStart = earliestStart;
  }
}

bool
BatchProgress::finish(std::size_t item, ItemOutcome outcome)
{
  auto& state = mItems[item].state;
  if (state == State::Finished) {
    return false;
  }
  auto& group = mGroups[mItems[item].group];
  --group.unfinished;
  group.hasGivenUp = group.hasGivenUp || outcome == ItemOutcome::GivenUp;
  state = State::Finished;
  ++mFinished;
  updateLongestItem(mItems[item].group);
  return true;
}

bool
BatchProgress::isLong(std::size_t item, std::int64_t events) const
{
  const bool hasLongHint =
    mMedianLength > 0 && mSpec->items[item].expectedLength > mMedianLength;
  return hasLongHint ||
         (mCompleteItems > 0 && static_cast<double>(events) > mMeanEvents);
}

void
BatchProgress::recordLength(std::int64_t events, double expectedLength)
{
  if (expectedLength > 0) {
    mEventsOfKnownLength += static_cast<double>(events);
    mKnownLength += expectedLength;
  }
  ++mCompleteItems;
  mMeanEvents += (static_cast<double>(events) - mMeanEvents) /
                 static_cast<double>(mCompleteItems);
}

double
BatchProgress::expectedEvents(std::size_t item, std::int64_t events) const
{
  const double length = mSpec->items[item].expectedLength;
  double total = mCompleteItems > 0 ? mMeanEvents : kDefaultEvents;
  if (length > 0 && mKnownLength > 0) {
    total = length * mEventsOfKnownLength / mKnownLength;
  } else if (length > 0 && mMedianLength > 0) {
    total *= length / mMedianLength;
  }
  const auto produced = static_cast<double>(events);
  return std::max(total - produced, kTailShare * std::max(total, produced));
}

PlacedItem
BatchProgress::placedItem(std::size_t item,
                          std::int64_t events,
                          double promptTokens) const
{
  PlacedItem placed;
  placed.group = mSpec->items[item].group;
  placed.expectedEvents = expectedEvents(item, events);
  placed.promptTokens = promptTokens;
  placed.unfinishedOfGroup = mGroups[mItems[item].group].unfinished;
  placed.isLate = mItems[item].isLong || placed.unfinishedOfGroup <= kLateItems;
  return placed;
}

bool
BatchProgress::isFinished(std::size_t item) const
{
  return mItems[item].state == State::Finished;
}

bool
BatchProgress::isGroupComplete(std::size_t item) const
{
  return mGroups[mItems[item].group].isComplete();
}

std::optional<std::size_t>
BatchProgress::indexOf(const std::string& itemId) const
{
  const auto found = mIndexById.find(itemId);
  return found == mIndexById.end() ? std::nullopt
                                   : std::optional(found->second);
}

} // namespace lentilrack::core
