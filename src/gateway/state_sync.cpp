#include "gateway/state_sync.h"

#include <algorithm>
#include <ranges>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;

/// Longest wait of one watch. A connection that has gone silent is noticed
/// after this and the time-out of a call, well inside the time after which a
/// healed fault no longer excuses an instance.
constexpr Millis kWatchWait{ 1'500 };
/// A leaving server must get no request 2 s after the store took its word,
/// which leaves time for one lost read.
constexpr Millis kServerPollPause{ 500 };
constexpr Millis kFailurePause{ 100 };

} // namespace

StateSync::StateSync(Context& context)
  : mContext(context)
{
}

void
StateSync::start()
{
  net::spawn(mContext.io, followOperator());
  net::spawn(mContext.io, followServers());
}

std::vector<StoreItem>
StateSync::operatorItems() const
{
  std::vector<StoreItem> items;
  std::ranges::copy(mOperatorItems | std::views::values,
                    std::back_inserter(items));
  return items;
}

net::Awaitable<void>
StateSync::followOperator()
{
  const auto& prefix = mContext.format.storeKeys().operatorPrefix;
  // Events that a watch has missed come again as long as the revision stays,
  // so that an answer without events does not move it.
  std::int64_t revision = 0;
  for (;;) {
    if (revision == 0) {
      auto listing = co_await mContext.store.list(prefix);
      noteStore(listing.has_value());
      if (!listing) {
        co_await net::sleepFor(kFailurePause);
        continue;
      }
      std::ranges::for_each(listing.value().items, [this](const auto& item) {
        takeOperatorItem(item);
      });
      revision = listing.value().revision;
      mIsKnown = true;
    }
    auto changes = co_await mContext.store.watch(prefix, revision, kWatchWait);
    if (!changes) {
      const bool isLost = changes.error() == StoreError::HistoryLost;
      mContext.log.warning(
        "operator_watch_failed",
        { { "revision", revision }, { "error", changes.error().message() } });
      noteStore(isLost);
      // The watch may have been cut while changes were made.
      revision = 0;
      co_await net::sleepFor(isLost ? Millis(0) : kFailurePause);
      continue;
    }
    noteStore(true);
    for (const auto& change : changes.value().changes) {
      if (change.value) {
        takeOperatorItem({ change.key, *change.value, change.revision });
      }
      revision = std::max(revision, change.revision);
    }
  }
}

net::Awaitable<void>
StateSync::followServers()
{
  const auto& prefix = mContext.format.storeKeys().serverPrefix;
  for (;;) {
    auto listing = co_await mContext.store.list(prefix);
    if (listing) {
      takeServers(listing.value());
    } else {
      mContext.registry.noteDirectoryFailure(Clock::now());
    }
    co_await net::sleepFor(listing ? kServerPollPause : kFailurePause);
  }
}

void
StateSync::takeOperatorItem(const StoreItem& item)
{
  auto& known = mOperatorItems[item.key];
  if (item.revision <= known.revision) {
    return;
  }
  known = item;
  if (item.key == mContext.format.storeKeys().desiredState) {
    takeDesiredState(item);
  } else if (const auto named =
               mContext.format.decodeNamedVersion(item.key, item.value)) {
    if (*named) {
      const auto& [model, version] = named->value();
      auto& newest = mContext.namedVersions[model];
      mContext.log.info("version_named",
                        { { "model", model },
                          { "version", version },
                          { "known", newest },
                          { "revision", item.revision } });
      newest = std::max(newest, version);
    } else {
      mContext.log.warning(
        "malformed_version",
        { { "key", item.key }, { "error", named->error() } });
    }
  } else if (const auto retired = mContext.format.retiredInstance(item.key)) {
    mRetirements[*retired] = item.revision;
  }
  if (mOnChange) {
    mOnChange();
  }
}

void
StateSync::takeDesiredState(const StoreItem& item)
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
StateSync::takeServers(const StoreListing& listing)
{
  if (listing.revision < mServerListing.revision) {
    return;
  }
  mServerListing = listing;
  mServersReadAt = Clock::now();
  decodeServers(listing);
}

void
StateSync::decodeServers(const StoreListing& listing)
{
  std::vector<core::ServerEntry> entries;
  for (const auto& item : listing.items) {
    auto entry = mContext.format.decodeServer(item.key, item.value);
    if (entry) {
      entries.push_back(std::move(entry).value());
      continue;
    }
    auto& reported = mMalformed[item.key];
    if (reported != item.revision) {
      reported = item.revision;
      mContext.log.warning("malformed_server",
                           { { "key", item.key },
                             { "revision", item.revision },
                             { "error", entry.error() } });
    }
  }
  for (const auto& change :
       mContext.registry.apply(std::move(entries), Clock::now())) {
    mContext.log.info(
      "server_list",
      { { "change", change }, { "revision", listing.revision } });
  }
}

void
StateSync::noteStore(bool isReachable)
{
  if (isReachable != mIsStoreReachable) {
    mIsStoreReachable = isReachable;
    mContext.log.warning("store",
                         { { "outcome", isReachable ? "regained" : "lost" } });
  }
}

} // namespace lentilrack::gateway
