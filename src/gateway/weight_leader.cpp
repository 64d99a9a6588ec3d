#include "gateway/weight_leader.h"

#include "net/http_status.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using Json = nlohmann::json;

constexpr Millis kRound{ 100 };
constexpr Millis kConnectTimeout{ 250 };
constexpr Millis kOrderTimeout{ 900 };
/// A load is asked for from this time after its order until loads were seen
/// to take longer; asking earlier only costs a call.
constexpr Millis kFirstCheck{ 900 };
/// What a server says of its load is about this old.
constexpr Millis kReportAge{ 150 };
constexpr Millis kCheckPause{ 200 };
/// A server that is not busy this long after an order did not take it.
constexpr Millis kLostOrder{ 2'000 };
/// Servers are given no item for this long after an order.
constexpr Millis kLoadingNotice{ 1'500 };
/// Orders are given only for so long after the last renewal of the lease. A
/// successor waits for its end, so that it is short; renewals come every 0.6 s
/// and take up to 0.3 s when the store is slow.
constexpr Millis kOrderWindow{ 1'200 };
constexpr Millis kClaimPause{ 300 };
constexpr Millis kDutyPause{ 15'000 };

} // namespace

WeightLeader::WeightLeader(Context& context,
                           ClusterView& cluster,
                           StateSync& state,
                           PeerClient& peers)
  : mContext(context)
  , mCluster(cluster)
  , mState(state)
  , mPeers(peers)
  , mPause(
      { .pause = context.settings.bounds.holderPause, .window = kOrderWindow })
{
}

void
WeightLeader::start()
{
  net::spawn(mContext.io, lead());
}

bool
WeightLeader::mayOrder() const
{
  const auto* leader = mCluster.leader();
  return mFence != 0 && leader != nullptr && leader->revision == mFence &&
         mCluster.leaseIsFresh(ClusterView::kLeaseTime - kOrderWindow) &&
         !mContext.isLeaving;
}

net::Awaitable<void>
WeightLeader::lead()
{
  auto dutyAt = Clock::now() + kDutyPause;
  for (;;) {
    co_await net::sleepFor(kRound);
    const auto* leader = mCluster.leader();
    const bool isSelf = leader != nullptr && mCluster.isSelf(*leader);
    if (!isSelf) {
      mFence = 0;
      co_await claim();
      continue;
    }
    mFence = leader->revision;
    co_await reportRetirements();
    if (!mayOrder() || !mContext.desired) {
      continue;
    }
    for (const auto& [model, version] : mContext.namedVersions) {
      mWave.setTarget(model, version);
    }
    mWave.setDemand(demand());
    std::map<std::string, std::vector<std::string>> models;
    for (const auto& service : mContext.desired->services()) {
      if (!service.models.empty()) {
        models[service.name] = service.models;
      }
    }
    const auto now = Clock::now();
    const auto loadTime = mWave.expectedLoadTime();
    const auto checkAfter = loadTime ? *loadTime + kReportAge : kFirstCheck;
    for (const auto& load : mWave.loads()) {
      const auto& id = load.order.server.id;
      const bool isDue = now - load.orderedAt >= checkAfter &&
                         now - mCheckedAt[id] >= kCheckPause &&
                         !mBusy.contains(id);
      if (isDue) {
        mCheckedAt[id] = now;
        mBusy.insert(id);
        net::spawn(mContext.io, checkLoad(load));
      }
    }
    const auto orders = mWave.plan(mContext.registry.all(), models, now);
    for (const auto& order : orders) {
      if (mBusy.insert(order.server.id).second) {
        mWave.loadStarted(order, now);
        net::spawn(mContext.io, giveOrder(order));
      }
    }
    if (mDuty && now >= dutyAt) {
      dutyAt = now + kDutyPause;
      co_await mDuty();
    }
  }
}

std::map<std::string, double>
WeightLeader::demand() const
{
  std::vector<core::BatchDemand> batches;
  for (const auto& [id, record] : mCluster.batches()) {
    batches.push_back({ record.model, record.work, record.submittedAt });
  }
  return core::computeModelDemand(std::move(batches), unixNow());
}

net::Awaitable<void>
WeightLeader::claim()
{
  const auto* leader = mCluster.leader();
  const auto now = Clock::now();
  const bool isOwnInstance =
    leader != nullptr && leader->instance == mContext.settings.instance;
  const bool isVacant = leader == nullptr || isOwnInstance;
  if (!isVacant || !mCluster.isSynced() || !mCluster.isRegistered() ||
      mContext.isLeaving) {
    mVacantSince = {};
    co_return;
  }
  if (mVacantSince == core::TimePoint{}) {
    mVacantSince = now;
  }
  const auto turn =
    kClaimPause * static_cast<int>(mCluster.rankFor(keys::leader()));
  if (!isOwnInstance && now - mVacantSince < turn) {
    co_return;
  }
  const auto self = mCluster.self();
  StoreTransaction transaction;
  transaction.expectations = { { keys::leader(),
                                 isOwnInstance ? leader->revision : 0 } };
  transaction.writes = { { keys::leader(), self.encode(), mCluster.lease() } };
  const auto commit = co_await mContext.store.commit(std::move(transaction));
  mContext.log.info(
    "leader_claimed",
    { { "fence", commit.revision },
      { "outcome", commit.error ? commit.error.message() : "done" } });
  if (!commit.error) {
    if (!isOwnInstance) {
      // The store may have revoked the lease of the former holder, which has
      // not noticed yet.
      mPause.startTakeover(Clock::now());
    }
    mCluster.takeItem({ keys::leader(), self.encode(), commit.revision });
  } else {
    std::ranges::for_each(
      commit.current, [this](const auto& item) { mCluster.takeItem(item); });
  }
}

WeightOrder
WeightLeader::wireOrder(const core::LoadOrder& order,
                        const core::RegisteredServer& server) const
{
  WeightOrder wire;
  wire.ordersBefore = server.orderCount.value_or(0);
  wire.server = server.entry;
  wire.model = order.model;
  wire.version = order.version;
  wire.waitForRuns = mContext.desired->requiresSingleVersion();
  wire.holder = mContext.settings.instance;
  wire.fence = mFence;
  return wire;
}

net::Awaitable<void>
WeightLeader::giveOrder(core::LoadOrder order)
{
  const auto id = order.server.id;
  auto* state = mContext.registry.find(id, order.server.startedAt);
  if (state == nullptr) {
    mWave.loadDropped(id);
    mBusy.erase(id);
    co_return;
  }
  if (!state->orderCount || mPause.needsReport(order.server, Clock::now())) {
    core::WeightLoadPlanner::Load load{ order, Clock::now() };
    co_await checkLoad(std::move(load));
    mBusy.insert(id);
    state = mContext.registry.find(id, order.server.startedAt);
  }
  const bool isAllowed = state != nullptr && state->orderCount &&
                         mPause.canOrder(order.server, Clock::now());
  if (!isAllowed) {
    mWave.loadDropped(id);
    mWave.loadRefused(order, Clock::now());
    mBusy.erase(id);
    co_return;
  }
  const auto wire = wireOrder(order, *state);
  net::HttpCall call;
  call.endpoint = order.server.endpoint;
  call.request = mContext.format.encodeOrder(wire);
  call.connectTimeout = kConnectTimeout;
  call.timeout = kOrderTimeout;
  call.beforeFirstByte = [this, fence = mFence] {
    return mayOrder() && mFence == fence;
  };
  auto result = co_await mContext.http.call(std::move(call));
  const auto now = Clock::now();
  const auto status = result.response.status;
  mContext.log.info(
    "weight_order",
    { { "server", id },
      { "model", order.model },
      { "version", order.version },
      { "fence", wire.fence },
      { "orders_before", wire.ordersBefore },
      { "status", status },
      { "outcome", result.error ? result.error.message() : "answered" } });
  mBusy.erase(id);
  News news;
  if (result.sent) {
    news.orderCount = wire.ordersBefore + 1;
    mPause.recordOrder(id, order.server.startedAt, *news.orderCount, now);
  }
  if (status == net::status::kAccepted || (result.error && result.sent)) {
    // Without an answer the order may still be carried out.
    mContext.registry.markLoading(
      id, order.server.startedAt, now + kLoadingNotice);
    news.loading = kLoadingNotice;
    tell(order, news);
    co_return;
  }
  mWave.loadDropped(id);
  if (status == net::status::kOk) {
    mContext.registry.recordVersion(order.server, order.model, order.version);
    news.version = order.version;
    tell(order, news);
  } else {
    tell(order, news);
    mWave.loadRefused(order, now);
    mBusy.insert(id);
    core::WeightLoadPlanner::Load load{ order, now };
    co_await checkLoad(std::move(load));
  }
}

net::Awaitable<void>
WeightLeader::checkLoad(core::WeightLoadPlanner::Load load)
{
  const auto& order = load.order;
  const auto id = order.server.id;
  net::HttpCall call;
  call.endpoint = order.server.endpoint;
  call.request = mContext.format.encodeReportCall(order.server);
  call.connectTimeout = kConnectTimeout;
  call.timeout = kOrderTimeout;
  auto result = co_await mContext.http.call(std::move(call));
  mBusy.erase(id);
  const auto now = Clock::now();
  auto report = mContext.format.decodeReport(result.response.body);
  if (result.error || result.response.status != net::status::kOk || !report) {
    if (now - load.orderedAt > kLostOrder) {
      mWave.loadDropped(id);
      mWave.loadRefused(order, now);
    }
    co_return;
  }
  auto* state = mContext.registry.find(id, order.server.startedAt);
  if (state != nullptr) {
    state->orderCount =
      std::max(state->orderCount.value_or(0), report.value().orderCount);
  }
  mPause.recordReport(order.server, report.value().orderCount, now);
  const auto version = report.value().versions[order.model];
  if (version >= order.version) {
    mContext.registry.recordVersion(order.server, order.model, version);
    mContext.registry.markLoading(id, order.server.startedAt, now);
    News news;
    news.version = version;
    tell(order, news);
    mWave.loadConfirmed(id, now);
    mContext.metrics.observe(
      "weight_load_ms",
      std::chrono::duration<double, std::milli>(now - load.orderedAt).count());
  } else if (!report.value().isBusy && now - load.orderedAt > kLostOrder) {
    mWave.loadDropped(id);
    mWave.loadRefused(order, now);
  }
}

void
WeightLeader::tell(const core::LoadOrder& order, const News& news)
{
  Json json = { { "server", order.server.id },
                { "started_at", order.server.startedAt },
                { "model", order.model },
                { "version", news.version },
                { "loading_ms", news.loading.count() } };
  if (news.orderCount) {
    json["orders"] = *news.orderCount;
  }
  mPeers.tellAll(peer_paths::kWeights, json.dump());
}

void
WeightLeader::takeNews(const std::string& body)
{
  const auto news = Json::parse(body, nullptr, false);
  if (!news.is_object()) {
    mContext.log.warning("malformed_news", { { "bytes", body.size() } });
    return;
  }
  const auto id = news.value("server", "");
  const auto startedAt = news.value("started_at", std::int64_t{ 0 });
  if (news.contains("orders")) {
    mPause.recordOrder(
      id, startedAt, news.value("orders", std::int64_t{ 0 }), Clock::now());
  }
  auto* state = mContext.registry.find(id, startedAt);
  if (state == nullptr) {
    return;
  }
  const auto version = news.value("version", std::int64_t{ 0 });
  if (version > 0) {
    mContext.registry.recordVersion(
      state->entry, news.value("model", ""), version);
  }
  mContext.registry.markLoading(
    id,
    startedAt,
    Clock::now() + Millis(news.value("loading_ms", std::int64_t{ 0 })));
}

net::Awaitable<void>
WeightLeader::reportRetirements()
{
  // Nothing that must last is on a machine's disk, so each is empty already.
  const auto wanted = mState.retirements();
  for (const auto& [instance, revision] : wanted) {
    auto& done = mRetired[instance];
    if (done >= revision) {
      continue;
    }
    auto [key, value] = mContext.format.retirementDone(instance);
    StoreTransaction transaction;
    transaction.writes = { { key, value, 0 } };
    const auto commit = co_await mContext.store.commit(std::move(transaction));
    mContext.log.info(
      "retired",
      { { "machine", instance },
        { "requested_at", revision },
        { "outcome", commit.error ? commit.error.message() : "done" } });
    if (!commit.error) {
      done = revision;
    }
  }
}

} // namespace lentilrack::gateway
