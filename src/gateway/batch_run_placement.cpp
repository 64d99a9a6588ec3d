#include "core/scheduling/group_order.h"
#include "gateway/batch_run.h"

#include <algorithm>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using core::TimePoint;

/// Waiting items that are considered for a free slot. Bounds the processor time
/// of a batch with many groups.
constexpr std::size_t kMaxPlacementTries = 8;
/// Approximate size of a token of a prompt.
constexpr double kBytesPerToken = 4;
/// A body may refer to a prompt that it does not contain.
constexpr double kMinPromptTokens = 250;

} // namespace

core::ServerRequirements
BatchRun::slotRequirements(std::string service) const
{
  core::ServerRequirements requirements;
  requirements.service = std::move(service);
  requirements.model = mSpec->model;
  requirements.minVersion = mSpec->minVersion;
  requirements.freeSlotOnly = true;
  requirements.permitPriority = core::PermitPriority::Background;
  return requirements;
}

core::PlacedItem
BatchRun::placedItem(std::size_t item) const
{
  const auto bytes = static_cast<double>(mSpec->items[item].body.size());
  return mProgress.placedItem(
    item,
    mItemStates[item].text.lastNumber(),
    std::max(kMinPromptTokens, bytes / kBytesPerToken));
}

core::RegisteredServer*
BatchRun::chooseServer(const core::WaitingItem& waiting,
                       const core::PlacedItem& placed,
                       const std::string& service,
                       TimePoint now)
{
  auto requirements = slotRequirements(service);
  requirements.preferredServer = mItemStates[waiting.item].moveTarget;
  requirements.leavesSlotsFree = waiting.isSpare;
  requirements.cost = [&](const core::RegisteredServer& server, double median) {
    return core::placementCost(
      placed, server, mPrompts, mContext.settings.failureDomain, median);
  };
  return mContext.registry.choose(requirements, now, mContext.uniformRandom());
}

core::FairShare*
BatchRun::slotShare()
{
  return mSpec->organisation.empty() ? nullptr
                                     : &mContext.slotShares[mSpec->model];
}

int
BatchRun::sharePriority() const
{
  const auto* batchRoute = route();
  const int routePriority = batchRoute != nullptr ? batchRoute->priority : 0;
  const auto* organisations =
    mContext.desired ? mContext.desired->organisations() : nullptr;
  const auto* organisation = organisations != nullptr
                               ? organisations->findByName(mSpec->organisation)
                               : nullptr;
  return organisation != nullptr
           ? organisation->priority.value_or(routePriority)
           : routePriority;
}

bool
BatchRun::startNextItem()
{
  const auto now = Clock::now();
  const auto* batchRoute = route();
  auto* share = slotShare();
  if (batchRoute == nullptr ||
      (share != nullptr &&
       !share->mayStart(mSpec->organisation, sharePriority(), now))) {
    return false;
  }
  const auto service = batchRoute->pickService(mContext.uniformRandom());
  const bool mayStartSpare = unixNow() - mSubmittedAt >= core::kSpareGroupDelay;
  std::optional<std::size_t> item;
  const core::RegisteredServer* server = nullptr;
  std::size_t tried = 0;
  for (const auto& waiting : mProgress.waitingItems(now)) {
    const bool isOutOfTurn =
      waiting.isSpare && (item.has_value() || !mayStartSpare);
    if (isOutOfTurn || ++tried > kMaxPlacementTries) {
      break;
    }
    const auto placed = placedItem(waiting.item);
    const auto* best = chooseServer(waiting, placed, service, now);
    if (best == nullptr) {
      if (share != nullptr) {
        share->recordWaiting(mSpec->organisation, sharePriority(), now);
      }
      break;
    }
    // A permit of a server that states a rate must not be left unused.
    const bool isGood =
      best->statedRate ||
      best->entry.id == mItemStates[waiting.item].moveTarget ||
      core::isGoodPlace(placed, *best, mPrompts);
    if (!item || isGood) {
      item = waiting.item;
      server = best;
    }
    if (isGood) {
      break;
    }
  }
  if (!item) {
    return false;
  }
  startItem(*item, server->entry, now);
  return true;
}

void
BatchRun::startItem(std::size_t item,
                    const core::ServerEntry& server,
                    TimePoint now)
{
  mPrompts.recordStart(mSpec->items[item].group, server);
  mProgress.markRunning(item);
  auto& run = mItemStates[item];
  run.cancel = std::make_shared<net::CancelSignal>();
  run.server = server;
  run.moveTarget.clear();
  run.isGenerating = true;
  run.startedAt = now;
  run.lastActivity = now;
  run.eventsInRun = 0;
  if (auto* share = slotShare()) {
    run.chargedTime = share->runStarted(mSpec->organisation, now);
  }
  mContext.registry.requestStarted(server);
  net::spawn(mContext.io, runItem(item, server), shared_from_this());
}

void
BatchRun::releaseSlot(std::size_t item, const core::ServerEntry& server)
{
  mContext.registry.requestEnded(server);
  if (auto* share = slotShare()) {
    const auto& run = mItemStates[item];
    share->runEnded(
      mSpec->organisation,
      run.chargedTime,
      std::chrono::duration_cast<Millis>(Clock::now() - run.startedAt));
  }
}

void
BatchRun::recordPrompt(std::size_t item, const core::ServerEntry& server)
{
  const auto* state = mContext.registry.find(server.id, server.startedAt);
  if (state != nullptr) {
    mPrompts.recordStart(mSpec->items[item].group, state->entry);
  }
}

} // namespace lentilrack::gateway
