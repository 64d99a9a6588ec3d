#include "core/desired_state.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace lentilrack::core {

namespace {

std::string
hostName(std::string_view host)
{
  const auto name = host.substr(0, host.rfind(':'));
  std::string lower(name);
  std::ranges::transform(
    lower, lower.begin(), [](unsigned char c) { return std::tolower(c); });
  return lower;
}

} // namespace

const std::string&
Route::pickService(double draw) const
{
  const double total = std::accumulate(
    targets.begin(), targets.end(), 0.0, [](double sum, const RouteTarget& t) {
      return sum + t.weight;
    });
  double remaining = draw * total;
  const auto found = std::ranges::find_if(targets, [&](const RouteTarget& t) {
    remaining -= t.weight;
    return remaining < 0;
  });
  static const std::string kNone;
  if (targets.empty()) {
    return kNone;
  }
  return found == targets.end() ? targets.back().service : found->service;
}

DesiredState::DesiredState(
  std::int64_t version,
  std::vector<Route> routes,
  std::vector<ServiceSpec> services,
  CallerLimits limits,
  std::optional<std::vector<Organisation>> organisations)
  : mVersion(version)
  , mLimits(limits)
  , mServices(std::move(services))
  , mOrganisations(organisations
                     ? std::make_shared<OrganisationDirectory>(*organisations)
                     : nullptr)
{
  mLimits.headerBytes =
    std::min(mLimits.headerBytes, CallerLimits::kMaxHeaderBytes);
  for (auto& route : routes) {
    mRoutes[hostName(route.host)].push_back(std::move(route));
  }
  for (auto& [host, hostRoutes] : mRoutes) {
    std::ranges::stable_sort(
      hostRoutes, std::greater<>(), [](const Route& route) {
        return route.pathPrefix.size();
      });
  }
}

const Route*
DesiredState::findRoute(std::string_view host, std::string_view target) const
{
  const auto found = mRoutes.find(hostName(host));
  if (found == mRoutes.end()) {
    return nullptr;
  }
  const auto path = target.substr(0, target.find('?'));
  const auto route =
    std::ranges::find_if(found->second, [&](const Route& candidate) {
      return path.starts_with(candidate.pathPrefix);
    });
  return route == found->second.end() ? nullptr : &*route;
}

bool
DesiredState::hasPublicBatchRoute(std::string_view host) const
{
  const auto found = mRoutes.find(hostName(host));
  return found != mRoutes.end() &&
         std::ranges::any_of(found->second, [](const Route& route) {
           return route.isPublic && route.kind == RouteKind::Batch;
         });
}

bool
DesiredState::requiresSingleVersion() const
{
  return std::ranges::any_of(mRoutes, [](const auto& entry) {
    return std::ranges::any_of(entry.second, &Route::singleVersion);
  });
}

} // namespace lentilrack::core
