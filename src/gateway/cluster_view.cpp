#include "gateway/cluster_view.h"

#include "core/batch_home.h"
#include "core/takeover_order.h"

#include <algorithm>

namespace lentilrack::gateway {

namespace {

using core::Millis;

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

} // namespace

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

bool
ClusterView::servesDuties() const
{
  return mSeparateDutyLease.id == 0 &&
         mMemberLease.timeToLive <=
           std::max(kLeaseTtl, mContext.settings.minLeaseTtl);
}

const ClusterView::Lease&
ClusterView::dutyLease() const
{
  return servesDuties() ? mMemberLease : mSeparateDutyLease;
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

Holder
ClusterView::selfAsOwner() const
{
  auto owner = self();
  owner.lease = lease();
  return owner;
}

bool
ClusterView::isListedOwner(const std::string& batch,
                           std::int64_t revision) const
{
  const auto* owner = ownerOf(batch);
  return owner != nullptr && isSelf(*owner) && owner->revision == revision &&
         owner->lease != 0 && owner->lease == lease();
}

bool
ClusterView::isProvenOwner(const std::string& batch,
                           std::int64_t revision) const
{
  return isListedOwner(batch, revision) && dutyLease().isCurrent();
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
    if (peer.isAvailable()) {
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
    if (peer.isAvailable()) {
      candidates.push_back({ name, peer.processorShare });
    }
  }
  return core::chooseBatchHome(std::move(candidates), model);
}

std::vector<std::string>
ClusterView::rateAllocators(const std::string& server, std::size_t count) const
{
  auto instances = presentPeers();
  if (mContext.isLeaving) {
    std::erase(instances, mContext.settings.instance);
  }
  return core::firstInTakeoverOrder(
    std::move(instances), keys::rate(server), count);
}

std::string
ClusterView::rateAllocatorOf(const std::string& server)
{
  if (mAllocatorsVersion != mPeersVersion || mContext.isLeaving) {
    mAllocators.clear();
    mAllocatorsVersion = mPeersVersion;
  }
  const auto [found, isNew] = mAllocators.try_emplace(server);
  if (isNew) {
    const auto first = rateAllocators(server, 1);
    found->second = first.empty() ? "" : first.front();
  }
  return found->second;
}

bool
ClusterView::isMembershipCurrent() const
{
  return mIsRegistered && mMemberLease.isCurrent();
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
  if (key.starts_with(keys::kInstances)) {
    if (auto peer = Peer::decode(item)) {
      mContext.log.info(
        "member",
        { { "instance", peer->instance },
          { "revision", item.revision },
          { "outcome", peer->isLeaving ? "leaving" : "present" } });
      mPeers[peer->instance] = std::move(*peer);
      ++mPeersVersion;
      mLargestFleet = std::max(mLargestFleet, mPeers.size());
    }
  } else if (key.starts_with(keys::kBatches)) {
    if (auto record =
          BatchRecord::decode({ item.key, item.value, item.revision })) {
      mBatches[item.key.substr(keys::kBatches.size())] = std::move(*record);
    }
  } else if (key.starts_with(keys::kOwners)) {
    if (auto holder = Holder::decode({ item.key, item.value, item.revision })) {
      mBatchOwners[item.key.substr(keys::kOwners.size())] = std::move(*holder);
    }
  } else if (key.starts_with(keys::kRates)) {
    if (const auto rate = StatedRate::decode(item)) {
      const auto server = item.key.substr(keys::kRates.size());
      mStatedRates[server] = *rate;
      mContext.registry.recordStatedRate(
        server, rate->startedAt, rate->perSecond, core::Clock::now());
    }
  } else if (key == keys::kLeader) {
    mLeader = Holder::decode({ item.key, item.value, item.revision });
  } else if (key == keys::kHedging) {
    mContext.hedging.applyStoredLimit(item.value, item.revision);
  }
  if (mOnChange) {
    mOnChange();
  }
}

void
ClusterView::applyRemoval(const std::string& removed, std::int64_t revision)
{
  const std::string_view key = removed;
  if (key.starts_with(keys::kInstances)) {
    const auto name = removed.substr(keys::kInstances.size());
    mContext.log.info("member",
                      { { "instance", name },
                        { "revision", revision },
                        { "outcome", "gone" } });
    mPeers.erase(name);
    ++mPeersVersion;
    mIsRegistered = mIsRegistered && name != mContext.settings.instance;
  } else if (key.starts_with(keys::kBatches)) {
    mBatches.erase(removed.substr(keys::kBatches.size()));
  } else if (key.starts_with(keys::kOwners)) {
    mBatchOwners.erase(removed.substr(keys::kOwners.size()));
  } else if (key.starts_with(keys::kRates)) {
    const auto server = removed.substr(keys::kRates.size());
    if (const auto rate = mStatedRates.extract(server)) {
      mContext.registry.recordStatedRate(
        server, rate.mapped().startedAt, std::nullopt, core::Clock::now());
    }
  } else if (key == keys::kLeader) {
    mLeader.reset();
  } else if (key == keys::kHedging) {
    mContext.hedging.removeStoredLimit(revision);
  }
}

void
ClusterView::markPeerLeaving(const std::string& instance)
{
  const auto found = mPeers.find(instance);
  if (found != mPeers.end()) {
    found->second.isLeaving = true;
    ++mPeersVersion;
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
    co_await net::sleepFor(mIsRegistered ? core::LeaseTiming::renewIntervalOf(
                                             mMemberLease.timeToLive)
                                         : registrationRetryDelay());
  }
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
  const bool servedDuties = servesDuties();
  const bool isGranted = co_await grant(mMemberLease, wanted);
  if (!isGranted) {
    co_return;
  }
  mMemberLeaseGrantedAt = core::Clock::now();
  mIsRegistered = false;
  // The keys of present duties stay bound to the previous lease.
  if (servedDuties && hasDuties()) {
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
  const bool servedDuties = servesDuties();
  mContext.log.warning("lease",
                       { { "lease", mMemberLease.id }, { "outcome", "lost" } });
  mMemberLease = {};
  mIsRegistered = false;
  if (servedDuties) {
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
  const Peer self{ settings.instance,       settings.failureDomain,
                   settings.callerAddress,  settings.peerAddress,
                   settings.processorShare, mContext.isLeaving };
  StoreTransaction transaction;
  transaction.writes = {
    { keys::instance(settings.instance), self.encode(), mMemberLease.id }
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
