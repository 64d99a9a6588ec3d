#include "gateway/state_replicator.h"

#include "core/decimal.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using Json = nlohmann::json;

/// Longest watch of the cluster keys (members, batches, owners and leader). It
/// is longer than the other watches, to save calls to the store: these keys
/// need not be known within a fixed time, and a change ends the watch at once.
constexpr Millis kClusterWatchTimeout{ 2'000 };
/// Pause after a watch that has delivered changes, so that changes in quick
/// succession share one call.
constexpr Millis kChangeCollectionTime{ 30 };
/// Pause after a watch that has delivered only registrations of processes. They
/// come in quick succession while a fleet starts, and nothing waits for them: a
/// process gets work only when others know it.
constexpr Millis kRegistrationCollectionTime{ 250 };
constexpr Millis kFailureRetryDelay{ 100 };
constexpr Millis kIdlePollInterval{ 100 };
/// How often a process without complete mirrors looks whether they are.
constexpr Millis kCompletionPollInterval{ 20 };
/// Pause between a listing and the first watch. It is longer than a process
/// that has just completed its mirrors needs to find a process that it can
/// follow, so that most processes need no watch.
constexpr Millis kFirstWatchDelay{ 60 };
/// Number of processes that are asked for the first state before the store is.
constexpr int kMaxFirstSources = 2;
/// How much longer than the source holds a request the follower waits for the
/// response.
constexpr Millis kFollowTimeoutMargin{ 250 };
/// Minimum time between two responses to a follower, so that changes in quick
/// succession share one response.
constexpr Millis kMinResponseInterval{ 15 };
/// A process that has just started asks the seeds for this long before it reads
/// the store itself. All processes may start at the same time, and the seeds
/// read the store within a few milliseconds.
constexpr Millis kSeedTimeout{ 1'500 };
/// Delay before the next source is asked, so that sources without current data
/// are not asked in quick succession by all their followers.
constexpr Millis kNextSourceDelay{ 20 };

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

/// Returns true if processes have only registered themselves anew.
bool
hasOnlyRegistrations(const StoreChanges& changes)
{
  return std::ranges::all_of(changes.changes, [](const StoreChange& change) {
    return change.value && change.key.starts_with(keys::kInstances);
  });
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
  , mTiming(core::ReplicationTiming::forBounds(
      context.settings.bounds.configPropagation,
      context.settings.bounds.drainPropagation))
  , mTree(context.settings.instance)
  , mOperatorKeys{ context.mirrors.operatorKeys,
                   context.format.storeKeys().operatorPrefix,
                   mTiming.watchTimeout }
  , mServers{ context.mirrors.servers,
              context.format.storeKeys().serverPrefix,
              mTiming.watchTimeout }
  , mClusterKeys{ context.mirrors.cluster,
                  keys::prefix(),
                  kClusterWatchTimeout }
{
}

void
StateReplicator::start()
{
  mStartedAt = Clock::now();
  net::spawn(mContext.io, watchStore(mOperatorKeys));
  net::spawn(mContext.io, watchStore(mClusterKeys));
  net::spawn(mContext.io, pollStore(mServers));
  net::spawn(mContext.io, followSource());
}

core::TimePoint
StateReplicator::confirmedAt() const
{
  const auto extraWait = kClusterWatchTimeout - mTiming.watchTimeout;
  return std::min({ mOperatorKeys.confirmedAt,
                    mServers.confirmedAt,
                    mClusterKeys.confirmedAt + extraWait });
}

Millis
StateReplicator::mirrorAge() const
{
  return std::chrono::duration_cast<Millis>(Clock::now() - confirmedAt());
}

bool
StateReplicator::isComplete() const
{
  return mOperatorKeys.mirror.isComplete() && mServers.mirror.isComplete() &&
         mClusterKeys.mirror.isComplete();
}

bool
StateReplicator::mayAskSeeds() const
{
  const auto& settings = mContext.settings;
  return !settings.seeds.empty() && settings.peerAddress &&
         std::ranges::find(settings.seeds, *settings.peerAddress) ==
           settings.seeds.end() &&
         Clock::now() < mStartedAt + kSeedTimeout;
}

void
StateReplicator::updateTree()
{
  if (mTreeVersion == mCluster.peersVersion()) {
    return;
  }
  mTreeVersion = mCluster.peersVersion();
  std::vector<core::ReplicationTree::Member> members;
  for (const auto& [name, peer] : mCluster.peers()) {
    if (peer.isAvailable()) {
      members.push_back({ name, peer.failureDomain });
    }
  }
  mTree.setMembers(std::move(members));
}

net::Awaitable<void>
StateReplicator::followSource()
{
  for (;;) {
    if (!isComplete()) {
      co_await completeMirrors();
      continue;
    }
    updateTree();
    const auto now = Clock::now();
    const bool isStale = mirrorAge() > mTiming.maxMirrorAge;
    const bool isCutReader = mTree.isReader() && !mIsStoreReachable && isStale;
    auto source =
      isCutReader ? mTree.sourceForCutReader(now) : mTree.source(now);
    mStandsBy = !source && mTree.leadingReader(now).has_value();
    if (mStandsBy) {
      // Until the leading reader has answered, this reader goes on as before.
      source = mTree.leadingReader(now);
    } else {
      // A process whose state is too old tries the store while it goes on
      // asking the sources: the store may turn away just the processes that
      // supply it.
      mReadsStoreDirectly = !source || isStale;
    }
    if (!source) {
      co_await net::sleepFor(kIdlePollInterval);
      continue;
    }
    const bool isUpdated = co_await follow(*source);
    if (mStandsBy) {
      mReadsStoreDirectly = !isUpdated || mirrorAge() > mTiming.standbyAge;
    }
    if (!isUpdated) {
      co_await net::sleepFor(kNextSourceDelay);
    }
  }
}

net::Awaitable<void>
StateReplicator::completeMirrors()
{
  if (mayAskSeeds()) {
    co_await fetchFromSeed();
    co_return;
  }
  // One listing tells which processes can supply the rest.
  mReadsMembers = true;
  std::optional<std::string> source;
  if (mClusterKeys.mirror.isComplete()) {
    updateTree();
    source = mTree.source(Clock::now());
    mReadsStoreDirectly = mReadsStoreDirectly || !source;
  }
  if (!source) {
    co_await net::sleepFor(kCompletionPollInterval);
    co_return;
  }
  const bool isUpdated = co_await follow(*source);
  if (!isUpdated) {
    mReadsStoreDirectly =
      mReadsStoreDirectly || ++mFailedFirstSources >= kMaxFirstSources;
    co_await net::sleepFor(kNextSourceDelay);
  }
}

net::Awaitable<bool>
StateReplicator::follow(std::string source)
{
  const auto peer = mCluster.peers().find(source);
  const bool isUpdated = peer != mCluster.peers().end() &&
                         co_await fetchFrom(*peer->second.peerEndpoint);
  if (!isUpdated) {
    mContext.log.warning("reader",
                         { { "instance", source },
                           { "age_ms", mirrorAge() },
                           { "outcome", "failed" } });
    mTree.recordFailure(source, Clock::now());
  }
  co_return isUpdated;
}

net::Awaitable<void>
StateReplicator::fetchFromSeed()
{
  const auto& seeds = mContext.settings.seeds;
  const auto seed = seeds[mNextSeed++ % seeds.size()];
  const bool isUpdated = co_await fetchFrom(seed);
  if (!isUpdated) {
    co_await net::sleepFor(kIdlePollInterval);
  }
}

net::Awaitable<bool>
StateReplicator::fetchFrom(core::Endpoint source)
{
  if (source != mFollowedEndpoint) {
    mFollowedEndpoint = source;
    mFollowedIncarnation.clear();
  }
  net::HttpRequest request;
  request.target = fmt::format(
    "{}?lifetime={}&operator={}&servers={}&cluster={}&wait={}&confirm={}",
    peer_paths::kState,
    mFollowedIncarnation,
    mOperatorKeys.followedSequence,
    mServers.followedSequence,
    mClusterKeys.followedSequence,
    mTiming.followTimeout.count(),
    mStandsBy ? 1 : 0);
  const auto sentAt = Clock::now();
  const auto answer = co_await mPeers.sendRequest(
    source, std::move(request), mTiming.followTimeout + kFollowTimeoutMargin);
  const auto elapsed =
    std::chrono::duration_cast<Millis>(Clock::now() - sentAt);
  co_return answer && answer->status == 200 &&
    applySourceResponse(source.text(), answer->body, elapsed);
}

bool
StateReplicator::applySourceResponse(const std::string& source,
                                     const std::string& body,
                                     Millis elapsed)
{
  try {
    const auto json = Json::from_cbor(body);
    // The source reports the age at the end of the time for which it held the
    // request. The rest of the elapsed time may have passed since then, for
    // example because one of the two processes was suspended.
    const auto held = Millis(json.at("held_ms").get<std::int64_t>());
    const auto age = Millis(json.at("age_ms").get<std::int64_t>()) +
                     std::max(elapsed - held, Millis(0));
    const std::array<std::pair<const char*, Replica*>, 3> parts{
      { { "operator", &mOperatorKeys },
        { "servers", &mServers },
        { "cluster", &mClusterKeys } }
    };
    for (const auto& [name, replica] : parts) {
      const auto delta = decodeDelta(json.at(name));
      replica->mirror.applyDelta(delta);
      replica->followedSequence = delta.sequence;
      markConfirmed(*replica, age);
    }
    mFollowedIncarnation = json.at("lifetime").get<std::string>();
    return age <= mTiming.maxMirrorAge;
  } catch (const Json::exception& error) {
    mContext.log.warning("malformed_state",
                         { { "source", source }, { "error", error.what() } });
    return false;
  }
}

net::Awaitable<net::HttpResponse>
StateReplicator::serveFollower(net::HttpRequest request)
{
  net::HttpResponse response;
  if (mirrorAge() > mTiming.maxMirrorAge) {
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
  const auto wait = std::clamp(
    Millis(core::parseDecimal<std::int64_t>(request.query("wait")).value_or(0)),
    Millis(0),
    mTiming.followTimeout);
  const auto receivedAt = Clock::now();
  const auto end = receivedAt + wait;
  const auto hasChanges = [&] {
    return mOperatorKeys.mirror.sequence() != operatorSequence ||
           mServers.mirror.sequence() != serverSequence ||
           mClusterKeys.mirror.sequence() != clusterSequence;
  };
  // A reader that stands by wants to know each confirmation at once, so that it
  // reads the store only if there is none.
  const bool wantsConfirmation = request.query("confirm") == "1";
  const auto confirmedBefore = confirmedAt();
  const auto isConfirmed = [&] {
    return wantsConfirmation && confirmedAt() > confirmedBefore;
  };
  while (!hasChanges() && !isConfirmed() && Clock::now() < end) {
    co_await mWaitingFollowers.wait(
      mContext.io,
      std::chrono::duration_cast<Millis>(end - Clock::now()) + Millis(1));
  }
  co_await net::sleepFor(kMinResponseInterval);
  const Json json = {
    { "lifetime", mContext.incarnation },
    { "age_ms", mirrorAge().count() },
    { "held_ms",
      std::chrono::duration_cast<Millis>(Clock::now() - receivedAt).count() },
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

bool
StateReplicator::mayRead(const Replica& replica) const
{
  // A request to the leading reader may be under way when its answer is
  // overdue.
  const bool isOverdue = mStandsBy && mirrorAge() > mTiming.standbyAge;
  const bool isFirstListing =
    mReadsMembers && &replica == &mClusterKeys && !replica.mirror.isComplete();
  return mReadsStoreDirectly || isOverdue || isFirstListing;
}

net::Awaitable<void>
StateReplicator::watchStore(Replica& replica)
{
  // Only received changes advance the revision. A response without changes does
  // not, so that the next watch delivers any changes that this response has
  // left out.
  std::int64_t revision = 0;
  bool wasReading = false;
  // The next watch is shorter by the pause before it, so that the mirror is
  // confirmed as often as without a pause.
  Millis pause(0);
  for (;;) {
    if (!mayRead(replica)) {
      revision = 0;
      wasReading = false;
      co_await net::sleepFor(isComplete() ? kIdlePollInterval
                                          : kCompletionPollInterval);
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
      if (!std::exchange(wasReading, true)) {
        co_await net::sleepFor(kFirstWatchDelay);
        continue;
      }
    }
    auto changes = co_await mContext.store.watch(
      replica.prefix, revision, replica.watchTimeout - pause);
    pause = Millis(0);
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
    replica.mirror.markCompleteTo(revision);
    markConfirmed(replica, Millis(0));
    if (!changes.value().changes.empty()) {
      pause = hasOnlyRegistrations(changes.value())
                ? kRegistrationCollectionTime
                : kChangeCollectionTime;
      co_await net::sleepFor(pause);
    }
  }
}

net::Awaitable<void>
StateReplicator::pollStore(Replica& replica)
{
  for (;;) {
    if (!mayRead(replica)) {
      co_await net::sleepFor(isComplete() ? kIdlePollInterval
                                          : kCompletionPollInterval);
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
    co_await net::sleepFor(listing ? mTiming.serverPollInterval
                                   : kFailureRetryDelay);
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
