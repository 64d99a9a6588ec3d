#include "core/weight_load_planner.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace lentilrack::core {

namespace {

/// The weight version that servers start with.
constexpr std::int64_t kFirstVersion = 1;
/// Number of recent loads from which the duration of the next is estimated.
constexpr std::size_t kMaxRecentLoads = 12;
constexpr Millis kMinLoadTime{ 200 };
/// Servers are moved between models only if some model lacks more than this
/// fraction of its servers, because each move costs a load and the demand
/// varies from step to step.
constexpr double kRebalanceThreshold = 0.15;

std::int64_t
versionOf(const RegisteredServer& server, const std::string& model)
{
  const auto found = server.entry.versions.find(model);
  return found == server.entry.versions.end() ? 0 : found->second;
}

} // namespace

void
WeightLoadPlanner::setTarget(const std::string& model, std::int64_t version)
{
  auto& target = mTargetByModel[model];
  target = std::max(target, version);
}

std::int64_t
WeightLoadPlanner::versionsBehind(const RegisteredServer& server,
                                  const std::string& model) const
{
  const auto target = mTargetByModel.find(model);
  return target == mTargetByModel.end()
           ? 0
           : std::max<std::int64_t>(0,
                                    target->second - versionOf(server, model));
}

std::string
WeightLoadPlanner::currentModel(const RegisteredServer& server,
                                const std::vector<std::string>& models) const
{
  std::vector<std::string> loaded;
  std::ranges::copy_if(
    models, std::back_inserter(loaded), [&](const auto& model) {
      return versionOf(server, model) > kFirstVersion;
    });
  // A server that has just started has the newest weights of every model, so
  // its weights do not show which model it has served.
  const bool hasAll =
    loaded.size() > 1 && std::ranges::all_of(models, [&](const auto& model) {
      return versionsBehind(server, model) == 0;
    });
  if (loaded.empty() || hasAll) {
    return "";
  }
  return *std::ranges::min_element(loaded, {}, [&](const auto& model) {
    return std::pair(versionsBehind(server, model), -versionOf(server, model));
  });
}

void
WeightLoadPlanner::assign(const std::vector<const RegisteredServer*>& servers,
                          const std::vector<std::string>& models)
{
  const auto wanted = allocateServers(servers.size(), models, mDemandByModel);
  Counts counts;
  for (const auto& model : models) {
    counts[model] = 0;
  }
  std::vector<const RegisteredServer*> unassigned;
  for (const auto* server : servers) {
    const auto assigned = mModelByServer.find(server->entry.id);
    const bool isAssigned =
      assigned != mModelByServer.end() && counts.contains(assigned->second);
    const auto model =
      isAssigned ? assigned->second : currentModel(*server, models);
    if (model.empty()) {
      unassigned.push_back(server);
      continue;
    }
    mModelByServer[server->entry.id] = model;
    ++counts[model];
  }
  // Servers are assigned one failure domain after the other, so that each model
  // is served in every domain.
  std::ranges::stable_sort(unassigned, {}, [](const RegisteredServer* server) {
    return std::pair(server->entry.failureDomain, server->entry.id);
  });
  for (const auto* server : unassigned) {
    const auto leastServed =
      std::ranges::min_element(models, {}, [&](const auto& model) {
        return static_cast<double>(counts[model]) /
               static_cast<double>(std::max<std::size_t>(1, wanted.at(model)));
      });
    mModelByServer[server->entry.id] = *leastServed;
    ++counts[*leastServed];
  }
  rebalance(servers, wanted, std::move(counts));
}

void
WeightLoadPlanner::rebalance(
  const std::vector<const RegisteredServer*>& servers,
  const Counts& wanted,
  Counts counts)
{
  const auto missing = [&](const std::string& model) {
    return static_cast<double>(wanted.at(model)) -
           static_cast<double>(counts[model]);
  };
  const auto models = std::views::keys(wanted);
  const bool needsRebalance =
    std::ranges::any_of(models, [&](const auto& model) {
      return missing(model) > std::max(1.0,
                                       kRebalanceThreshold *
                                         static_cast<double>(wanted.at(model)));
    });
  while (needsRebalance) {
    const auto receiver = *std::ranges::max_element(models, {}, missing);
    const auto donor = *std::ranges::min_element(models, {}, missing);
    std::vector<const RegisteredServer*> movable;
    std::ranges::copy_if(servers,
                         std::back_inserter(movable),
                         [&](const RegisteredServer* server) {
                           return mModelByServer[server->entry.id] == donor &&
                                  !mLoadByServer.contains(server->entry.id);
                         });
    if (missing(receiver) <= 0 || missing(donor) >= 0 || movable.empty()) {
      return;
    }
    // Prefers servers that already have the newest weights of the receiving
    // model, since they need no load.
    const auto* movedServer =
      *std::ranges::min_element(movable, {}, [&](const auto* server) {
        return std::pair(versionsBehind(*server, receiver),
                         -versionsBehind(*server, donor));
      });
    mModelByServer[movedServer->entry.id] = receiver;
    ++counts[receiver];
    --counts[donor];
  }
}

bool
WeightLoadPlanner::isLoading(const std::string& serverId, TimePoint now) const
{
  // Servers report the end of a load with a delay, and the next load need not
  // wait for the report.
  const auto expected = expectedLoadTime().value_or(mLimits.loadTimeout);
  const auto load = mLoadByServer.find(serverId);
  return load != mLoadByServer.end() && now - load->second.orderedAt < expected;
}

WeightLoadPlanner::Counts
WeightLoadPlanner::allowedLoadsByModel(
  const std::vector<const RegisteredServer*>& servers) const
{
  Counts total;
  Counts loading;
  for (const auto* server : servers) {
    const auto& id = server->entry.id;
    const auto& model = mModelByServer.at(id);
    ++total[model];
    // A model's next loads wait for the reports of those before, since only
    // then are the loaded servers used again.
    loading[model] += mLoadByServer.contains(id) ? 1 : 0;
  }
  Counts allowed;
  for (const auto& [model, count] : total) {
    const auto share = static_cast<std::size_t>(
      std::ceil(mLimits.maxLoadingShareOfModel * static_cast<double>(count)));
    const auto limit = std::max(mLimits.minConcurrentLoads, share);
    allowed[model] = limit - std::min(limit, loading[model]);
  }
  return allowed;
}

std::vector<LoadOrder>
WeightLoadPlanner::plan(
  const std::vector<const RegisteredServer*>& servers,
  const std::map<std::string, std::vector<std::string>>& modelsByService,
  TimePoint now)
{
  std::erase_if(mLoadByServer, [&](const auto& item) {
    return now - item.second.orderedAt > mLimits.loadTimeout;
  });
  std::vector<LoadOrder> orders;
  for (const auto& [service, models] : modelsByService) {
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
    const auto share = static_cast<std::size_t>(std::floor(
      mLimits.maxLoadingShare * static_cast<double>(ofService.size())));
    const auto maxLoading = std::max(mLimits.minConcurrentLoads, share);
    auto loading = static_cast<std::size_t>(
      std::ranges::count_if(ofService, [&](const RegisteredServer* server) {
        return isLoading(server->entry.id, now);
      }));
    auto allowedOfModel = allowedLoadsByModel(ofService);
    // Servers that are the most versions behind load first, because they will
    // be the first that can no longer run work for recent weights.
    const auto lagOf = [&](const RegisteredServer* server) {
      return versionsBehind(*server, mModelByServer[server->entry.id]);
    };
    std::ranges::stable_sort(ofService, std::greater<>(), lagOf);
    for (const auto* server : ofService) {
      const auto& id = server->entry.id;
      const auto retryAt = mRetryTimeByServer.find(id);
      const bool mustWait =
        retryAt != mRetryTimeByServer.end() && now < retryAt->second;
      if (loading >= maxLoading || lagOf(server) == 0) {
        break;
      }
      const auto& model = mModelByServer[id];
      if (mustWait || mLoadByServer.contains(id) ||
          allowedOfModel[model] == 0) {
        continue;
      }
      --allowedOfModel[model];
      orders.push_back({ server->entry, model, mTargetByModel[model] });
      ++loading;
    }
  }
  return orders;
}

void
WeightLoadPlanner::loadStarted(const LoadOrder& order, TimePoint now)
{
  mLoadByServer[order.server.id] = { order, now };
  mRetryTimeByServer.erase(order.server.id);
}

void
WeightLoadPlanner::loadRefused(const LoadOrder& order, TimePoint now)
{
  mRetryTimeByServer[order.server.id] = now + mLimits.retryDelay;
}

void
WeightLoadPlanner::loadConfirmed(const std::string& serverId, TimePoint now)
{
  const auto load = mLoadByServer.find(serverId);
  if (load == mLoadByServer.end()) {
    return;
  }
  mRecentLoads.push_back(
    std::chrono::duration_cast<Millis>(now - load->second.orderedAt));
  if (mRecentLoads.size() > kMaxRecentLoads) {
    mRecentLoads.pop_front();
  }
  mLoadByServer.erase(load);
}

std::optional<Millis>
WeightLoadPlanner::expectedLoadTime() const
{
  if (mRecentLoads.empty()) {
    return std::nullopt;
  }
  const auto shortest = *std::ranges::min_element(mRecentLoads);
  return std::max(shortest - mLimits.reportDelay, kMinLoadTime);
}

std::map<std::string, std::size_t>
WeightLoadPlanner::serversByModel(
  const std::vector<const RegisteredServer*>& servers) const
{
  Counts counts;
  for (const auto* server : servers) {
    const auto assigned = mModelByServer.find(server->entry.id);
    const bool isServing = !server->entry.draining && !server->leaving;
    if (isServing && assigned != mModelByServer.end()) {
      ++counts[assigned->second];
    }
  }
  return counts;
}

std::vector<WeightLoadPlanner::Load>
WeightLoadPlanner::loads() const
{
  std::vector<Load> result;
  std::ranges::copy(mLoadByServer | std::views::values,
                    std::back_inserter(result));
  return result;
}

} // namespace lentilrack::core
