#include "gateway/state_applier.h"

#include <algorithm>
#include <ranges>

namespace lentilrack::gateway {

StateApplier::StateApplier(Context& context)
  : mContext(context)
{
  mContext.mirrors.operatorKeys.onItem(
    [this](const auto& item) { applyOperatorItem(item); });
  mContext.mirrors.servers.setUnchangedTest(
    [this](const auto&, const auto& item) { return isUnchangedServer(item); });
  mContext.mirrors.servers.onItem(
    [this](const auto& item) { applyServer(item); });
  mContext.mirrors.servers.onRemoved([this](const auto& key, auto) {
    mServers.erase(key);
    mMalformedServers.erase(key);
    applyServers();
  });
}

void
StateApplier::applyOperatorItem(const core::MirroredItem& item)
{
  if (item.key == mContext.format.storeKeys().desiredState) {
    applyDesiredState(item);
    return;
  }
  if (const auto retired = mContext.format.decodeRetirementKey(item.key)) {
    mRetirements[*retired] = item.revision;
    return;
  }
  const auto announced =
    mContext.format.decodeAnnouncedVersion(item.key, item.value);
  if (!announced) {
    return;
  }
  if (!*announced) {
    mContext.log.warning(
      "malformed_version",
      { { "key", item.key }, { "error", announced->error() } });
    return;
  }
  const auto& [model, version] = announced->value();
  auto& newest = mContext.announcedVersions[model];
  mContext.log.info("version_named",
                    { { "model", model },
                      { "version", version },
                      { "known", newest },
                      { "revision", item.revision } });
  newest = std::max(newest, version);
}

void
StateApplier::applyDesiredState(const core::MirroredItem& item)
{
  auto state = mContext.format.decodeDesiredState(item.value);
  if (!state) {
    mContext.log.warning(
      "malformed_desired_state",
      { { "revision", item.revision }, { "error", state.error() } });
    return;
  }
  const auto inForce = mContext.desired ? mContext.desired->version() : 0;
  const bool isNewer = state.value().version() > inForce;
  mContext.log.info("desired_state",
                    { { "version", state.value().version() },
                      { "in_force", inForce },
                      { "revision", item.revision },
                      { "outcome", isNewer ? "taken" : "older" } });
  const auto* organisations = state.value().organisations();
  if (isNewer && organisations != nullptr &&
      organisations->ignoredEntries() > 0) {
    mContext.log.warning("organisations",
                         { { "version", state.value().version() },
                           { "known", organisations->size() },
                           { "ignored", organisations->ignoredEntries() } });
  }
  if (isNewer) {
    mContext.desired =
      std::make_shared<const core::DesiredState>(std::move(state).value());
  }
}

void
StateApplier::applyServer(const core::MirroredItem& item)
{
  auto entry = mContext.format.decodeServer(item.key, item.value);
  if (entry) {
    mServers[item.key] = std::move(entry).value();
    mMalformedServers.erase(item.key);
  } else {
    mServers.erase(item.key);
    if (mMalformedServers.insert(item.key).second) {
      mContext.metrics.increment("malformed_servers_total");
      mContext.log.warning("malformed_server",
                           { { "key", item.key },
                             { "revision", item.revision },
                             { "error", entry.error() } });
    }
  }
  applyServers();
}

bool
StateApplier::isUnchangedServer(const core::MirroredItem& item) const
{
  const auto known = mServers.find(item.key);
  const auto decoded = mContext.format.decodeServer(item.key, item.value);
  return known != mServers.end() && decoded && decoded.value() == known->second;
}

void
StateApplier::applyServers()
{
  std::vector<core::ServerEntry> entries;
  std::ranges::copy(mServers | std::views::values, std::back_inserter(entries));
  for (const auto& change :
       mContext.registry.apply(std::move(entries), core::Clock::now())) {
    mContext.log.info(
      "server_list",
      { { "change", change },
        { "revision", mContext.mirrors.servers.completeRevision() } });
  }
}

} // namespace lentilrack::gateway
