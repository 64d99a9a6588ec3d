#include "core/hedging/hedge_target.h"

#include "core/statistics/median.h"

#include <algorithm>

namespace lentilrack::core {

namespace {

/// Cost of a server in the failure domain of the first attempt, as a share of
/// the load of a fully used server. Higher than the cost of the transfer to
/// another domain, so that the latter is chosen at similar load.
constexpr double kFirstDomainCost = 0.15;
constexpr double kRemoteDomainCost = 0.05;
/// Bounds of a server's speed relative to the median of its service.
constexpr double kMinRelativeTime = 0.5;
constexpr double kMaxRelativeTime = 20;

double
medianTime(const std::vector<const RegisteredServer*>& servers)
{
  std::vector<double> times;
  for (const auto* server : servers) {
    if (server->millisPerUnit > 0) {
      times.push_back(server->millisPerUnit);
    }
  }
  return medianOf(std::move(times));
}

} // namespace

const char*
nameOf(HedgeVerdict verdict)
{
  switch (verdict) {
    case HedgeVerdict::Allowed:
      return "allowed";
    case HedgeVerdict::ServiceBusy:
      return "service_busy";
    case HedgeVerdict::NoServer:
      return "no_server";
    case HedgeVerdict::OverLimit:
      return "over_limit";
  }
  return "";
}

const RegisteredServer*
chooseHedgeTarget(const std::vector<const RegisteredServer*>& servers,
                  const HedgeTargetRequest& request,
                  TimePoint now,
                  double random)
{
  std::vector<const RegisteredServer*> candidates;
  std::ranges::copy_if(
    servers, std::back_inserter(candidates), [&](const RegisteredServer* s) {
      const bool isReady = !s->entry.draining && !s->leaving &&
                           now >= s->avoidUntil && now >= s->loadingUntil &&
                           s->running < s->entry.slots && !s->statedRate;
      const bool hasRoom = !request.isDeferrable || s->deferrable.hasRoom(now);
      return isReady && hasRoom && !request.tried.contains(s->entry.id);
    });
  if (candidates.empty()) {
    return nullptr;
  }
  const double median = medianTime(servers);
  const auto cost = [&](const RegisteredServer* s) {
    const double relative = s->millisPerUnit > 0 && median > 0
                              ? std::clamp(s->millisPerUnit / median,
                                           kMinRelativeTime,
                                           kMaxRelativeTime)
                              : 1.0;
    const double load = (s->running + 1.0) / std::max(1, s->entry.slots);
    const auto& domain = s->entry.failureDomain;
    return load * relative +
           (domain == request.firstDomain ? kFirstDomainCost : 0) +
           (domain == request.ownDomain ? 0 : kRemoteDomainCost);
  };
  const auto first = static_cast<std::ptrdiff_t>(
    random * static_cast<double>(candidates.size()));
  std::ranges::rotate(candidates, candidates.begin() + first);
  return *std::ranges::min_element(candidates, {}, cost);
}

} // namespace lentilrack::core
