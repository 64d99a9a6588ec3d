#include "core/scheduling/placement.h"

#include <algorithm>
#include <utility>

namespace lentilrack::core {

namespace {

/// Cost of reading one token of a prompt. It is well above the time that a
/// server takes, since the server's other requests wait meanwhile.
constexpr double kMillisPerPromptToken = 0.6;
/// Time per event of a service without any observation.
constexpr double kDefaultMillisPerEvent = 40;
/// Bounds of a server's time per event, as a multiple of the median.
constexpr double kMinRelativeTime = 0.5;
constexpr double kMaxRelativeTime = 20;
/// Cost of a server in another failure domain, as a fraction of the work of the
/// item.
constexpr double kRemoteDomainCost = 0.05;

} // namespace

std::int64_t
PromptLocations::versionOf(const ServerEntry& server) const
{
  const auto found = server.versions.find(mModel);
  return found == server.versions.end() ? 0 : found->second;
}

void
PromptLocations::recordStart(const std::string& group,
                             const ServerEntry& server)
{
  mLocations[group][server.id] = { server.startedAt,
                                   versionOf(server),
                                   server.slots };
}

void
PromptLocations::recordFailure(const std::string& group,
                               const ServerEntry& server)
{
  const auto found = mLocations.find(group);
  if (found != mLocations.end()) {
    found->second.erase(server.id);
  }
}

bool
PromptLocations::holdsPrompt(const std::string& group,
                             const ServerEntry& server) const
{
  const auto found = mLocations.find(group);
  if (found == mLocations.end()) {
    return false;
  }
  const auto location = found->second.find(server.id);
  return location != found->second.end() &&
         location->second.startedAt == server.startedAt &&
         location->second.version == versionOf(server);
}

int
PromptLocations::slotsWithPrompt(const std::string& group) const
{
  int slots = 0;
  if (const auto found = mLocations.find(group); found != mLocations.end()) {
    for (const auto& [id, location] : found->second) {
      slots += location.slots;
    }
  }
  return slots;
}

double
placementCost(const PlacedItem& item,
              const RegisteredServer& server,
              const PromptLocations& prompts,
              const std::string& ownDomain,
              double medianMillisPerUnit)
{
  const double median =
    medianMillisPerUnit > 0 ? medianMillisPerUnit : kDefaultMillisPerEvent;
  const double relative = server.millisPerUnit > 0
                            ? std::clamp(server.millisPerUnit / median,
                                         kMinRelativeTime,
                                         kMaxRelativeTime)
                            : 1.0;
  const double duration = item.expectedEvents * median * relative;
  const double workOfSlot =
    duration * (server.running + 1) / std::max(1, server.entry.slots);
  const double promptTime = prompts.holdsPrompt(item.group, server.entry)
                              ? 0
                              : kMillisPerPromptToken * item.promptTokens;
  const bool isRemote =
    !ownDomain.empty() && server.entry.failureDomain != ownDomain;
  return workOfSlot + promptTime + (item.isLate ? duration : 0) +
         (isRemote ? kRemoteDomainCost * duration : 0);
}

bool
isGoodPlace(const PlacedItem& item,
            const RegisteredServer& server,
            const PromptLocations& prompts)
{
  return item.isLate || prompts.holdsPrompt(item.group, server.entry) ||
         std::cmp_less(prompts.slotsWithPrompt(item.group),
                       item.unfinishedOfGroup);
}

} // namespace lentilrack::core
