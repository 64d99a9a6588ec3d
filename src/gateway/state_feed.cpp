#include "gateway/state_feed.h"

#include "core/decimal.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using Json = nlohmann::json;

/// Longest wait of one watch. What a watch does not confirm in time is not
/// passed on, so that this bounds how late a reader in trouble is noticed.
constexpr Millis kWatchWait{ 500 };
/// What processes know of each other is not bound to a time after the store's
/// word; changes come at once, and an idle watch costs a call.
constexpr Millis kClusterWatchWait{ 2'000 };
/// A leaving server must get no request 2 s after the store took its word,
/// which leaves time for one lost read and the loss of a reader.
constexpr Millis kServerPollPause{ 350 };
constexpr Millis kFailurePause{ 100 };
constexpr Millis kIdlePause{ 100 };
/// Longest wait of a process that follows a reader, and how much longer the
/// answer may take.
constexpr Millis kFollowWait{ 300 };
constexpr Millis kFollowMargin{ 250 };
/// Answers to followers are at least this far apart, so that quick changes
/// share one.
constexpr Millis kFollowPause{ 15 };
/// A reader whose copies are older than this is not followed. A state must be
/// in force everywhere 2 s after the store took it; a slow store answers within
/// 0.3 s.
constexpr Millis kOldestCopy{ 1'100 };

Json
encodeDelta(const core::MirrorDelta& delta)
{
  Json json = { { "complete", delta.isSnapshot },
                { "sequence", delta.sequence },
                { "revision", delta.revision },
                { "removed", delta.removed },
                { "items", Json::array() } };
  for (const auto& item : delta.items) {
    std::vector<std::uint8_t> bytes(item.value.begin(), item.value.end());
    json["items"].push_back(
      { item.key, Json::binary(std::move(bytes)), item.revision });
  }
  return json;
}

core::MirrorDelta
decodeDelta(const Json& json)
{
  core::MirrorDelta delta;
  delta.isSnapshot = json.at("complete").get<bool>();
  delta.sequence = json.at("sequence").get<std::uint64_t>();
  delta.revision = json.at("revision").get<std::int64_t>();
  delta.removed =
    json.at("removed").get<std::vector<std::pair<std::string, std::int64_t>>>();
  for (const auto& item : json.at("items")) {
    const auto& bytes = item.at(1).get_binary();
    delta.items.push_back({ item.at(0).get<std::string>(),
                            std::string(bytes.begin(), bytes.end()),
                            item.at(2).get<std::int64_t>() });
  }
  return delta;
}

core::MirroredItem
mirrored(StoreItem item)
{
  return { std::move(item.key), std::move(item.value), item.revision };
}

} // namespace

StateFeed::StateFeed(Context& context, ClusterView& cluster, PeerClient& peers)
  : mContext(context)
  , mCluster(cluster)
  , mPeers(peers)
  , mChoice(context.settings.instance)
  , mOperator{ context.mirrors.operatorKeys,
               context.format.storeKeys().operatorPrefix,
               kWatchWait }
  , mServers{ context.mirrors.servers,
              context.format.storeKeys().serverPrefix,
              kWatchWait }
  , mClusterKeys{ context.mirrors.cluster, keys::prefix(), kClusterWatchWait }
{
}

void
StateFeed::start()
{
  net::spawn(mContext.io, watchStore(mOperator));
  net::spawn(mContext.io, watchStore(mClusterKeys));
  net::spawn(mContext.io, pollStore(mServers));
  net::spawn(mContext.io, follow());
}

Millis
StateFeed::age() const
{
  const auto extraWait = kClusterWatchWait - kWatchWait;
  const auto oldest = std::min({ mOperator.confirmedAt,
                                 mServers.confirmedAt,
                                 mClusterKeys.confirmedAt + extraWait });
  return std::chrono::duration_cast<Millis>(Clock::now() - oldest);
}

net::Awaitable<void>
StateFeed::follow()
{
  for (;;) {
    std::vector<std::string> members;
    for (const auto& [name, peer] : mCluster.peers()) {
      if (!peer.isLeaving && peer.peers) {
        members.push_back(name);
      }
    }
    mChoice.setMembers(std::move(members));
    const bool isComplete = mOperator.mirror.isComplete() &&
                            mServers.mirror.isComplete() &&
                            mClusterKeys.mirror.isComplete();
    const auto reader =
      isComplete ? mChoice.source(Clock::now()) : std::nullopt;
    mIsDirect = !reader;
    if (!reader) {
      co_await net::sleepFor(kIdlePause);
      continue;
    }
    const bool isFed = co_await askReader(*reader);
    if (!isFed) {
      mContext.log.warning("reader",
                           { { "instance", *reader },
                             { "age_ms", age() },
                             { "outcome", "failed" } });
      mChoice.recordFailure(*reader, Clock::now());
    }
  }
}

net::Awaitable<bool>
StateFeed::askReader(std::string reader)
{
  if (reader != mFollowed) {
    mFollowed = reader;
    mFollowedLifetime.clear();
  }
  net::HttpRequest request;
  request.target =
    fmt::format("{}?lifetime={}&operator={}&servers={}&cluster={}&wait={}",
                peer_paths::kState,
                mFollowedLifetime,
                mOperator.followed,
                mServers.followed,
                mClusterKeys.followed,
                kFollowWait.count());
  const auto answer = co_await mPeers.ask(
    reader, std::move(request), kFollowWait + kFollowMargin);
  co_return answer && answer->status == 200 && takeAnswer(reader, answer->body);
}

bool
StateFeed::takeAnswer(const std::string& reader, const std::string& body)
{
  try {
    const auto json = Json::from_cbor(body);
    const auto told = Millis(json.at("age_ms").get<std::int64_t>());
    const std::array<std::pair<const char*, Source*>, 3> parts{
      { { "operator", &mOperator },
        { "servers", &mServers },
        { "cluster", &mClusterKeys } }
    };
    for (const auto& [name, source] : parts) {
      const auto delta = decodeDelta(json.at(name));
      source->mirror.applyDelta(delta);
      source->followed = delta.sequence;
      noteConfirmed(*source, told);
    }
    mFollowedLifetime = json.at("lifetime").get<std::string>();
    return told <= kOldestCopy;
  } catch (const Json::exception& error) {
    mContext.log.warning("malformed_state",
                         { { "instance", reader }, { "error", error.what() } });
    return false;
  }
}

net::Awaitable<net::HttpResponse>
StateFeed::serve(net::HttpRequest request)
{
  net::HttpResponse response;
  if (!mIsDirect || age() > kOldestCopy) {
    response.status = 503;
    co_return response;
  }
  const bool isKnown = request.query("lifetime") == mContext.lifetime;
  const auto place = [&](const char* name) {
    return isKnown ? core::parseDecimal<std::uint64_t>(request.query(name))
                       .value_or(0)
                   : 0;
  };
  const auto operatorPlace = place("operator");
  const auto serverPlace = place("servers");
  const auto clusterPlace = place("cluster");
  const auto wait = std::min(
    kFollowWait,
    Millis(
      core::parseDecimal<std::int64_t>(request.query("wait")).value_or(0)));
  const auto end = Clock::now() + wait;
  const auto hasNews = [&] {
    return mOperator.mirror.sequence() != operatorPlace ||
           mServers.mirror.sequence() != serverPlace ||
           mClusterKeys.mirror.sequence() != clusterPlace;
  };
  while (!hasNews() && Clock::now() < end) {
    co_await mChanged.wait(
      mContext.io,
      std::chrono::duration_cast<Millis>(end - Clock::now()) + Millis(1));
  }
  co_await net::sleepFor(kFollowPause);
  const Json json = {
    { "lifetime", mContext.lifetime },
    { "age_ms", age().count() },
    { "operator", encodeDelta(mOperator.mirror.changesSince(operatorPlace)) },
    { "servers", encodeDelta(mServers.mirror.changesSince(serverPlace)) },
    { "cluster", encodeDelta(mClusterKeys.mirror.changesSince(clusterPlace)) }
  };
  const auto bytes = Json::to_cbor(json);
  response.contentType = "application/cbor";
  response.body.assign(bytes.begin(), bytes.end());
  co_return response;
}

net::Awaitable<void>
StateFeed::watchStore(Source& source)
{
  // Events that a watch has missed come again as long as the revision stays,
  // so that an answer without events does not move it.
  std::int64_t revision = 0;
  for (;;) {
    if (!mIsDirect) {
      revision = 0;
      co_await net::sleepFor(kIdlePause);
      continue;
    }
    if (revision == 0) {
      auto listing = co_await mContext.store.list(source.prefix);
      noteStore(listing.has_value());
      if (!listing) {
        co_await net::sleepFor(kFailurePause);
        continue;
      }
      std::vector<core::MirroredItem> items;
      std::ranges::transform(listing.value().items,
                             std::back_inserter(items),
                             [](auto& item) { return mirrored(item); });
      revision = listing.value().revision;
      source.mirror.replace(items, revision);
      noteConfirmed(source, Millis(0));
    }
    auto changes =
      co_await mContext.store.watch(source.prefix, revision, source.watchWait);
    if (!changes) {
      const bool isLost = changes.error() == StoreError::HistoryLost;
      mContext.log.warning("watch_failed",
                           { { "prefix", source.prefix },
                             { "revision", revision },
                             { "error", changes.error().message() } });
      noteStore(isLost);
      // The watch may have been cut while changes were made.
      revision = 0;
      co_await net::sleepFor(isLost ? Millis(0) : kFailurePause);
      continue;
    }
    noteStore(true);
    for (const auto& change : changes.value().changes) {
      if (change.value) {
        source.mirror.put({ change.key, *change.value, change.revision });
      } else {
        source.mirror.remove(change.key, change.revision);
      }
      revision = std::max(revision, change.revision);
    }
    noteConfirmed(source, Millis(0));
  }
}

net::Awaitable<void>
StateFeed::pollStore(Source& source)
{
  for (;;) {
    if (!mIsDirect) {
      co_await net::sleepFor(kIdlePause);
      continue;
    }
    const auto askedAt = Clock::now();
    auto listing = co_await mContext.store.list(source.prefix);
    if (listing) {
      std::vector<core::MirroredItem> items;
      std::ranges::transform(listing.value().items,
                             std::back_inserter(items),
                             [](auto& item) { return mirrored(item); });
      source.mirror.replace(items, listing.value().revision);
      noteConfirmed(source,
                    std::chrono::duration_cast<Millis>(Clock::now() - askedAt));
    } else {
      mContext.registry.recordDirectoryFailure(Clock::now());
    }
    co_await net::sleepFor(listing ? kServerPollPause : kFailurePause);
  }
}

void
StateFeed::noteConfirmed(Source& source, Millis age)
{
  source.confirmedAt = std::max(source.confirmedAt, Clock::now() - age);
  mChanged.notifyAll();
}

void
StateFeed::noteStore(bool isReachable)
{
  if (isReachable != mIsStoreReachable) {
    mIsStoreReachable = isReachable;
    mContext.log.warning("store",
                         { { "outcome", isReachable ? "regained" : "lost" } });
  }
}

} // namespace lentilrack::gateway
