#include "core/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace lentilrack::core {

namespace {

double
seconds(Clock::duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

} // namespace

FairQueue::FairQueue(FairQueueOptions options)
  : mOptions(options)
{
}

void
FairQueue::push(QueueItem item)
{
  insert(std::move(item), false);
}

void
FairQueue::requeueItem(QueueItem item)
{
  insert(std::move(item), true);
}

void
FairQueue::insert(QueueItem item, bool atFront)
{
  item.weight = std::max<std::int64_t>(item.weight, 1);
  auto& cls = mClasses[item.priority];
  auto& flow = cls.flows[item.flow];
  if (flow.lanes.empty()) {
    // A flow that had nothing to do gets no credit for that time.
    flow.start = std::max(flow.start, cls.virtualTime);
    flow.backloggedSince = item.queuedAt;
    flow.served = 0;
    flow.servedAt = item.queuedAt;
  }
  flow.weight = item.weight;
  auto& lane = flow.lanes[item.lane];
  if (atFront) {
    lane.push_front(item.id);
  } else {
    lane.push_back(item.id);
  }
  flow.tokens += item.cost;
  cls.tokens += item.cost;
  ++cls.items;
  mTokens += item.cost;
  mByLatestStart.emplace(item.latestStart, item.id);
  mByAge.emplace(item.queuedAt, item.id);
  const auto id = item.id;
  mItems[id] = std::move(item);
}

QueueItem
FairQueue::take(std::uint64_t id)
{
  const auto found = mItems.find(id);
  auto item = std::move(found->second);
  mItems.erase(found);
  mByLatestStart.erase({ item.latestStart, id });
  mByAge.erase({ item.queuedAt, id });
  auto& cls = mClasses[item.priority];
  auto& flow = cls.flows[item.flow];
  const auto laneIt = flow.lanes.find(item.lane);
  auto& lane = laneIt->second;
  if (lane.front() == id) {
    lane.pop_front();
  } else {
    std::erase(lane, id);
  }
  if (lane.empty()) {
    flow.lanes.erase(laneIt);
  }
  flow.tokens = flow.lanes.empty() ? 0 : flow.tokens - item.cost;
  if (flow.lanes.empty()) {
    flow.backloggedSince.reset();
  }
  // Emptied sums are set to zero, so that rounding errors do not add up.
  cls.tokens = --cls.items == 0 ? 0 : cls.tokens - item.cost;
  mTokens = mItems.empty() ? 0 : mTokens - item.cost;
  return item;
}

std::optional<QueueItem>
FairQueue::remove(std::uint64_t id)
{
  if (!mItems.contains(id)) {
    return std::nullopt;
  }
  return take(id);
}

std::vector<FairQueue::Head>
FairQueue::eligibleHeads(const EligibilityTest& eligible) const
{
  std::vector<Head> heads;
  for (const auto& [priority, cls] : mClasses) {
    if (cls.items == 0) {
      continue;
    }
    for (const auto& [key, flow] : cls.flows) {
      for (const auto& [name, lane] : flow.lanes) {
        const auto& item = mItems.at(lane.front());
        if (eligible(item)) {
          heads.push_back({ priority, flow.start, &item });
        }
      }
    }
  }
  return heads;
}

std::int64_t
FairQueue::effectivePriority(const std::vector<Head>& heads,
                             std::int64_t priority,
                             TimePoint now) const
{
  // Only work that could start now ages its class. Otherwise work that waits
  // for a rare server would lift the rest of its class above urgent work.
  auto oldest = now;
  for (const auto& head : heads) {
    if (head.priority == priority) {
      oldest = std::min(oldest, head.item->queuedAt);
    }
  }
  return std::max<std::int64_t>(
    0, priority - (now - oldest) / mOptions.ageingStep);
}

const QueueItem*
FairQueue::peek(TimePoint now, const EligibilityTest& eligible) const
{
  const auto heads = eligibleHeads(eligible);
  std::map<std::int64_t, std::int64_t> effective;
  for (const auto& head : heads) {
    if (!effective.contains(head.priority)) {
      effective[head.priority] = effectivePriority(heads, head.priority, now);
    }
  }
  // Between classes of the same effective priority, the aged one goes first:
  // otherwise a busy class 0 would starve it for ever.
  const auto rank = [&](const Head& head) {
    return std::tuple(effective.at(head.priority),
                      -head.priority,
                      head.start,
                      head.item->queuedAt,
                      head.item->id);
  };
  const auto best = std::ranges::min_element(heads, {}, rank);
  return best == heads.end() ? nullptr : best->item;
}

std::optional<QueueItem>
FairQueue::pop(TimePoint now, const EligibilityTest& eligible)
{
  const auto* item = peek(now, eligible);
  if (item == nullptr) {
    return std::nullopt;
  }
  charge(*item, now);
  return take(item->id);
}

std::optional<QueueItem>
FairQueue::popOldest(const EligibilityTest& eligible)
{
  for (const auto& [queuedAt, id] : mByAge) {
    if (eligible(mItems.at(id))) {
      return take(id);
    }
  }
  return std::nullopt;
}

double
FairQueue::decay(const Flow& flow, TimePoint now) const
{
  return std::exp(-std::max(0.0, seconds(now - flow.servedAt)) /
                  seconds(mOptions.rateWindow));
}

void
FairQueue::charge(const QueueItem& item, TimePoint now)
{
  auto& cls = mClasses[item.priority];
  auto& flow = cls.flows[item.flow];
  flow.served = flow.served * decay(flow, now) + item.cost;
  flow.servedAt = now;
  cls.virtualTime = std::max(cls.virtualTime, flow.start);
  flow.start += item.cost / static_cast<double>(flow.weight);
}

void
FairQueue::correctCharge(const RowKey& flow,
                         std::int64_t priority,
                         std::int64_t weight,
                         double estimated,
                         double actual)
{
  const auto cls = mClasses.find(priority);
  if (cls == mClasses.end()) {
    return;
  }
  const auto found = cls->second.flows.find(flow);
  if (found != cls->second.flows.end()) {
    found->second.start +=
      (actual - estimated) /
      static_cast<double>(std::max<std::int64_t>(weight, 1));
  }
}

std::vector<QueueItem>
FairQueue::takeExpired(TimePoint now)
{
  std::vector<QueueItem> expired;
  while (!mByLatestStart.empty() && mByLatestStart.begin()->first < now) {
    expired.push_back(take(mByLatestStart.begin()->second));
  }
  return expired;
}

double
FairQueue::tokensAhead(const RowKey& flow,
                       std::int64_t priority,
                       std::int64_t weight) const
{
  double ahead = 0;
  for (const auto& [other, cls] : mClasses) {
    if (other < priority) {
      ahead += cls.tokens;
    }
  }
  const auto cls = mClasses.find(priority);
  if (cls == mClasses.end() || cls->second.items == 0) {
    return ahead;
  }
  const auto own = cls->second.flows.find(flow);
  const double ownTokens =
    own == cls->second.flows.end() ? 0 : own->second.tokens;
  // While the flow works off its own queue, each other flow takes its weight's
  // share, but never more than it has queued.
  const auto ownWeight = static_cast<double>(std::max<std::int64_t>(weight, 1));
  ahead += ownTokens;
  for (const auto& [key, other] : cls->second.flows) {
    if (key != flow) {
      ahead +=
        std::min(other.tokens,
                 ownTokens * static_cast<double>(other.weight) / ownWeight);
    }
  }
  return ahead;
}

std::optional<Millis>
FairQueue::observedWait(const RowKey& flow,
                        std::int64_t priority,
                        TimePoint now) const
{
  const auto cls = mClasses.find(priority);
  if (cls == mClasses.end()) {
    return std::nullopt;
  }
  const auto found = cls->second.flows.find(flow);
  if (found == cls->second.flows.end() || !found->second.backloggedSince) {
    return std::nullopt;
  }
  const auto& own = found->second;
  const double backlogged = seconds(now - *own.backloggedSince);
  const double window = seconds(mOptions.rateWindow);
  if (backlogged < window / 2) {
    return std::nullopt;
  }
  // The decayed sum covers 1 - exp(-t/window) of a window after the time t.
  const double rate = own.served * decay(own, now) /
                      (window * (1 - std::exp(-backlogged / window)));
  const double wait = rate > 0 ? own.tokens / rate : 1e6;
  return Millis(static_cast<std::int64_t>(std::min(wait, 1e6) * 1000));
}

const QueueItem*
FairQueue::find(std::uint64_t id) const
{
  const auto found = mItems.find(id);
  return found == mItems.end() ? nullptr : &found->second;
}

} // namespace lentilrack::core
