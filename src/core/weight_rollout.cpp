#include "core/weight_rollout.h"

#include <algorithm>
#include <set>

namespace lentilrack::core {

namespace {

constexpr std::int64_t kMinWaveDivisor = 8;
constexpr Millis kInitialBackoff{ 200 };
constexpr Millis kMaxBackoff{ 30'000 };
// A report that names an older version than the one last loaded is ignored for
// this time after the load, since load reports of engines may be several
// seconds old.
constexpr Millis kMaxReportLag{ 15'000 };

} // namespace

std::int64_t
idleShareWaveSize(const WaveStatus& status)
{
  const auto minSize = (status.servers + kMinWaveDivisor - 1) / kMinWaveDivisor;
  if (status.slots <= 0) {
    return minSize;
  }
  const auto idle = std::max<std::int64_t>(0, status.slots - status.running);
  return std::max(minSize, status.servers * idle / status.slots);
}

std::int64_t
fullWaveSize(const WaveStatus& status)
{
  return status.servers;
}

Millis
loadBackoff(std::int64_t failures, double random)
{
  const auto doublings = std::clamp<std::int64_t>(failures - 1, 0, 10);
  const auto full = std::min(kMaxBackoff, kInitialBackoff * (1 << doublings));
  return Millis(static_cast<std::int64_t>(static_cast<double>(full.count()) *
                                          (0.5 + random / 2)));
}

WeightRolloutPolicy
defaultWeightRolloutPolicy()
{
  return { idleShareWaveSize, loadBackoff };
}

WeightRolloutPolicy
baselineWeightRolloutPolicy()
{
  return { fullWaveSize, loadBackoff };
}

WeightRollout::WeightRollout(WeightRolloutPolicy policy)
  : mPolicy(std::move(policy))
{
}

bool
WeightRollout::announce(const std::string& model, std::int64_t version)
{
  const auto [found, added] = mTargets.try_emplace(model, version);
  if (!added && version <= found->second) {
    return false;
  }
  found->second = version;
  for (auto& [id, server] : mServers) {
    const auto state = server.models.find(model);
    if (state != server.models.end()) {
      state->second.failures = 0;
      state->second.notBefore = TimePoint();
    }
  }
  return true;
}

std::optional<std::int64_t>
WeightRollout::target(const std::string& model) const
{
  const auto found = mTargets.find(model);
  return found == mTargets.end() ? std::nullopt : std::optional(found->second);
}

void
WeightRollout::applyReport(ModelState& state,
                           std::optional<std::int64_t> reported,
                           TimePoint now)
{
  if (!reported) {
    return;
  }
  const bool isOlder = state.version && *reported < *state.version;
  if (isOlder && state.confirmedAt &&
      now - *state.confirmedAt < kMaxReportLag) {
    return;
  }
  state.version = reported;
}

void
WeightRollout::setServers(const std::vector<RolloutServer>& servers,
                          TimePoint now)
{
  std::set<std::string> owned;
  for (const auto& server : servers) {
    owned.insert(server.id);
    auto& state = mServers[server.id];
    state.owned = true;
    state.running = server.running;
    state.slots = server.slots;
    for (const auto& model : server.models) {
      const auto report = server.versions.find(model);
      applyReport(state.models[model],
                  report == server.versions.end()
                    ? std::nullopt
                    : std::optional(report->second),
                  now);
    }
    std::erase_if(state.models, [&](const auto& entry) {
      return std::ranges::find(server.models, entry.first) ==
             server.models.end();
    });
  }
  for (auto& [id, state] : mServers) {
    state.owned = owned.contains(id);
  }
  std::erase_if(mServers, [](const auto& entry) {
    return !entry.second.owned && entry.second.loading.empty();
  });
}

bool
WeightRollout::isBehind(const std::string& model, const ModelState& state) const
{
  const auto targetVersion = target(model);
  return targetVersion && (!state.version || *state.version < *targetVersion);
}

WaveStatus
WeightRollout::waveStatus(const std::string& model) const
{
  WaveStatus status;
  for (const auto& [id, server] : mServers) {
    if (!server.owned || !server.models.contains(model)) {
      continue;
    }
    ++status.servers;
    status.loading += server.loading.empty() ? 0 : 1;
    status.slots += server.slots;
    status.running += server.running;
  }
  return status;
}

std::vector<std::string>
WeightRollout::candidates(const std::string& model, TimePoint now) const
{
  std::vector<std::pair<std::int64_t, std::string>> found;
  for (const auto& [id, server] : mServers) {
    const auto state = server.models.find(model);
    const bool isFree = server.owned && server.loading.empty();
    if (isFree && state != server.models.end() &&
        isBehind(model, state->second) && state->second.notBefore <= now) {
      found.emplace_back(server.running, id);
    }
  }
  // The least busy servers load first: a server gets no new work while it
  // loads, and a server with little work loses the least by that.
  std::ranges::sort(found);
  std::vector<std::string> ids;
  std::ranges::transform(found, std::back_inserter(ids), [](const auto& pair) {
    return pair.second;
  });
  return ids;
}

std::vector<WeightSwap>
WeightRollout::next(TimePoint now)
{
  std::vector<WeightSwap> swaps;
  for (const auto& [model, version] : mTargets) {
    const auto status = waveStatus(model);
    auto room = mPolicy.waveSize(status) - status.loading;
    for (const auto& id : candidates(model, now)) {
      if (room-- <= 0) {
        break;
      }
      mServers.at(id).loading = model;
      swaps.push_back({ id, model, version });
    }
  }
  return swaps;
}

void
WeightRollout::finished(const WeightSwap& swap,
                        bool succeeded,
                        TimePoint now,
                        double random)
{
  const auto found = mServers.find(swap.server);
  if (found == mServers.end()) {
    return;
  }
  auto& server = found->second;
  server.loading.clear();
  if (!server.owned) {
    mServers.erase(found);
    return;
  }
  const auto model = server.models.find(swap.model);
  if (model == server.models.end()) {
    return;
  }
  auto& state = model->second;
  if (!succeeded) {
    ++state.failures;
    state.notBefore = now + mPolicy.backoff(state.failures, random);
    return;
  }
  state.failures = 0;
  if (!state.version || swap.version >= *state.version) {
    state.version = swap.version;
    state.confirmedAt = now;
  }
}

std::optional<std::int64_t>
WeightRollout::version(const std::string& server,
                       const std::string& model) const
{
  const auto found = mServers.find(server);
  if (found == mServers.end()) {
    return std::nullopt;
  }
  const auto state = found->second.models.find(model);
  return state == found->second.models.end() ? std::nullopt
                                             : state->second.version;
}

std::optional<TimePoint>
WeightRollout::nextRetry() const
{
  std::optional<TimePoint> earliest;
  for (const auto& [id, server] : mServers) {
    for (const auto& [model, state] : server.models) {
      const bool isWaiting = server.owned && server.loading.empty() &&
                             state.failures > 0 && isBehind(model, state);
      if (isWaiting && (!earliest || state.notBefore < *earliest)) {
        earliest = state.notBefore;
      }
    }
  }
  return earliest;
}

std::int64_t
WeightRollout::countLoading() const
{
  return std::ranges::count_if(
    mServers, [](const auto& entry) { return !entry.second.loading.empty(); });
}

std::int64_t
WeightRollout::countBehind() const
{
  std::int64_t count = 0;
  for (const auto& [id, server] : mServers) {
    if (server.owned) {
      count += std::ranges::count_if(server.models, [this](const auto& entry) {
        return isBehind(entry.first, entry.second);
      });
    }
  }
  return count;
}

} // namespace lentilrack::core
