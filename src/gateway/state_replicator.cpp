#include "gateway/state_replicator.h"

#include "core/decimal.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using Json = nlohmann::json;

/// Maximum duration of one watch call to the store. A mirror counts as
/// confirmed when a watch ends without an error. A reader (a process that reads
/// the store) whose mirrors were not confirmed recently serves no followers.
/// The duration of a watch thus also bounds how late followers notice that
/// their reader has lost the store.
constexpr Millis kWatchTimeout{ 500 };
/// Longer than kWatchTimeout, to save calls to the store, since each idle watch
/// costs one. The cluster keys (members, batches, owners and leader) need not
/// be known within a fixed time, and a change ends the watch at once.
constexpr Millis kClusterWatchTimeout{ 2'000 };
/// Delay between two listings of the server entries. A leaving server must
/// receive no request later than 2 s after the store has accepted the change of
/// its entry. The interval leaves time for one lost listing and for the failure
/// of a reader.
constexpr Millis kServerPollInterval{ 350 };
constexpr Millis kFailureRetryDelay{ 100 };
constexpr Millis kIdlePollInterval{ 100 };
/// How long a reader may hold the request of a follower while nothing changes,
/// and how much longer than this the follower waits for the response.
constexpr Millis kFollowTimeout{ 300 };
constexpr Millis kFollowTimeoutMargin{ 250 };
/// Minimum time between two responses to a follower, so that changes in quick
/// succession share one response.
constexpr Millis kMinResponseInterval{ 15 };
/// Maximum time since the mirrors of a reader were last confirmed by an
/// error-free response of the store. A reader with older mirrors serves no
/// followers, and its followers change to another reader. The limit is above
/// 0.8 s, for which a mirror may go unconfirmed on a slow store: a watch lasts
/// up to 0.5 s and the response takes up to 0.3 s. A new desired state must be
/// in force everywhere within 2 s; the limit leaves 0.9 s of these to fetch the
/// state from another reader.
constexpr Millis kMaxMirrorAge{ 1'100 };

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
toMirroredItem(StoreItem item)
{
  return { std::move(item.key), std::move(item.value), item.revision };
}

} // namespace

StateReplicator::StateReplicator(Context& context,
                                 ClusterView& cluster,
                                 PeerClient& peers)
  : mContext(context)
  , mCluster(cluster)
  , mPeers(peers)
  , mReaderChoice(context.settings.instance)
  , mOperatorKeys{ context.mirrors.operatorKeys,
                   context.format.storeKeys().operatorPrefix,
                   kWatchTimeout }
  , mServers{ context.mirrors.servers,
              context.format.storeKeys().serverPrefix,
              kWatchTimeout }
  , mClusterKeys{ context.mirrors.cluster,
                  keys::prefix(),
                  kClusterWatchTimeout }
{
}

void
StateReplicator::start()
{
  net::spawn(mContext.io, watchStore(mOperatorKeys));
  net::spawn(mContext.io, watchStore(mClusterKeys));
  net::spawn(mContext.io, pollStore(mServers));
  net::spawn(mContext.io, followReaders());
}

Millis
StateReplicator::mirrorAge() const
{
  const auto extraWait = kClusterWatchTimeout - kWatchTimeout;
  const auto oldest = std::min({ mOperatorKeys.confirmedAt,
                                 mServers.confirmedAt,
                                 mClusterKeys.confirmedAt + extraWait });
  return std::chrono::duration_cast<Millis>(Clock::now() - oldest);
}

net::Awaitable<void>
StateReplicator::followReaders()
{
  for (;;) {
    std::vector<std::string> members;
    for (const auto& [name, peer] : mCluster.peers()) {
      if (!peer.isLeaving && peer.peerEndpoint) {
        members.push_back(name);
      }
    }
    mReaderChoice.setMembers(std::move(members));
    const bool isComplete = mOperatorKeys.mirror.isComplete() &&
                            mServers.mirror.isComplete() &&
                            mClusterKeys.mirror.isComplete();
    const auto reader =
      isComplete ? mReaderChoice.source(Clock::now()) : std::nullopt;
    mReadsStoreDirectly = !reader;
    if (!reader) {
      co_await net::sleepFor(kIdlePollInterval);
      continue;
    }
    const bool isUpdated = co_await fetchFromReader(*reader);
    if (!isUpdated) {
      mContext.log.warning("reader",
                           { { "instance", *reader },
                             { "age_ms", mirrorAge() },
                             { "outcome", "failed" } });
      mReaderChoice.recordFailure(*reader, Clock::now());
    }
  }
}

net::Awaitable<bool>
StateReplicator::fetchFromReader(std::string reader)
{
  if (reader != mFollowedReader) {
    mFollowedReader = reader;
    mFollowedIncarnation.clear();
  }
  net::HttpRequest request;
  request.target =
    fmt::format("{}?lifetime={}&operator={}&servers={}&cluster={}&wait={}",
                peer_paths::kState,
                mFollowedIncarnation,
                mOperatorKeys.followedSequence,
                mServers.followedSequence,
                mClusterKeys.followedSequence,
                kFollowTimeout.count());
  const auto answer = co_await mPeers.sendRequest(
    reader, std::move(request), kFollowTimeout + kFollowTimeoutMargin);
  co_return answer && answer->status == 200 &&
    applyReaderResponse(reader, answer->body);
}

bool
StateReplicator::applyReaderResponse(const std::string& reader,
                                     const std::string& body)
{
  try {
    const auto json = Json::from_cbor(body);
    const auto reportedAge = Millis(json.at("age_ms").get<std::int64_t>());
    const std::array<std::pair<const char*, Replica*>, 3> parts{
      { { "operator", &mOperatorKeys },
        { "servers", &mServers },
        { "cluster", &mClusterKeys } }
    };
    for (const auto& [name, replica] : parts) {
      const auto delta = decodeDelta(json.at(name));
      replica->mirror.applyDelta(delta);
      replica->followedSequence = delta.sequence;
      markConfirmed(*replica, reportedAge);
    }
    mFollowedIncarnation = json.at("lifetime").get<std::string>();
    return reportedAge <= kMaxMirrorAge;
  } catch (const Json::exception& error) {
    mContext.log.warning("malformed_state",
                         { { "instance", reader }, { "error", error.what() } });
    return false;
  }
}

net::Awaitable<net::HttpResponse>
StateReplicator::serveFollower(net::HttpRequest request)
{
  net::HttpResponse response;
  if (!mReadsStoreDirectly || mirrorAge() > kMaxMirrorAge) {
    response.status = 503;
    co_return response;
  }
  const bool isKnown = request.query("lifetime") == mContext.incarnation;
  const auto sequenceOf = [&](const char* name) {
    return isKnown ? core::parseDecimal<std::uint64_t>(request.query(name))
                       .value_or(0)
                   : 0;
  };
  const auto operatorSequence = sequenceOf("operator");
  const auto serverSequence = sequenceOf("servers");
  const auto clusterSequence = sequenceOf("cluster");
  const auto wait = std::min(
    kFollowTimeout,
    Millis(
      core::parseDecimal<std::int64_t>(request.query("wait")).value_or(0)));
  const auto end = Clock::now() + wait;
  const auto hasChanges = [&] {
    return mOperatorKeys.mirror.sequence() != operatorSequence ||
           mServers.mirror.sequence() != serverSequence ||
           mClusterKeys.mirror.sequence() != clusterSequence;
  };
  while (!hasChanges() && Clock::now() < end) {
    co_await mWaitingFollowers.wait(
      mContext.io,
      std::chrono::duration_cast<Millis>(end - Clock::now()) + Millis(1));
  }
  co_await net::sleepFor(kMinResponseInterval);
  const Json json = {
    { "lifetime", mContext.incarnation },
    { "age_ms", mirrorAge().count() },
    { "operator",
      encodeDelta(mOperatorKeys.mirror.changesSince(operatorSequence)) },
    { "servers", encodeDelta(mServers.mirror.changesSince(serverSequence)) },
    { "cluster",
      encodeDelta(mClusterKeys.mirror.changesSince(clusterSequence)) }
  };
  const auto bytes = Json::to_cbor(json);
  response.contentType = "application/cbor";
  response.body.assign(bytes.begin(), bytes.end());
  co_return response;
}

net::Awaitable<void>
StateReplicator::watchStore(Replica& replica)
{
  // Only received changes advance the revision. A response without changes does
  // not, so that the next watch delivers any changes that this response has
  // left out.
  std::int64_t revision = 0;
  for (;;) {
    if (!mReadsStoreDirectly) {
      revision = 0;
      co_await net::sleepFor(kIdlePollInterval);
      continue;
    }
    if (revision == 0) {
      auto listing = co_await mContext.store.list(replica.prefix);
      recordStoreReachability(listing.has_value());
      if (!listing) {
        co_await net::sleepFor(kFailureRetryDelay);
        continue;
      }
      std::vector<core::MirroredItem> items;
      std::ranges::transform(listing.value().items,
                             std::back_inserter(items),
                             [](auto& item) { return toMirroredItem(item); });
      revision = listing.value().revision;
      replica.mirror.replace(items, revision);
      markConfirmed(replica, Millis(0));
    }
    auto changes = co_await mContext.store.watch(
      replica.prefix, revision, replica.watchTimeout);
    if (!changes) {
      const bool isHistoryCompacted =
        changes.error() == StoreError::HistoryCompacted;
      mContext.log.warning("watch_failed",
                           { { "prefix", replica.prefix },
                             { "revision", revision },
                             { "error", changes.error().message() } });
      recordStoreReachability(isHistoryCompacted);
      // The changes since the last successful watch may be missing from the
      // mirror, so list all keys again.
      revision = 0;
      co_await net::sleepFor(isHistoryCompacted ? Millis(0)
                                                : kFailureRetryDelay);
      continue;
    }
    recordStoreReachability(true);
    for (const auto& change : changes.value().changes) {
      if (change.value) {
        replica.mirror.put({ change.key, *change.value, change.revision });
      } else {
        replica.mirror.remove(change.key, change.revision);
      }
      revision = std::max(revision, change.revision);
    }
    markConfirmed(replica, Millis(0));
  }
}

net::Awaitable<void>
StateReplicator::pollStore(Replica& replica)
{
  for (;;) {
    if (!mReadsStoreDirectly) {
      co_await net::sleepFor(kIdlePollInterval);
      continue;
    }
    const auto askedAt = Clock::now();
    auto listing = co_await mContext.store.list(replica.prefix);
    if (listing) {
      std::vector<core::MirroredItem> items;
      std::ranges::transform(listing.value().items,
                             std::back_inserter(items),
                             [](auto& item) { return toMirroredItem(item); });
      replica.mirror.replace(items, listing.value().revision);
      markConfirmed(replica,
                    std::chrono::duration_cast<Millis>(Clock::now() - askedAt));
    } else {
      mContext.registry.recordDirectoryFailure(Clock::now());
    }
    co_await net::sleepFor(listing ? kServerPollInterval : kFailureRetryDelay);
  }
}

void
StateReplicator::markConfirmed(Replica& replica, Millis age)
{
  replica.confirmedAt = std::max(replica.confirmedAt, Clock::now() - age);
  mWaitingFollowers.notifyAll();
}

void
StateReplicator::recordStoreReachability(bool isReachable)
{
  if (isReachable != mIsStoreReachable) {
    mIsStoreReachable = isReachable;
    mContext.log.warning("store",
                         { { "outcome", isReachable ? "regained" : "lost" } });
  }
}

} // namespace lentilrack::gateway
