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
FairQueue::insert(QueueItem item, bool isAtFront)
{
  item.weight = std::max<std::int64_t>(item.weight, 1);
  auto& priorityClass = mClasses[item.priority];
  auto& flow = priorityClass.flows[item.flow];
  if (flow.lanes.empty()) {
    // A flow gets no credit for the time in which it had no work queued.
    flow.virtualStart = std::max(flow.virtualStart, priorityClass.virtualTime);
    flow.backloggedSince = item.queuedAt;
    flow.servedTokens = 0;
    flow.servedAt = item.queuedAt;
  }
  flow.weight = item.weight;
  auto& lane = flow.lanes[item.lane];
  if (isAtFront) {
    lane.push_front(item.id);
  } else {
    lane.push_back(item.id);
  }
  flow.tokens += item.cost;
  priorityClass.tokens += item.cost;
  ++priorityClass.items;
  mTokens += item.cost;
  mByLatestStart.emplace(item.latestStart, item.id);
  mByQueueTime.emplace(item.queuedAt, item.id);
  const auto id = item.id;
  mItems[id] = std::move(item);
}

QueueItem
FairQueue::extract(std::uint64_t id)
{
  const auto found = mItems.find(id);
  auto item = std::move(found->second);
  mItems.erase(found);
  mByLatestStart.erase({ item.latestStart, id });
  mByQueueTime.erase({ item.queuedAt, id });
  auto& priorityClass = mClasses[item.priority];
  auto& flow = priorityClass.flows[item.flow];
  const auto laneEntry = flow.lanes.find(item.lane);
  auto& lane = laneEntry->second;
  if (lane.front() == id) {
    lane.pop_front();
  } else {
    std::erase(lane, id);
  }
  if (lane.empty()) {
    flow.lanes.erase(laneEntry);
  }
  flow.tokens = flow.lanes.empty() ? 0 : flow.tokens - item.cost;
  if (flow.lanes.empty()) {
    flow.backloggedSince.reset();
  }
  // The sum of an empty set is reset to zero, so that rounding errors do not
  // accumulate.
  priorityClass.tokens =
    --priorityClass.items == 0 ? 0 : priorityClass.tokens - item.cost;
  mTokens = mItems.empty() ? 0 : mTokens - item.cost;
  return item;
}

std::optional<QueueItem>
FairQueue::remove(std::uint64_t id)
{
  if (!mItems.contains(id)) {
    return std::nullopt;
  }
  return extract(id);
}

std::vector<FairQueue::LaneHead>
FairQueue::eligibleHeads(const EligibilityTest& eligible) const
{
  std::vector<LaneHead> heads;
  for (const auto& [priority, priorityClass] : mClasses) {
    if (priorityClass.items == 0) {
      continue;
    }
    for (const auto& [key, flow] : priorityClass.flows) {
      for (const auto& [name, lane] : flow.lanes) {
        const auto& item = mItems.at(lane.front());
        if (eligible(item)) {
          heads.push_back({ priority, flow.virtualStart, &item });
        }
      }
    }
  }
  return heads;
}

std::int64_t
FairQueue::effectivePriority(const std::vector<LaneHead>& heads,
                             std::int64_t priority,
                             TimePoint now) const
{
  // Only work that could start now raises the priority of its class. Otherwise
  // work that waits for a scarce server would raise the rest of its class above
  // urgent work.
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
  // Of classes with the same effective priority, the one that was raised by
  // ageing goes first. Otherwise a busy class 0 would starve it for ever.
  const auto rank = [&](const LaneHead& head) {
    return std::tuple(effective.at(head.priority),
                      -head.priority,
                      head.virtualStart,
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
  return extract(item->id);
}

std::optional<QueueItem>
FairQueue::popOldest(const EligibilityTest& eligible)
{
  for (const auto& [queuedAt, id] : mByQueueTime) {
    if (eligible(mItems.at(id))) {
      return extract(id);
    }
  }
  return std::nullopt;
}

double
FairQueue::decayFactor(const Flow& flow, TimePoint now) const
{
  return std::exp(-std::max(0.0, seconds(now - flow.servedAt)) /
                  seconds(mOptions.rateWindow));
}

void
FairQueue::charge(const QueueItem& item, TimePoint now)
{
  auto& priorityClass = mClasses[item.priority];
  auto& flow = priorityClass.flows[item.flow];
  flow.servedTokens = flow.servedTokens * decayFactor(flow, now) + item.cost;
  flow.servedAt = now;
  priorityClass.virtualTime =
    std::max(priorityClass.virtualTime, flow.virtualStart);
  flow.virtualStart += item.cost / static_cast<double>(flow.weight);
}

void
FairQueue::correctCharge(const RowKey& flow,
                         std::int64_t priority,
                         std::int64_t weight,
                         double estimated,
                         double actual)
{
  const auto priorityClass = mClasses.find(priority);
  if (priorityClass == mClasses.end()) {
    return;
  }
  const auto found = priorityClass->second.flows.find(flow);
  if (found != priorityClass->second.flows.end()) {
    found->second.virtualStart +=
      (actual - estimated) /
      static_cast<double>(std::max<std::int64_t>(weight, 1));
  }
}

std::vector<QueueItem>
FairQueue::takeExpired(TimePoint now)
{
  std::vector<QueueItem> expired;
  while (!mByLatestStart.empty() && mByLatestStart.begin()->first < now) {
    expired.push_back(extract(mByLatestStart.begin()->second));
  }
  return expired;
}

double
FairQueue::tokensAhead(const RowKey& flow,
                       std::int64_t priority,
                       std::int64_t weight) const
{
  double tokensBefore = 0;
  for (const auto& [other, priorityClass] : mClasses) {
    if (other < priority) {
      tokensBefore += priorityClass.tokens;
    }
  }
  const auto priorityClass = mClasses.find(priority);
  if (priorityClass == mClasses.end() || priorityClass->second.items == 0) {
    return tokensBefore;
  }
  const auto ownFlow = priorityClass->second.flows.find(flow);
  const double ownTokens =
    ownFlow == priorityClass->second.flows.end() ? 0 : ownFlow->second.tokens;
  // While the flow's own queue is served, each other flow is served in
  // proportion to its weight, but never more than it has queued.
  const auto ownWeight = static_cast<double>(std::max<std::int64_t>(weight, 1));
  tokensBefore += ownTokens;
  for (const auto& [key, other] : priorityClass->second.flows) {
    if (key != flow) {
      tokensBefore +=
        std::min(other.tokens,
                 ownTokens * static_cast<double>(other.weight) / ownWeight);
    }
  }
  return tokensBefore;
}

std::optional<Millis>
FairQueue::observedWait(const RowKey& flow,
                        std::int64_t priority,
                        TimePoint now) const
{
  const auto priorityClass = mClasses.find(priority);
  if (priorityClass == mClasses.end()) {
    return std::nullopt;
  }
  const auto found = priorityClass->second.flows.find(flow);
  if (found == priorityClass->second.flows.end() ||
      !found->second.backloggedSince) {
    return std::nullopt;
  }
  const auto& ownFlow = found->second;
  const double backlogged = seconds(now - *ownFlow.backloggedSince);
  const double window = seconds(mOptions.rateWindow);
  if (backlogged < window / 2) {
    return std::nullopt;
  }
  // After a backlog of duration t, the decayed sum corresponds to a time of
  // window * (1 - exp(-t / window)).
  const double rate = ownFlow.servedTokens * decayFactor(ownFlow, now) /
                      (window * (1 - std::exp(-backlogged / window)));
  const double wait = rate > 0 ? ownFlow.tokens / rate : 1e6;
  return Millis(static_cast<std::int64_t>(std::min(wait, 1e6) * 1000));
}

const QueueItem*
FairQueue::find(std::uint64_t id) const
{
  const auto found = mItems.find(id);
  return found == mItems.end() ? nullptr : &found->second;
}

} // namespace lentilrack::core
