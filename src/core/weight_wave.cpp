#include "core/weight_wave.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace lentilrack::core {

namespace {

std::int64_t
versionOf(const RegisteredServer& server, const std::string& model)
{
  const auto found = server.entry.versions.find(model);
  return found == server.entry.versions.end() ? 0 : found->second;
}

} // namespace

void
WeightWave::setTarget(const std::string& model, std::int64_t version)
{
  auto& target = mTargets[model];
  target = std::max(target, version);
}

void
WeightWave::assign(const std::vector<const RegisteredServer*>& servers,
                   const std::vector<std::string>& models)
{
  std::map<std::string, std::size_t> counts;
  for (const auto& model : models) {
    counts[model] = 0;
  }
  std::vector<const RegisteredServer*> open;
  for (const auto* server : servers) {
    const auto known = mAssigned.find(server->entry.id);
    if (known != mAssigned.end() && counts.contains(known->second)) {
      ++counts[known->second];
      continue;
    }
    // A server that already has newer weights of one model keeps serving it.
    const auto newest = std::ranges::max_element(
      models, {}, [&](const auto& m) { return versionOf(*server, m); });
    const auto oldest = std::ranges::min_element(
      models, {}, [&](const auto& m) { return versionOf(*server, m); });
    if (versionOf(*server, *newest) > versionOf(*server, *oldest)) {
      mAssigned[server->entry.id] = *newest;
      ++counts[*newest];
    } else {
      open.push_back(server);
    }
  }
  // Failure domain by failure domain, so that each model is served in each.
  std::ranges::stable_sort(open, {}, [](const RegisteredServer* server) {
    return std::pair(server->entry.failureDomain, server->entry.id);
  });
  for (const auto* server : open) {
    const auto fewest = std::ranges::min_element(
      models, {}, [&](const auto& model) { return counts[model]; });
    mAssigned[server->entry.id] = *fewest;
    ++counts[*fewest];
  }
}

std::vector<LoadOrder>
WeightWave::plan(
  const std::vector<const RegisteredServer*>& servers,
  const std::map<std::string, std::vector<std::string>>& modelsOfService,
  TimePoint now)
{
  std::erase_if(mLoads, [&](const auto& item) {
    return now - item.second.since > mLimits.longestLoad;
  });
  std::vector<LoadOrder> orders;
  for (const auto& [service, models] : modelsOfService) {
    std::vector<const RegisteredServer*> ofService;
    std::ranges::copy_if(servers,
                         std::back_inserter(ofService),
                         [&](const RegisteredServer* server) {
                           return server->entry.service == service &&
                                  !server->entry.draining && !server->leaving;
                         });
    if (models.empty() || ofService.empty()) {
      continue;
    }
    assign(ofService, models);
    const auto share = static_cast<std::size_t>(
      std::floor(mLimits.shareAtOnce * static_cast<double>(ofService.size())));
    const auto most = std::max(mLimits.fewest, share);
    auto loading = static_cast<std::size_t>(
      std::ranges::count_if(ofService, [&](const RegisteredServer* server) {
        return mLoads.contains(server->entry.id);
      }));
    // Servers that are furthest behind block work first.
    const auto behind = [&](const RegisteredServer* server) {
      const auto& model = mAssigned[server->entry.id];
      return mTargets[model] - versionOf(*server, model);
    };
    std::ranges::stable_sort(ofService, std::greater<>(), behind);
    for (const auto* server : ofService) {
      const auto& id = server->entry.id;
      const auto retryAt = mRetryAt.find(id);
      const bool mustWait = retryAt != mRetryAt.end() && now < retryAt->second;
      if (loading >= most || behind(server) <= 0) {
        break;
      }
      if (mustWait || mLoads.contains(id)) {
        continue;
      }
      const auto& model = mAssigned[id];
      orders.push_back({ server->entry, model, mTargets[model] });
      ++loading;
    }
  }
  return orders;
}

void
WeightWave::begun(const LoadOrder& order, TimePoint now)
{
  mLoads[order.server.id] = { order, now };
  mRetryAt.erase(order.server.id);
}

void
WeightWave::refused(const LoadOrder& order, TimePoint now)
{
  mRetryAt[order.server.id] = now + mLimits.retryPause;
}

void
WeightWave::finished(const std::string& serverId)
{
  mLoads.erase(serverId);
}

std::vector<WeightWave::Load>
WeightWave::loads() const
{
  std::vector<Load> result;
  std::ranges::copy(mLoads | std::views::values, std::back_inserter(result));
  return result;
}

} // namespace lentilrack::core
