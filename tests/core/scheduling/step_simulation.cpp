#include "step_simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace lentilrack::core {

namespace {

constexpr double kMillisPerEvent = 40;
const TimePoint kStart = TimePoint() + std::chrono::hours(1);

Clock::duration
fromMillis(double millis)
{
  return std::chrono::duration_cast<Clock::duration>(
    std::chrono::duration<double, std::milli>(millis));
}

} // namespace

StepSimulation::StepSimulation(Setup setup)
  : mSetup(std::move(setup))
  , mBatchRandom(mSetup.seed)
  , mRandom(mSetup.seed)
{
  std::vector<ServerEntry> entries;
  for (int i = 0; i < mSetup.servers; ++i) {
    ServerEntry entry;
    entry.id = fmt::format("s{:02}", i);
    entry.service = "models";
    entry.endpoint = { "127.0.0.1", static_cast<std::uint16_t>(1'000 + i) };
    entry.slots = mSetup.slots;
    entry.versions["m"] = 1;
    const auto pace =
      mSetup.paces[static_cast<std::size_t>(i) % mSetup.paces.size()];
    mPaces[entry.id] = kMillisPerEvent * pace;
    mServers[entry.id] = entry;
    entries.push_back(std::move(entry));
  }
  mRegistry.apply(std::move(entries), kStart);
}

void
StepSimulation::addBatch(TimePoint now)
{
  Batch batch;
  batch.submittedAt = now;
  batch.spec = std::make_shared<BatchSpec>();
  batch.spec->model = "m";
  batch.spec->desiredGroups =
    static_cast<int>(std::ceil(mSetup.desiredShare * mSetup.groups));
  std::lognormal_distribution<double> length(std::log(11.0), 0.6);
  for (int i = 0; i < mSetup.groups * mSetup.itemsOfGroup; ++i) {
    BatchItem item;
    item.id = fmt::format("b{}-i{}", mBatches.size(), i);
    item.group =
      fmt::format("b{}-g{}", mBatches.size(), i / mSetup.itemsOfGroup);
    batch.events.push_back(std::max(2, static_cast<int>(length(mBatchRandom))));
    item.expectedLength =
      batch.events.back() *
      std::uniform_real_distribution<double>(0.6, 1.4)(mBatchRandom);
    batch.spec->items.push_back(std::move(item));
  }
  batch.progress = std::make_unique<BatchProgress>(batch.spec);
  mPrompts += mSetup.groups;
  mBatches.push_back(std::move(batch));
}

void
StepSimulation::start(Batch& batch, const Start& start, TimePoint now)
{
  Run run{
    &batch, start.item, start.server, mPaces.at(start.server), now, now
  };
  batch.progress->markRunning(start.item);
  mRegistry.requestStarted(mServers.at(start.server));
  const auto& group = batch.spec->items[start.item].group;
  if (mPromptsHeld.emplace(group, start.server).second) {
    ++mPromptsRead;
    run.startedAt += fromMillis(mSetup.promptMillis);
    mWork[start.server] += mSetup.promptMillis;
  }
  run.endsAt =
    run.startedAt + fromMillis(batch.events[start.item] * run.millisPerEvent);
  mRuns.push_back(std::move(run));
}

double
StepSimulation::eventsUntil(const Run& run, TimePoint now) const
{
  const std::chrono::duration<double, std::milli> time = now - run.startedAt;
  return std::clamp(std::floor(time.count() / run.millisPerEvent + 0.001),
                    0.0,
                    static_cast<double>(run.batch->events[run.item]));
}

void
StepSimulation::endBatch(Batch& batch, TimePoint now)
{
  batch.duration = std::chrono::duration_cast<Millis>(now - batch.submittedAt);
  for (const auto& run : mRuns) {
    if (run.batch == &batch) {
      const double events = eventsUntil(run, now);
      mProduced += events;
      mDiscarded += events;
      mWork[run.server] += events * run.millisPerEvent;
      mRegistry.requestEnded(mServers.at(run.server));
    }
  }
  std::erase_if(mRuns, [&](const Run& run) { return run.batch == &batch; });
  for (std::size_t i = 0; i < batch.events.size(); ++i) {
    if (batch.progress->isFinished(i) && !batch.progress->isGroupComplete(i)) {
      mDiscarded += batch.events[i];
    }
  }
}

void
StepSimulation::finish(const Run& run, TimePoint now)
{
  auto& batch = *run.batch;
  mRegistry.requestEnded(mServers.at(run.server));
  mRegistry.succeeded(mServers.at(run.server), run.millisPerEvent);
  const double events = batch.events[run.item];
  mProduced += events;
  mWork[run.server] += events * run.millisPerEvent;
  batch.progress->finish(run.item);
  batch.progress->recordLength(batch.events[run.item],
                               batch.spec->items[run.item].expectedLength);
  batch.completeGroups += batch.progress->isGroupComplete(run.item) ? 1 : 0;
  if (batch.completeGroups == batch.spec->desiredGroups) {
    endBatch(batch, now);
  }
}

void
StepSimulation::run(int count, Millis interval, const Policy& policy)
{
  mBatches.reserve(static_cast<std::size_t>(count));
  auto now = kStart;
  auto nextBatchAt = kStart;
  const auto isOpen = [](const Batch& batch) { return !batch.duration; };
  while (std::cmp_less(mBatches.size(), count) ||
         std::ranges::any_of(mBatches, isOpen)) {
    if (std::cmp_less(mBatches.size(), count) && now >= nextBatchAt) {
      addBatch(now);
      nextBatchAt = now + interval;
    }
    for (auto& batch : mBatches) {
      while (isOpen(batch)) {
        const auto next = policy(batch, now);
        if (!next) {
          break;
        }
        start(batch, *next, now);
      }
    }
    const auto first = std::ranges::min_element(mRuns, {}, &Run::endsAt);
    const bool isSubmission =
      std::cmp_less(mBatches.size(), count) &&
      (first == mRuns.end() || nextBatchAt < first->endsAt);
    if (!isSubmission && first == mRuns.end()) {
      return;
    }
    now = isSubmission ? nextBatchAt : first->endsAt;
    if (!isSubmission) {
      const auto ended = *first;
      mRuns.erase(first);
      finish(ended, now);
    }
  }
}

double
StepSimulation::meanDuration() const
{
  const double sum = std::accumulate(
    mBatches.begin(), mBatches.end(), 0.0, [](double total, const auto& batch) {
      return total +
             std::chrono::duration<double>(batch.duration.value()).count();
    });
  return sum / static_cast<double>(mBatches.size());
}

double
StepSimulation::busiestToMean() const
{
  double sum = 0;
  double busiest = 0;
  for (const auto& [server, millis] : mWork) {
    sum += millis;
    busiest = std::max(busiest, millis);
  }
  return busiest * static_cast<double>(mServers.size()) / sum;
}

} // namespace lentilrack::core
