#include "gateway/cluster_view.h"

#include "core/batch_home.h"
#include "core/lease_timing.h"
#include "core/takeover_order.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <ctime>

namespace lentilrack::gateway {

namespace {

using core::Millis;
using Json = nlohmann::json;

constexpr Millis kFailureRetryDelay{ 100 };
/// A process that has just started registers after this time even if it has not
/// read the cluster keys yet.
constexpr Millis kMaxSyncWait{ 2'000 };
constexpr Millis kSyncPollInterval{ 20 };
/// The lease of the registration is kept this long at least, so that it is not
/// replaced several times while the fleet starts.
constexpr Millis kMinMemberLeaseAge{ 3'000 };
/// A separate duty lease is renewed for this long after it was last requested,
/// even without duties, since the next duty often comes soon.
constexpr Millis kUnusedDutyLeaseTime{ 20'000 };

constexpr std::string_view kPrefix = "lentilrack/";
constexpr std::string_view kInstances = "lentilrack/instances/";
constexpr std::string_view kBatches = "lentilrack/batches/";
constexpr std::string_view kOwners = "lentilrack/owners/";
constexpr std::string_view kLeader = "lentilrack/leader";

/// Returns the time since the machine booted, including time in which it was
/// suspended.
Millis
bootTime()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  constexpr std::int64_t kMillisPerSecond = 1000;
  constexpr std::int64_t kNanosPerMilli = 1'000'000;
  return Millis(now.tv_sec * kMillisPerSecond + now.tv_nsec / kNanosPerMilli);
}

std::optional<core::Endpoint>
endpointOf(const Json& json, const char* name)
{
  return core::Endpoint::parse(json.value(name, ""));
}

std::optional<Peer>
decodePeer(const core::MirroredItem& item)
{
  const auto json = Json::parse(item.value, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  return Peer{
    item.key.substr(kInstances.size()), json.value("failure_domain", ""),
    endpointOf(json, "callers"),        endpointOf(json, "peers"),
    json.value("processor_share", 0.0), json.value("leaving", false)
  };
}

} // namespace

namespace keys {

std::string
prefix()
{
  return std::string(kPrefix);
}

std::string
instance(const std::string& name)
{
  return std::string(kInstances) + name;
}

std::string
batch(const std::string& id)
{
  return std::string(kBatches) + id;
}

std::string
owner(const std::string& id)
{
  return std::string(kOwners) + id;
}

std::string
leader()
{
  return std::string(kLeader);
}

std::string
dataPrefix(const std::string& id)
{
  return "lentilrack-data/" + id + "/";
}

std::string
bodyPart(const std::string& id, std::size_t index)
{
  return fmt::format("{}body/{:04}", dataPrefix(id), index);
}

std::string
resultsPrefix(const std::string& id)
{
  return dataPrefix(id) + "results/";
}

std::string
results(const std::string& id, std::size_t position)
{
  return fmt::format("{}{:08}", resultsPrefix(id), position);
}

} // namespace keys

Millis
unixNow()
{
  return std::chrono::duration_cast<Millis>(
    std::chrono::system_clock::now().time_since_epoch());
}

std::string
BatchRecord::encode() const
{
  return Json{
    { "host", host },
    { "path", path },
    { "total", total },
    { "parts", bodyParts },
    { "model", model },
    { "work", estimatedTokens },
    { "submitted_at", submittedAt.count() },
    { "state", static_cast<int>(state) }
  }.dump();
}

std::optional<BatchRecord>
BatchRecord::decode(const StoreItem& item)
{
  const auto json = Json::parse(item.value, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  BatchRecord record;
  record.host = json.value("host", "");
  record.path = json.value("path", "");
  record.total = json.value("total", std::size_t{ 0 });
  record.bodyParts = json.value("parts", std::size_t{ 0 });
  record.model = json.value("model", "");
  record.estimatedTokens = json.value("work", 0.0);
  record.submittedAt = Millis(json.value("submitted_at", std::int64_t{ 0 }));
  record.state = static_cast<BatchState>(json.value("state", 0));
  record.revision = item.revision;
  return record;
}

std::string
Holder::encode() const
{
  return Json{ { "instance", instance }, { "lifetime", incarnation } }.dump();
}

std::optional<Holder>
Holder::decode(const StoreItem& item)
{
  const auto json = Json::parse(item.value, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  return Holder{ json.value("instance", ""),
                 json.value("lifetime", ""),
                 item.revision };
}

ClusterView::ClusterView(Context& context)
  : mContext(context)
{
  mContext.mirrors.cluster.onItem(
    [this](const auto& item) { applyItem(item); });
  mContext.mirrors.cluster.onRemoved(
    [this](const auto& key, auto revision) { applyRemoval(key, revision); });
}

void
ClusterView::start()
{
  net::spawn(mContext.io, keepRegistered());
  net::spawn(mContext.io, keepDutyLease());
}

const ClusterView::Lease&
ClusterView::dutyLease() const
{
  const bool isMemberLeaseShort =
    mMemberLease.timeToLive <=
    std::max(kLeaseTtl, mContext.settings.minLeaseTtl);
  return mSeparateDutyLease.id == 0 && isMemberLeaseShort ? mMemberLease
                                                          : mSeparateDutyLease;
}

net::Awaitable<std::int64_t>
ClusterView::acquireLease()
{
  mDutyRequestedAt = core::Clock::now();
  if (dutyLease().id == 0 && mMemberLease.id != 0) {
    // Another call may have obtained a lease in the meantime; the unused one
    // expires by itself.
    Lease granted;
    co_await grant(granted, kLeaseTtl);
    if (dutyLease().id == 0) {
      mSeparateDutyLease = granted;
    }
  }
  co_return dutyLease().id;
}

bool
ClusterView::isLeaseValid(Millis margin) const
{
  const auto& lease = dutyLease();
  return lease.id != 0 && bootTime() + margin < lease.renewedAt + kLeaseTtl;
}

const Holder*
ClusterView::ownerOf(const std::string& batch) const
{
  const auto found = mBatchOwners.find(batch);
  return found == mBatchOwners.end() ? nullptr : &found->second;
}

Holder
ClusterView::self() const
{
  return { mContext.settings.instance, mContext.incarnation, 0 };
}

bool
ClusterView::isSelf(const Holder& holder) const
{
  return holder.instance == mContext.settings.instance &&
         holder.incarnation == mContext.incarnation;
}

std::size_t
ClusterView::takeoverRank(const std::string& name) const
{
  const auto ownWeight = core::takeoverWeight(mContext.settings.instance, name);
  return static_cast<std::size_t>(
    std::ranges::count_if(mPeers, [&](const auto& item) {
      return !item.second.isLeaving &&
             core::takeoverWeight(item.first, name) > ownWeight;
    }));
}

std::vector<std::string>
ClusterView::presentPeers() const
{
  std::vector<std::string> result;
  for (const auto& [name, peer] : mPeers) {
    if (!peer.isLeaving && peer.peerEndpoint) {
      result.push_back(name);
    }
  }
  return result;
}

std::optional<std::string>
ClusterView::homeOf(const std::string& model) const
{
  std::vector<core::HomeCandidate> candidates;
  for (const auto& [name, peer] : mPeers) {
    if (!peer.isLeaving && peer.peerEndpoint) {
      candidates.push_back({ name, peer.processorShare });
    }
  }
  return core::chooseBatchHome(std::move(candidates), model);
}

std::vector<std::string>
ClusterView::ownersOfModel(const std::string& model) const
{
  std::vector<std::string> result;
  for (const auto& [id, holder] : mBatchOwners) {
    const auto batch = mBatches.find(id);
    const bool isOpen =
      batch != mBatches.end() && batch->second.state == BatchState::Open;
    if (isOpen && batch->second.model == model) {
      result.push_back(holder.instance);
    }
  }
  return result;
}

void
ClusterView::recordItem(const StoreItem& item)
{
  mContext.mirrors.cluster.put({ item.key, item.value, item.revision });
}

void
ClusterView::applyItem(const core::MirroredItem& item)
{
  const std::string_view key = item.key;
  if (key.starts_with(kInstances)) {
    if (auto peer = decodePeer(item)) {
      mContext.log.info(
        "member",
        { { "instance", peer->instance },
          { "revision", item.revision },
          { "outcome", peer->isLeaving ? "leaving" : "present" } });
      mPeers[peer->instance] = std::move(*peer);
      mLargestFleet = std::max(mLargestFleet, mPeers.size());
    }
  } else if (key.starts_with(kBatches)) {
    if (auto record =
          BatchRecord::decode({ item.key, item.value, item.revision })) {
      mBatches[item.key.substr(kBatches.size())] = std::move(*record);
    }
  } else if (key.starts_with(kOwners)) {
    if (auto holder = Holder::decode({ item.key, item.value, item.revision })) {
      mBatchOwners[item.key.substr(kOwners.size())] = std::move(*holder);
    }
  } else if (key == kLeader) {
    mLeader = Holder::decode({ item.key, item.value, item.revision });
  }
  if (mOnChange) {
    mOnChange();
  }
}

void
ClusterView::applyRemoval(const std::string& removed, std::int64_t revision)
{
  const std::string_view key = removed;
  if (key.starts_with(kInstances)) {
    const auto name = removed.substr(kInstances.size());
    mContext.log.info("member",
                      { { "instance", name },
                        { "revision", revision },
                        { "outcome", "gone" } });
    mPeers.erase(name);
    mIsRegistered = mIsRegistered && name != mContext.settings.instance;
  } else if (key.starts_with(kBatches)) {
    mBatches.erase(removed.substr(kBatches.size()));
  } else if (key.starts_with(kOwners)) {
    mBatchOwners.erase(removed.substr(kOwners.size()));
  } else if (key == kLeader) {
    mLeader.reset();
  }
}

void
ClusterView::markPeerLeaving(const std::string& instance)
{
  const auto found = mPeers.find(instance);
  if (found != mPeers.end()) {
    found->second.isLeaving = true;
  }
}

net::Awaitable<bool>
ClusterView::grant(Lease& lease, Millis timeToLive)
{
  const auto sentAt = bootTime();
  timeToLive = std::max(timeToLive, mContext.settings.minLeaseTtl);
  const auto granted = co_await mContext.store.grantLease(timeToLive);
  if (granted) {
    lease = { granted.value(), timeToLive, sentAt };
  }
  co_return granted.has_value();
}

net::Awaitable<bool>
ClusterView::renew(Lease& lease)
{
  const auto id = lease.id;
  const auto sentAt = bootTime();
  const auto error = co_await mContext.store.renewLease(id);
  if (!error && lease.id == id) {
    lease.renewedAt = sentAt;
  }
  co_return error != StoreError::LeaseNotFound || lease.id != id;
}

net::Awaitable<void>
ClusterView::keepRegistered()
{
  // The cluster keys tell the size of the fleet, and thus the time to live.
  const auto firstGrantAt = core::Clock::now() + kMaxSyncWait;
  while (!isSynced() && core::Clock::now() < firstGrantAt) {
    co_await net::sleepFor(kSyncPollInterval);
  }
  for (;;) {
    if (mMemberLease.id == 0) {
      const bool isGranted = co_await grant(
        mMemberLease,
        core::LeaseTiming::forProcesses(mPeers.size()).timeToLive);
      if (isGranted) {
        mMemberLeaseGrantedAt = core::Clock::now();
        mIsRegistered = false;
      }
    } else {
      const bool isKnown = co_await renew(mMemberLease);
      if (!isKnown) {
        handleMemberLeaseLost();
        continue;
      }
      co_await adaptMemberLease();
    }
    if (mMemberLease.id != 0 && !mIsRegistered) {
      mIsRegistered = co_await registerSelf();
    }
    co_await net::sleepFor(mIsRegistered ? renewInterval(mMemberLease)
                                         : registrationRetryDelay());
  }
}

Millis
ClusterView::renewInterval(const Lease& lease)
{
  return lease.timeToLive * kRenewInterval.count() / kLeaseTtl.count();
}

Millis
ClusterView::registrationRetryDelay()
{
  // Processes that lose their registration mostly do so together, when the
  // store fails. Their retries must not grow with the fleet.
  const auto spread =
    core::LeaseTiming::forProcesses(mLargestFleet).renewInterval -
    core::LeaseTiming::kShortestRenewal;
  const auto random = static_cast<std::int64_t>(
    mContext.uniformRandom() * static_cast<double>(spread.count()));
  return kFailureRetryDelay + Millis(random);
}

net::Awaitable<void>
ClusterView::adaptMemberLease()
{
  const auto wanted = core::LeaseTiming::forProcesses(mPeers.size()).timeToLive;
  const auto age = core::Clock::now() - mMemberLeaseGrantedAt;
  if (age < kMinMemberLeaseAge || !mIsRegistered ||
      !core::LeaseTiming::mustReplace(mMemberLease.timeToLive, wanted)) {
    co_return;
  }
  const auto previous = mMemberLease;
  const bool isDutyLease = &dutyLease() == &mMemberLease;
  const bool isGranted = co_await grant(mMemberLease, wanted);
  if (!isGranted) {
    co_return;
  }
  mMemberLeaseGrantedAt = core::Clock::now();
  mIsRegistered = false;
  // The keys of present duties stay bound to the previous lease.
  if (isDutyLease && hasDuties()) {
    mSeparateDutyLease = previous;
  }
  mContext.log.info("lease",
                    { { "lease", mMemberLease.id },
                      { "ttl_ms", mMemberLease.timeToLive },
                      { "members", mPeers.size() },
                      { "outcome", "replaced" } });
}

net::Awaitable<void>
ClusterView::keepDutyLease()
{
  for (;;) {
    co_await net::sleepFor(kRenewInterval);
    if (mSeparateDutyLease.id == 0) {
      continue;
    }
    if (!hasDuties()) {
      mSeparateDutyLease = {};
      continue;
    }
    const bool isKnown = co_await renew(mSeparateDutyLease);
    if (!isKnown) {
      mSeparateDutyLease = {};
      handleDutyLeaseLost();
    }
  }
}

bool
ClusterView::hasDuties() const
{
  const bool ownsBatch = std::ranges::any_of(
    mBatchOwners, [this](const auto& item) { return isSelf(item.second); });
  return ownsBatch || (mLeader && isSelf(*mLeader)) ||
         core::Clock::now() - mDutyRequestedAt < kUnusedDutyLeaseTime;
}

void
ClusterView::handleMemberLeaseLost()
{
  const bool isDutyLease = &dutyLease() == &mMemberLease;
  mContext.log.warning("lease",
                       { { "lease", mMemberLease.id }, { "outcome", "lost" } });
  mMemberLease = {};
  mIsRegistered = false;
  if (isDutyLease) {
    handleDutyLeaseLost();
  }
}

void
ClusterView::handleDutyLeaseLost()
{
  mContext.log.warning("duties", { { "outcome", "lost" } });
  // The watch may not have reported yet that the store has deleted the keys of
  // the lost lease. Remove these keys from the mirror here. Otherwise this
  // process would take them for its own under its next lease.
  std::erase_if(mBatchOwners,
                [this](const auto& item) { return isSelf(item.second); });
  if (mLeader && isSelf(*mLeader)) {
    mLeader.reset();
  }
}

net::Awaitable<bool>
ClusterView::registerSelf()
{
  const auto& settings = mContext.settings;
  Json json = { { "failure_domain", settings.failureDomain },
                { "processor_share", settings.processorShare },
                { "leaving", mContext.isLeaving } };
  if (settings.callerAddress) {
    json["callers"] = settings.callerAddress->text();
  }
  if (settings.peerAddress) {
    json["peers"] = settings.peerAddress->text();
  }
  StoreTransaction transaction;
  transaction.writes = {
    { keys::instance(settings.instance), json.dump(), mMemberLease.id }
  };
  const auto commit = co_await mContext.store.commit(transaction);
  if (!commit.error) {
    recordItem({ transaction.writes[0].key,
                 transaction.writes[0].value,
                 commit.revision });
  } else if (commit.error == StoreError::LeaseNotFound) {
    handleMemberLeaseLost();
  }
  co_return !commit.error;
}

net::Awaitable<void>
ClusterView::announceLeaving()
{
  if (mMemberLease.id != 0) {
    const bool isAnnounced = co_await registerSelf();
    mContext.log.info("leaving_told", { { "outcome", isAnnounced } });
  }
}

} // namespace lentilrack::gateway
