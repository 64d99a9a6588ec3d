#include "core/scheduling/model_allocation.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace lentilrack::core {

namespace {

/// A step earns its full value until this time after its submission, and a
/// smaller one until the second time.
constexpr Millis kDueTime{ 7'500 };
constexpr Millis kLateTime{ 12'000 };
/// Work that is due earlier is treated as due after this time. A server that is
/// moved loads weights for 0.9 s and starts with a cold prompt cache, so a move
/// does not help such work.
constexpr Millis kMinHorizon{ 2'000 };
/// Part of a step that counts as left while it is open, however long that is.
constexpr double kMinRemainingShare = 0.1;
/// The rate of a server is the highest one of the recent steps, since servers
/// without enough work have a lower one. It falls by this factor with each
/// step.
constexpr double kRateDecay = 0.98;
/// The demand is raised only if a step needs this much more than the long-term
/// demand, and to this multiple of it at most. A wrong estimate must not take
/// the servers of the others.
constexpr double kMinRaise = 1.2;
constexpr double kMaxRaise = 2;
/// Time constant with which a raised demand falls. The servers would otherwise
/// move back at once, and each move costs a load.
constexpr std::chrono::duration<double> kRaiseDecay{ 8 };

double
seconds(Millis time)
{
  return std::chrono::duration<double>(time).count();
}

} // namespace

void
ModelAllocation::countWork(const Servers& servers, double seconds)
{
  std::vector<Step*> byAge;
  for (auto& [id, step] : mSteps) {
    byAge.push_back(&step);
  }
  std::ranges::stable_sort(byAge, {}, &Step::submittedAt);
  std::map<std::string, double> work;
  for (const auto& [model, count] : servers) {
    work[model] = mServerRate * static_cast<double>(count) * seconds;
  }
  for (auto* step : byAge) {
    const auto count = servers.find(step->model);
    if (count == servers.end()) {
      continue;
    }
    step->serverSeconds += static_cast<double>(count->second) * seconds;
    auto& left = work[step->model];
    const double minRemaining = kMinRemainingShare * step->tokens;
    const double done =
      std::clamp(step->remainingTokens - minRemaining, 0.0, left);
    step->remainingTokens -= done;
    left -= done;
  }
}

void
ModelAllocation::update(const std::vector<RecentBatch>& steps,
                        const Servers& servers,
                        Millis now)
{
  mServers = 0;
  for (const auto& [model, count] : servers) {
    mServers += count;
  }
  if (mUpdatedAt != Millis(0)) {
    countWork(servers, std::max(0.0, seconds(now - mUpdatedAt)));
  }
  mUpdatedAt = now;
  std::set<std::string> open;
  for (const auto& state : steps) {
    const auto age = now - state.submittedAt;
    if (!state.isOpen || state.expectedTokens <= 0 || age > kLateTime) {
      continue;
    }
    open.insert(state.id);
    // A step that a new leader finds has been worked on before.
    const double share =
      std::clamp(1 - seconds(age) / seconds(kDueTime), kMinRemainingShare, 1.0);
    mSteps.try_emplace(state.id,
                       Step{ state.model,
                             state.expectedTokens,
                             share * state.expectedTokens,
                             state.submittedAt });
  }
  std::erase_if(mSteps, [&](const auto& entry) {
    const auto& step = entry.second;
    if (open.contains(entry.first)) {
      return false;
    }
    const bool isWhole =
      now - step.submittedAt <= kLateTime &&
      step.serverSeconds > 0.5 * seconds(now - step.submittedAt);
    if (isWhole) {
      mServerRate =
        std::max(kRateDecay * mServerRate, step.tokens / step.serverSeconds);
    }
    return true;
  });
}

ModelAllocation::Demand
ModelAllocation::requiredRates(Millis now) const
{
  std::map<std::string, std::vector<Step>> stepsByModel;
  for (const auto& [id, step] : mSteps) {
    stepsByModel[step.model].push_back(step);
  }
  Demand rates;
  const double fleetRate = mServerRate * static_cast<double>(mServers);
  for (auto& [model, steps] : stepsByModel) {
    std::ranges::stable_sort(steps, {}, &Step::submittedAt);
    double work = 0;
    for (const auto& step : steps) {
      work += step.remainingTokens;
      // A step that even all servers cannot complete in time gets what it needs
      // to be late, so that it does not make other steps late too.
      const auto timeLeft = step.submittedAt + kDueTime - now;
      const bool isLost = work > fleetRate * std::max(0.0, seconds(timeLeft));
      const auto horizon =
        isLost ? step.submittedAt + kLateTime - now : timeLeft;
      rates[model] =
        std::max(rates[model], work / seconds(std::max(horizon, kMinHorizon)));
    }
  }
  return rates;
}

ModelAllocation::Demand
ModelAllocation::demand(const Demand& longTerm, Millis now)
{
  const double elapsed = std::max(0.0, seconds(now - mRatesAt));
  mRatesAt = now;
  const auto required = mServerRate > 0 ? requiredRates(now) : Demand{};
  auto result = longTerm;
  for (auto& [model, rate] : result) {
    const auto found = required.find(model);
    const double needed = found == required.end() ? 0 : found->second;
    auto& recent = mRecentRates[model];
    recent =
      std::max(needed, recent * std::exp(-elapsed / kRaiseDecay.count()));
    if (recent > kMinRaise * rate) {
      rate = std::min(recent, kMaxRaise * rate);
    }
  }
  std::erase_if(mRecentRates, [&](const auto& entry) {
    return !longTerm.contains(entry.first);
  });
  return result;
}

double
ModelAllocation::fairness(const Servers& servers, const Demand& demand)
{
  double sum = 0;
  double squares = 0;
  std::size_t count = 0;
  for (const auto& [model, rate] : demand) {
    const auto found = servers.find(model);
    if (rate > 0 && found != servers.end()) {
      const double share = static_cast<double>(found->second) / rate;
      sum += share;
      squares += share * share;
      ++count;
    }
  }
  return squares > 0 ? sum * sum / (static_cast<double>(count) * squares) : 1;
}

} // namespace lentilrack::core
