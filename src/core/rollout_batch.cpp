#include "core/rollout_batch.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <tuple>

namespace lentilrack::core {

namespace {

/// An item counts as long above this multiple of the median expected length.
/// Long items determine when the step completes, so they must not wait for a
/// slot.
constexpr double kLongItemFactor = 2;

double
medianLength(const std::vector<BatchItem>& items)
{
  std::vector<double> lengths;
  std::ranges::transform(
    items, std::back_inserter(lengths), &BatchItem::expectedLength);
  if (lengths.empty()) {
    return 0;
  }
  const auto middle =
    lengths.begin() + static_cast<std::ptrdiff_t>(lengths.size() / 2);
  std::ranges::nth_element(lengths, middle);
  return *middle;
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
      mUnfinishedOfGroup.push_back(0);
    }
    ++mUnfinishedOfGroup[mItems[i].group];
    mIndexById[item.id] = i;
  }
  std::iota(mOrder.begin(), mOrder.end(), 0);
  mMedianLength = medianLength(mSpec->items);
  const double longThreshold = kLongItemFactor * mMedianLength;
  std::ranges::stable_sort(mOrder, {}, [&](std::size_t i) {
    const double length = mSpec->items[i].expectedLength;
    const bool isLong = longThreshold > 0 && length > longThreshold;
    // Long items come first, then group by group, each by descending length.
    return isLong ? std::tuple(std::size_t{ 0 }, -length)
                  : std::tuple(mItems[i].group + 1, -length);
  });
}

std::optional<std::size_t>
BatchProgress::nextItem(TimePoint now) const
{
  const auto found = std::ranges::find_if(mOrder, [&](std::size_t i) {
    return mItems[i].state == State::Waiting && mItems[i].earliestStart <= now;
  });
  return found == mOrder.end() ? std::nullopt : std::optional(*found);
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
BatchProgress::finish(std::size_t item)
{
  auto& state = mItems[item].state;
  if (state == State::Finished) {
    return false;
  }
  state = State::Finished;
  ++mFinished;
  --mUnfinishedOfGroup[mItems[item].group];
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
BatchProgress::recordLength(std::int64_t events)
{
  ++mCompleteItems;
  mMeanEvents += (static_cast<double>(events) - mMeanEvents) /
                 static_cast<double>(mCompleteItems);
}

bool
BatchProgress::isFinished(std::size_t item) const
{
  return mItems[item].state == State::Finished;
}

bool
BatchProgress::isGroupComplete(std::size_t item) const
{
  return mUnfinishedOfGroup[mItems[item].group] == 0;
}

std::optional<std::size_t>
BatchProgress::indexOf(const std::string& itemId) const
{
  const auto found = mIndexById.find(itemId);
  return found == mIndexById.end() ? std::nullopt
                                   : std::optional(found->second);
}

} // namespace lentilrack::core
