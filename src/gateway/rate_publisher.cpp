#include "gateway/rate_publisher.h"

#include <algorithm>
#include <cmath>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using core::TimePoint;

constexpr Millis kPublishInterval{ 200 };
/// Minimum time between two changes of the key of one server. It is long enough
/// for the first change to be mirrored.
constexpr Millis kMinChangeInterval{ 2'000 };
/// Smaller relative changes of a rate are not published. An instance that asks
/// for a permit need not know the exact rate.
constexpr double kMinRelativeChange = 0.1;
/// The store accepts this many entries in a transaction; each change needs a
/// precondition and a write or delete.
constexpr std::size_t kMaxChanges = 16;

} // namespace

RatePublisher::RatePublisher(Context& context, ClusterView& cluster)
  : mContext(context)
  , mCluster(cluster)
{
}

void
RatePublisher::start()
{
  net::spawn(mContext.io, publishRepeatedly());
}

net::Awaitable<void>
RatePublisher::publishRepeatedly()
{
  for (;;) {
    co_await net::sleepFor(kPublishInterval);
    applyToNewServers();
    auto transaction = prepareChanges(Clock::now());
    if (transaction.preconditions.empty()) {
      continue;
    }
    const auto writes = transaction.writes;
    const auto commit = co_await mContext.store.commit(std::move(transaction));
    if (commit.error) {
      // The rates are published by a later try. Until then, instances learn
      // them from their own responses and from the answers of the allocator.
      mContext.log.warning("server_rates_not_published",
                           { { "error", commit.error.message() } });
      continue;
    }
    for (const auto& write : writes) {
      mCluster.recordItem({ write.key, write.value, commit.revision });
    }
  }
}

void
RatePublisher::applyToNewServers()
{
  for (const auto& [id, rate] : mCluster.statedRates()) {
    const auto* state = mContext.registry.find(id, rate.startedAt);
    if (state != nullptr && state->rateStatedAt == TimePoint{}) {
      mContext.registry.recordStatedRate(
        id, rate.startedAt, rate.perSecond, Clock::now());
    }
  }
}

StoreTransaction
RatePublisher::prepareChanges(TimePoint now)
{
  StoreTransaction transaction;
  const auto& published = mCluster.statedRates();
  const auto canChange = [&](const std::string& server) {
    const auto next = mNextChangeAt.find(server);
    return mCluster.isMembershipCurrent() &&
           transaction.preconditions.size() < kMaxChanges &&
           (next == mNextChangeAt.end() || now >= next->second) &&
           mCluster.rateAllocatorOf(server) == mContext.settings.instance;
  };
  const auto change = [&](const std::string& server) {
    const auto known = published.find(server);
    transaction.preconditions.push_back(
      { keys::rate(server),
        known == published.end() ? 0 : known->second.revision });
    mNextChangeAt[server] = now + kMinChangeInterval;
  };
  std::erase_if(mNextChangeAt,
                [&](const auto& item) { return now >= item.second; });
  for (const auto* server : mContext.registry.all()) {
    const auto& [id, startedAt] =
      std::tie(server->entry.id, server->entry.startedAt);
    if (!server->statedRate) {
      continue;
    }
    const auto known = published.find(id);
    const bool isPublished =
      known != published.end() && known->second.startedAt == startedAt &&
      std::abs(known->second.perSecond - *server->statedRate) <=
        kMinRelativeChange * *server->statedRate;
    if (!isPublished && canChange(id)) {
      change(id);
      const StatedRate rate{ startedAt, *server->statedRate, 0 };
      transaction.writes.push_back({ keys::rate(id), rate.encode(), 0 });
    }
  }
  for (const auto& [id, rate] : published) {
    const auto* server = mContext.registry.find(id, rate.startedAt);
    const bool isStated = server != nullptr && server->statedRate;
    const bool isRegistryKnown = !mContext.registry.empty();
    if (!isStated && isRegistryKnown && canChange(id)) {
      change(id);
      transaction.deletes.push_back(keys::rate(id));
    }
  }
  return transaction;
}

} // namespace lentilrack::gateway
