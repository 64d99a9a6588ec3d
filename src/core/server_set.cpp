#include "core/server_set.h"

#include <algorithm>
#include <cmath>

namespace lentilrack::core {

std::int64_t
ServerState::limit() const
{
  return std::min(server.slots,
                  static_cast<std::int64_t>(std::floor(slowStartLimit)));
}

bool
ServerState::isLeaving(TimePoint now) const
{
  return server.leaving || !inList || reportedLeaving || refusedUntil > now;
}

bool
ServerState::isOpen(TimePoint now) const
{
  return owned && holdCount == 0 && !isLeaving(now);
}

bool
ServerState::serves(const std::string& target) const
{
  if (server.role == ServerRole::Service) {
    return server.service == target;
  }
  return server.role == ServerRole::Engine &&
         std::ranges::find(server.models, target) != server.models.end();
}

ServerSet::ServerSet(ServerSetOptions options)
  : mOptions(options)
{
}

void
ServerSet::update(const std::vector<BackendServer>& list,
                  const OwnershipTest& owned,
                  TimePoint now)
{
  for (auto& state : mServers) {
    state.inList = false;
  }
  for (const auto& server : list) {
    if (server.role != ServerRole::Engine &&
        server.role != ServerRole::Service) {
      continue;
    }
    const bool isOwned = owned(server);
    auto* state = findMutable(server.id);
    if (state == nullptr) {
      if (!isOwned) {
        continue;
      }
      mIndex[server.id] = mServers.size();
      state = &mServers.emplace_back();
    }
    if (state->server.endpoint != server.endpoint) {
      // Another server process has taken over the identifier, so the reports of
      // the old process no longer apply.
      state->reportedLeaving = false;
      state->report.reset();
      state->versions.clear();
      state->statedRate.reset();
      state->nextPermitAt = {};
    }
    state->server = server;
    state->server.slots = std::max<std::int64_t>(server.slots, 1);
    state->inList = true;
    if (isOwned && !state->owned) {
      state->slowStartLimit = mOptions.initialSlowStartLimit;
      state->ownedSince = now;
    }
    state->owned = isOwned;
  }
  for (auto& state : mServers) {
    state.owned = state.owned && state.inList;
  }
  rebuildIndexes();
  advance(now);
}

void
ServerSet::applyReport(const std::string& id, ServerReport report)
{
  auto* state = findMutable(id);
  if (state == nullptr ||
      (state->report && state->report->observedAt > report.observedAt)) {
    return;
  }
  state->reportedLeaving = report.leaving;
  if (report.observedAt >= state->versionsSetAt) {
    state->versions = report.models;
  }
  const bool isUnexplained =
    !report.leaving && report.observedAt > state->refusedAt;
  if (isUnexplained && state->refusals == 1) {
    state->refusedUntil = {};
  }
  state->report = std::move(report);
  updateSlotState(*state);
}

void
ServerSet::recordRefusal(const std::string& id, TimePoint now)
{
  if (auto* state = findMutable(id)) {
    ++state->refusals;
    state->refusedAt = now;
    state->refusedUntil = now + mOptions.refusalBackoff;
    updateSlotState(*state);
  }
}

void
ServerSet::markLeaving(const std::string& id)
{
  if (auto* state = findMutable(id)) {
    state->reportedLeaving = true;
    updateSlotState(*state);
  }
}

void
ServerSet::setVersion(const std::string& id,
                      const std::string& model,
                      std::int64_t version,
                      TimePoint now)
{
  if (auto* state = findMutable(id)) {
    auto& current = state->versions[model];
    current = std::max(current, version);
    state->versionsSetAt = now;
  }
}

bool
ServerSet::hold(const std::string& id)
{
  auto* state = findMutable(id);
  if (state == nullptr) {
    return false;
  }
  ++state->holdCount;
  updateSlotState(*state);
  return true;
}

void
ServerSet::release(const std::string& id)
{
  auto* state = findMutable(id);
  if (state != nullptr && state->holdCount > 0) {
    --state->holdCount;
    updateSlotState(*state);
  }
}

bool
ServerSet::requestPermit(ServerState& state,
                         PermitPriority priority,
                         TimePoint now)
{
  const auto decision = mRates.request(
    state.server.id, state.statedRate.value_or(0), "", priority, now);
  state.nextPermitAt = now + decision.nextInteractive;
  updateSlotState(state);
  return decision.isGranted;
}

void
ServerSet::recordStatedRate(const Endpoint& endpoint,
                            std::optional<double> rate,
                            TimePoint now)
{
  auto* state = findMutable(endpoint);
  if (state == nullptr) {
    return;
  }
  const bool isNew = rate && !state->statedRate;
  state->statedRate = rate;
  state->rateStatedAt = now;
  if (isNew) {
    // Starts the allocation. The request that has just been answered counts as
    // its first one.
    requestPermit(*state, PermitPriority::Interactive, now);
  } else if (!rate) {
    mRates.remove(state->server.id);
    state->nextPermitAt = {};
    updateSlotState(*state);
  }
}

bool
ServerSet::takePermit(const Endpoint& endpoint, TimePoint now)
{
  auto* state = findMutable(endpoint);
  return state == nullptr || !state->statedRate ||
         requestPermit(*state, PermitPriority::Background, now);
}

Millis
ServerSet::rateWait(const std::string& target,
                    std::size_t requests,
                    TimePoint now) const
{
  double rate = 0;
  auto first = TimePoint::max();
  for (const auto index : serving(target)) {
    const auto& state = at(index);
    if (!state.isOpen(now)) {
      continue;
    }
    if (!state.statedRate) {
      return Millis(0);
    }
    // The allocator grants permits at this rate even if the server states less.
    rate += std::max(*state.statedRate, RateAllocatorOptions().minRate);
    first = std::min(first, state.nextPermitAt);
  }
  if (first == TimePoint::max()) {
    return Millis(0);
  }
  const std::chrono::duration<double> queue(static_cast<double>(requests - 1) /
                                            rate);
  return std::chrono::duration_cast<Millis>(
    std::max(first, now) - now + std::chrono::duration_cast<Millis>(queue));
}

void
ServerSet::started(const std::string& id, bool isLong, TimePoint now)
{
  if (auto* state = findMutable(id)) {
    if (state->statedRate) {
      requestPermit(*state, PermitPriority::Interactive, now);
    }
    ++state->running;
    state->runningLong += isLong ? 1 : 0;
    updateSlotState(*state);
  }
}

void
ServerSet::markRunLong(const std::string& id)
{
  if (auto* state = findMutable(id)) {
    ++state->runningLong;
    updateSlotState(*state);
  }
}

void
ServerSet::finished(const std::string& id, bool wasLong, bool succeeded)
{
  auto* state = findMutable(id);
  if (state == nullptr) {
    return;
  }
  state->running = std::max<std::int64_t>(state->running - 1, 0);
  if (wasLong) {
    state->runningLong = std::max<std::int64_t>(state->runningLong - 1, 0);
  }
  if (succeeded) {
    state->slowStartLimit += 1;
    state->refusals = 0;
  }
  updateSlotState(*state);
}

void
ServerSet::advance(TimePoint now)
{
  for (auto& state : mServers) {
    if (now - state.ownedSince >= mOptions.slowStartTime) {
      state.slowStartLimit =
        std::max(state.slowStartLimit, static_cast<double>(state.server.slots));
      updateSlotState(state);
    }
  }
  const auto removed = std::erase_if(mServers, [](const ServerState& state) {
    return !state.owned && state.running == 0;
  });
  if (removed > 0) {
    rebuildIndexes();
  }
}

void
ServerSet::rebuildIndexes()
{
  mIndex.clear();
  mServing.clear();
  mSlots.assign(mServers.size(), {});
  for (std::size_t i = 0; i < mServers.size(); ++i) {
    const auto& server = mServers[i].server;
    mIndex[server.id] = i;
    updateSlotState(mServers[i]);
    if (server.role == ServerRole::Service) {
      mServing[server.service].push_back(i);
    }
    for (const auto& model : server.models) {
      mServing[model].push_back(i);
    }
  }
  ++mGeneration;
}

void
ServerSet::updateSlotState(const ServerState& state)
{
  const auto index = static_cast<std::size_t>(&state - mServers.data());
  auto& slots = mSlots[index];
  slots.refusedUntil = state.refusedUntil;
  slots.nextPermitAt = state.nextPermitAt;
  slots.limit = static_cast<std::int32_t>(state.limit());
  slots.running = static_cast<std::int32_t>(state.running);
  slots.runningLong = static_cast<std::int32_t>(state.runningLong);
  slots.usable = state.owned && state.holdCount == 0 && !state.server.leaving &&
                 state.inList && !state.reportedLeaving;
}

std::optional<std::size_t>
ServerSet::indexOf(const std::string& id) const
{
  const auto found = mIndex.find(id);
  return found == mIndex.end() ? std::nullopt
                               : std::optional<std::size_t>(found->second);
}

ServerState*
ServerSet::findMutable(const std::string& id)
{
  const auto found = mIndex.find(id);
  return found == mIndex.end() ? nullptr : &mServers[found->second];
}

ServerState*
ServerSet::findMutable(const Endpoint& endpoint)
{
  const auto found =
    std::ranges::find_if(mServers, [&](const ServerState& state) {
      return state.server.endpoint == endpoint;
    });
  return found == mServers.end() ? nullptr : &*found;
}

const ServerState*
ServerSet::find(const std::string& id) const
{
  const auto found = mIndex.find(id);
  return found == mIndex.end() ? nullptr : &mServers[found->second];
}

const std::vector<std::size_t>&
ServerSet::serving(const std::string& target) const
{
  static const std::vector<std::size_t> kNone;
  const auto found = mServing.find(target);
  return found == mServing.end() ? kNone : found->second;
}

std::vector<const ServerState*>
ServerSet::owned() const
{
  std::vector<const ServerState*> result;
  for (const auto& state : mServers) {
    if (state.owned) {
      result.push_back(&state);
    }
  }
  return result;
}

std::vector<const ServerState*>
ServerSet::ownedEngines() const
{
  auto result = owned();
  std::erase_if(result, [](const ServerState* state) {
    return state->server.role != ServerRole::Engine;
  });
  return result;
}

std::vector<std::string>
ServerSet::targets() const
{
  std::vector<std::string> names;
  for (const auto& [name, servers] : mServing) {
    names.push_back(name);
  }
  return names;
}

} // namespace lentilrack::core
