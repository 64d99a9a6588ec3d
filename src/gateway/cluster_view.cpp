#include "gateway/cluster_view.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <ctime>

namespace lentilrack::gateway {

namespace {

using core::Millis;
using Json = nlohmann::json;

constexpr Millis kFailureRetryDelay{ 100 };

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
  return Peer{ item.key.substr(kInstances.size()),
               json.value("failure_domain", ""),
               endpointOf(json, "callers"),
               endpointOf(json, "peers"),
               json.value("leaving", false) };
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
}

bool
ClusterView::isLeaseValid(Millis margin) const
{
  return mLease != 0 && bootTime() + margin < mRenewedAt + kLeaseTtl;
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
  const auto weight = [&](const std::string& instance) {
    const auto text = instance + "|" + name;
    return XXH3_64bits(text.data(), text.size());
  };
  const auto ownWeight = weight(mContext.settings.instance);
  return static_cast<std::size_t>(
    std::ranges::count_if(mPeers, [&](const auto& item) {
      return !item.second.isLeaving && weight(item.first) > ownWeight;
    }));
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

net::Awaitable<void>
ClusterView::keepRegistered()
{
  for (;;) {
    const auto sentAt = bootTime();
    if (mLease == 0) {
      auto lease = co_await mContext.store.grantLease(
        std::max(kLeaseTtl, mContext.settings.minLeaseTtl));
      if (lease) {
        mLease = lease.value();
        mRenewedAt = sentAt;
        mIsRegistered = false;
      }
    } else {
      const auto error = co_await mContext.store.renewLease(mLease);
      if (!error) {
        mRenewedAt = sentAt;
      } else if (error == StoreError::LeaseNotFound) {
        handleLeaseLost();
        continue;
      }
    }
    if (mLease != 0 && !mIsRegistered) {
      mIsRegistered = co_await registerSelf();
    }
    co_await net::sleepFor(mIsRegistered ? kRenewInterval : kFailureRetryDelay);
  }
}

void
ClusterView::handleLeaseLost()
{
  mContext.log.warning("lease", { { "lease", mLease }, { "outcome", "lost" } });
  mLease = 0;
  mIsRegistered = false;
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
                { "leaving", mContext.isLeaving } };
  if (settings.callerAddress) {
    json["callers"] = settings.callerAddress->text();
  }
  if (settings.peerAddress) {
    json["peers"] = settings.peerAddress->text();
  }
  StoreTransaction transaction;
  transaction.writes = {
    { keys::instance(settings.instance), json.dump(), mLease }
  };
  const auto commit = co_await mContext.store.commit(transaction);
  if (!commit.error) {
    recordItem({ transaction.writes[0].key,
                 transaction.writes[0].value,
                 commit.revision });
  } else if (commit.error == StoreError::LeaseNotFound) {
    handleLeaseLost();
  }
  co_return !commit.error;
}

net::Awaitable<void>
ClusterView::announceLeaving()
{
  if (mLease != 0) {
    const bool isAnnounced = co_await registerSelf();
    mContext.log.info("leaving_told", { { "outcome", isAnnounced } });
  }
}

} // namespace lentilrack::gateway
