#include "core/server_health.h"

#include <algorithm>
#include <cmath>

namespace lentilrack::core {

namespace {

double
seconds(Clock::duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

} // namespace

ServerHealth::ServerHealth(ServerHealthOptions options)
  : mOptions(options)
{
}

void
ServerHealth::decaySums(Server& server, TimePoint now) const
{
  const double elapsed = std::max(0.0, seconds(now - server.decayedAt));
  const double timeConstant = seconds(mOptions.rateTimeConstant);
  const double decay = std::exp(-elapsed / timeConstant);
  server.tokens *= decay;
  // The sum of slot-seconds is the integral of the number of running requests
  // over time, in which older times count exponentially less. The number has
  // not changed since `decayedAt`, so the integral over the elapsed time is
  // running * timeConstant * (1 - exp(-elapsed / timeConstant)).
  server.slotSeconds =
    server.slotSeconds * decay +
    static_cast<double>(server.running) * timeConstant * (1 - decay);
  server.decayedAt = now;
}

void
ServerHealth::started(const std::string& server, TimePoint now)
{
  auto& state = mServers[server];
  decaySums(state, now);
  ++state.running;
  state.lastActiveAt = now;
  if (state.failures >= mOptions.failuresUntilDown) {
    ++state.activeProbes;
  }
}

void
ServerHealth::progress(const std::string& server, double tokens, TimePoint now)
{
  auto& state = mServers[server];
  decaySums(state, now);
  state.tokens += tokens;
}

void
ServerHealth::finished(const std::string& server, TimePoint now)
{
  auto& state = mServers[server];
  decaySums(state, now);
  state.running = std::max<std::int64_t>(state.running - 1, 0);
  state.lastActiveAt = now;
  state.activeProbes = std::max<std::int64_t>(state.activeProbes - 1, 0);
}

void
ServerHealth::succeeded(const std::string& server)
{
  mServers[server].failures = 0;
}

void
ServerHealth::failed(const std::string& server, TimePoint now)
{
  auto& state = mServers[server];
  // While a server is down, failures before its next probe come from runs that
  // were in progress and fail together. They are not counted again.
  if (state.failures >= mOptions.failuresUntilDown && now < state.retryAt) {
    return;
  }
  ++state.failures;
  const int doublings =
    std::clamp(state.failures - mOptions.failuresUntilDown, 0, 10);
  state.retryAt = now + std::min(mOptions.maxBackoff,
                                 mOptions.initialBackoff * (1 << doublings));
}

void
ServerHealth::removeServer(const std::string& server)
{
  mServers.erase(server);
}

double
ServerHealth::rateOf(const Server& server, TimePoint now) const
{
  auto copy = server;
  decaySums(copy, now);
  return copy.slotSeconds < mOptions.minSlotSeconds
           ? 0
           : copy.tokens / copy.slotSeconds;
}

void
ServerHealth::compare(const std::vector<std::string>& peers,
                      TimePoint now,
                      bool adjustShares)
{
  std::vector<std::pair<double, Server*>> ratedServers;
  std::size_t ejected = 0;
  for (const auto& name : peers) {
    auto& server = mServers[name];
    if (server.failures >= mOptions.failuresUntilDown) {
      ++ejected;
    }
    decaySums(server, now);
    if (server.slotSeconds >= mOptions.minSlotSeconds) {
      ratedServers.emplace_back(server.tokens / server.slotSeconds, &server);
    }
  }
  // With fewer than three servers, no majority shows which one is slow.
  if (ratedServers.size() < 3) {
    for (const auto& [rate, server] : ratedServers) {
      server->peerRate = rate;
    }
    return;
  }
  std::ranges::sort(
    ratedServers, {}, [](const auto& entry) { return entry.first; });
  const double median = ratedServers[ratedServers.size() / 2].first;
  const auto maxEjected = static_cast<std::size_t>(std::floor(
    mOptions.maxEjectedFraction * static_cast<double>(peers.size())));
  for (const auto& name : peers) {
    mServers[name].peerRate = median;
  }
  if (median <= 0 || !adjustShares) {
    return;
  }
  for (const auto& [rate, server] : ratedServers) {
    const double ratio = rate / median;
    server->isSlow = ratio < (server->isSlow ? mOptions.recoveredThreshold
                                             : mOptions.slowThreshold);
    // The slowest servers come first, so that the limit spares the faster ones.
    const bool canEject = server->isSlow && ejected < maxEjected;
    ejected += canEject ? 1 : 0;
    server->share = canEject ? std::max(ratio, mOptions.minSlowShare) : 1;
  }
}

double
ServerHealth::share(const std::string& server) const
{
  const auto* state = find(server);
  return state == nullptr ? 1 : state->share;
}

std::int64_t
ServerHealth::usableSlots(const std::string& server,
                          std::int64_t limit,
                          TimePoint now) const
{
  const auto* state = find(server);
  if (state == nullptr || state->share >= 1) {
    return limit;
  }
  if (state->share >= mOptions.probeOnlyShare) {
    return std::max<std::int64_t>(
      1,
      static_cast<std::int64_t>(
        std::floor(static_cast<double>(limit) * state->share)));
  }
  const bool isProbeDue = now - state->lastActiveAt >= mOptions.probeInterval;
  return state->running == 0 && isProbeDue ? 1 : 0;
}

bool
ServerHealth::isAvailable(const std::string& server, TimePoint now) const
{
  const auto* state = find(server);
  return state == nullptr || state->failures < mOptions.failuresUntilDown ||
         (now >= state->retryAt && state->activeProbes == 0);
}

bool
ServerHealth::isDown(const std::string& server) const
{
  const auto* state = find(server);
  return state != nullptr && state->failures >= mOptions.failuresUntilDown;
}

double
ServerHealth::streamRate(const std::string& server, TimePoint now) const
{
  const auto* state = find(server);
  return state == nullptr ? 0 : rateOf(*state, now);
}

double
ServerHealth::peerRate(const std::string& server) const
{
  const auto* state = find(server);
  return state == nullptr ? 0 : state->peerRate;
}

const ServerHealth::Server*
ServerHealth::find(const std::string& server) const
{
  const auto found = mServers.find(server);
  return found == mServers.end() ? nullptr : &found->second;
}

} // namespace lentilrack::core
