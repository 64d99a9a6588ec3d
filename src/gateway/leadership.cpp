#include "gateway/leadership.h"

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;

constexpr Millis kPollInterval{ 100 };
/// In the order in which processes try to become the leader, each one waits
/// this much longer than the one before it.
constexpr Millis kClaimStagger{ 300 };
/// Delay before a settled term is recorded again if the store has not confirmed
/// it. The store may be slow.
constexpr Millis kSettleRetryDelay{ 5'000 };

} // namespace

Leadership::Leadership(Context& context, ClusterView& cluster)
  : mContext(context)
  , mCluster(cluster)
  , mTerm(context.settings.bounds.leaderHandoverDelay)
{
}

void
Leadership::start()
{
  net::spawn(mContext.io, holdElections());
}

DutyHolder
Leadership::dutyHolder() const
{
  return { mContext.settings.instance, fencingToken() };
}

bool
Leadership::isTermCurrent() const
{
  const auto* leader = mCluster.leader();
  return isHeld() && leader != nullptr && leader->revision == fencingToken() &&
         mCluster.isLeaseValid(ClusterView::kLeaseTtl -
                               core::LeaderTerm::kSendWindow);
}

bool
Leadership::maySendWeightOrders() const
{
  return isTermCurrent() && !mContext.isLeaving;
}

bool
Leadership::mayCallProvider() const
{
  return isTermCurrent() && mTerm.mayCallProvider(Clock::now());
}

std::function<bool()>
Leadership::weightOrderCheck() const
{
  return [this, token = fencingToken()] {
    return maySendWeightOrders() && fencingToken() == token;
  };
}

std::function<bool()>
Leadership::providerCallCheck() const
{
  return [this, token = fencingToken()] {
    return mayCallProvider() && fencingToken() == token;
  };
}

net::Awaitable<void>
Leadership::holdElections()
{
  for (;;) {
    co_await net::sleepFor(kPollInterval);
    const auto* leader = mCluster.leader();
    const bool isSelf = leader != nullptr && mCluster.isSelf(*leader);
    if (!isSelf) {
      mTerm.end();
      co_await claim();
      continue;
    }
    if (fencingToken() != leader->revision) {
      beginTerm(*leader);
    }
    // A process that shuts down gives no orders, but still records this for the
    // process after it.
    const auto now = Clock::now();
    if (!leader->isSettled && now >= mSettleAfter &&
        mTerm.weightOrderDelay().isHandoverOver(now)) {
      mSettleAfter = now + kSettleRetryDelay;
      co_await recordSettled(*leader);
    }
  }
}

Holder
Leadership::makeHolder(bool isSettled) const
{
  auto holder = mCluster.self();
  holder.address = mContext.settings.address;
  holder.isSettled = isSettled;
  return holder;
}

void
Leadership::beginTerm(const Holder& leader)
{
  // The former leader may not have noticed yet that the store revoked its
  // lease, and may still send orders. The term may have begun in an earlier
  // process of this instance, or by a claim whose outcome this process did not
  // learn.
  if (!leader.isSettled) {
    mSettleAfter = {};
  }
  mTerm.begin(leader.revision, leader.isSettled, Clock::now());
  mContext.log.info(
    "leader_term",
    { { "fence", leader.revision },
      { "outcome", leader.isSettled ? "settled" : "delayed" } });
}

net::Awaitable<std::optional<StoreCommit>>
Leadership::storeHolder(Holder holder, std::int64_t presentRevision)
{
  const auto lease = co_await mCluster.acquireLease();
  if (lease == 0) {
    // Without a lease the key would outlive this process.
    co_return std::nullopt;
  }
  StoreTransaction transaction;
  transaction.preconditions = { { keys::leader(), presentRevision } };
  transaction.writes = { { keys::leader(), holder.encode(), lease } };
  const auto commit = co_await mContext.store.commit(std::move(transaction));
  if (commit.outcome() == WriteOutcome::Done) {
    mCluster.recordItem({ keys::leader(), holder.encode(), commit.revision });
  }
  co_return commit;
}

net::Awaitable<void>
Leadership::recordSettled(const Holder& leader)
{
  const auto commit = co_await storeHolder(makeHolder(true), leader.revision);
  if (commit) {
    logCommit("leader_settled", *commit);
  }
}

void
Leadership::logCommit(std::string_view event, const StoreCommit& commit) const
{
  mContext.log.info(
    event,
    { { "fence", commit.revision },
      { "outcome", commit.error ? commit.error.message() : "done" } });
}

net::Awaitable<void>
Leadership::claim()
{
  const auto* leader = mCluster.leader();
  const auto now = Clock::now();
  const bool isOwnInstance =
    leader != nullptr && leader->instance == mContext.settings.instance;
  const bool isVacant = leader == nullptr || isOwnInstance;
  if (!isVacant || !mCluster.isSynced() || !mCluster.isRegistered() ||
      mContext.isLeaving) {
    mNoLeaderSince = {};
    co_return;
  }
  if (mNoLeaderSince == core::TimePoint{}) {
    mNoLeaderSince = now;
  }
  const auto claimDelay =
    kClaimStagger * static_cast<int>(mCluster.takeoverRank(keys::leader()));
  if (!isOwnInstance && now - mNoLeaderSince < claimDelay) {
    co_return;
  }
  const auto presentRevision = isOwnInstance ? leader->revision : 0;
  const bool isSameMachine =
    isOwnInstance && leader->address == mContext.settings.address;
  const bool isSettled = isSameMachine && leader->isSettled;
  const auto commit =
    co_await storeHolder(makeHolder(isSettled), presentRevision);
  if (!commit) {
    co_return;
  }
  logCommit("leader_claimed", *commit);
  if (commit->error) {
    std::ranges::for_each(
      commit->current, [this](const auto& item) { mCluster.recordItem(item); });
  }
}

} // namespace lentilrack::gateway
