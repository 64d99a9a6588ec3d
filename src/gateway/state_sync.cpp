#include "gateway/state_sync.h"

#include <algorithm>
#include <ranges>

namespace lentilrack::gateway {

StateSync::StateSync(Context& context)
  : mContext(context)
{
  mContext.mirrors.operatorKeys.onItem(
    [this](const auto& item) { takeOperatorItem(item); });
  mContext.mirrors.servers.setUnchangedTest(
    [this](const auto&, const auto& item) { return isKnownServer(item); });
  mContext.mirrors.servers.onItem(
    [this](const auto& item) { takeServer(item); });
  mContext.mirrors.servers.onRemoved([this](const auto& key, auto) {
    mServers.erase(key);
    applyServers();
  });
}

void
StateSync::takeOperatorItem(const core::MirroredItem& item)
{
  if (item.key == mContext.format.storeKeys().desiredState) {
    takeDesiredState(item);
    return;
  }
  if (const auto retired = mContext.format.retiredInstance(item.key)) {
    mRetirements[*retired] = item.revision;
    return;
  }
  const auto named = mContext.format.decodeNamedVersion(item.key, item.value);
  if (!named) {
    return;
  }
  if (!*named) {
    mContext.log.warning("malformed_version",
                         { { "key", item.key }, { "error", named->error() } });
    return;
  }
  const auto& [model, version] = named->value();
  auto& newest = mContext.namedVersions[model];
  mContext.log.info("version_named",
                    { { "model", model },
                      { "version", version },
                      { "known", newest },
                      { "revision", item.revision } });
  newest = std::max(newest, version);
}

void
StateSync::takeDesiredState(const core::MirroredItem& item)
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
  if (isNewer) {
    mContext.desired =
      std::make_shared<const core::DesiredState>(std::move(state).value());
  }
}

void
StateSync::takeServer(const core::MirroredItem& item)
{
  auto entry = mContext.format.decodeServer(item.key, item.value);
  if (entry) {
    mServers[item.key] = std::move(entry).value();
  } else {
    mServers.erase(item.key);
    mContext.log.warning("malformed_server",
                         { { "key", item.key },
                           { "revision", item.revision },
                           { "error", entry.error() } });
  }
  applyServers();
}

bool
StateSync::isKnownServer(const core::MirroredItem& item) const
{
  const auto known = mServers.find(item.key);
  const auto told = mContext.format.decodeServer(item.key, item.value);
  return known != mServers.end() && told && told.value() == known->second;
}

void
StateSync::applyServers()
{
  std::vector<core::ServerEntry> entries;
  std::ranges::copy(mServers | std::views::values, std::back_inserter(entries));
  for (const auto& change :
       mContext.registry.apply(std::move(entries), core::Clock::now())) {
    mContext.log.info("server_list",
                      { { "change", change },
                        { "revision", mContext.mirrors.servers.revision() } });
  }
}

} // namespace lentilrack::gateway
