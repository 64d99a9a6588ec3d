#include "gateway/weight_leader.h"

#include "core/json_limits.h"
#include "gateway/read_limits.h"
#include "net/http_status.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using Json = nlohmann::json;

constexpr Millis kPollInterval{ 100 };
constexpr Millis kConnectTimeout{ 250 };
constexpr Millis kOrderTimeout{ 900 };
/// Delay between an order and the first check whether the server has loaded the
/// weights. Used until a first load has been timed. An earlier check would find
/// the load still running.
constexpr Millis kDefaultLoadCheckDelay{ 900 };
/// Approximate time between the end of a load and its report by the server.
constexpr Millis kReportDelay{ 150 };
constexpr Millis kLoadCheckInterval{ 200 };
/// An order is treated as lost if its server is still idle after this time.
constexpr Millis kOrderLossTimeout{ 2'000 };
/// How long after an order a server is treated as loading, so that no items are
/// assigned to it.
constexpr Millis kLoadingHoldTime{ 1'500 };
/// Orders are sent only within this time after the last renewal of the lease.
/// The time is short because a new leader has to wait until it has passed. It
/// is longer than 0.9 s because the lease is renewed every 0.6 s, and a renewal
/// takes up to 0.3 s on a slow store.
constexpr Millis kOrderWindow{ 1'200 };
/// In the order in which processes try to become the leader, each one waits
/// this much longer than the one before it.
constexpr Millis kClaimStagger{ 300 };
constexpr Millis kMaintenanceInterval{ 15'000 };
/// Delay before a settled term is recorded again if the store has not confirmed
/// it. The store may be slow, and no orders are planned during the call.
constexpr Millis kSettleRetryDelay{ 5'000 };
/// Updates about the weights of servers are collected for this time, since many
/// servers are ordered to load at the same time.
constexpr Millis kUpdateCollectionTime{ 20 };

} // namespace

WeightLeader::WeightLeader(Context& context,
                           ClusterView& cluster,
                           StateApplier& stateApplier,
                           PeerClient& peers)
  : mContext(context)
  , mCluster(cluster)
  , mStateApplier(stateApplier)
  , mPeers(peers)
  , mHandoverDelay(
      { .minOrderInterval = context.settings.bounds.leaderHandoverDelay,
        .orderWindow = kOrderWindow })
  , mAudience(context.settings.instance, keys::leader())
{
}

void
WeightLeader::start()
{
  mContext.metrics.addGauge("model_fairness_index",
                            [this] { return mFairness; });
  net::spawn(mContext.io, maintainLeadership());
}

bool
WeightLeader::canSendOrders() const
{
  const auto* leader = mCluster.leader();
  return mFencingToken != 0 && leader != nullptr &&
         leader->revision == mFencingToken &&
         mCluster.isLeaseValid(ClusterView::kLeaseTtl - kOrderWindow) &&
         !mContext.isLeaving;
}

net::Awaitable<void>
WeightLeader::maintainLeadership()
{
  auto maintenanceAt = Clock::now() + kMaintenanceInterval;
  for (;;) {
    co_await net::sleepFor(kPollInterval);
    const auto* leader = mCluster.leader();
    const bool isSelf = leader != nullptr && mCluster.isSelf(*leader);
    if (!isSelf) {
      mFencingToken = 0;
      co_await claimLeadership();
      continue;
    }
    if (mFencingToken != leader->revision) {
      beginTerm(*leader);
    }
    // A process that shuts down gives no orders, but still records this for the
    // process after it.
    if (!leader->isSettled && Clock::now() >= mSettleAfter &&
        mHandoverDelay.isHandoverOver(Clock::now())) {
      mSettleAfter = Clock::now() + kSettleRetryDelay;
      co_await recordSettled(*leader);
      continue;
    }
    co_await reportRetirements();
    if (!canSendOrders() || !mContext.desired) {
      continue;
    }
    for (const auto& [model, version] : mContext.announcedVersions) {
      mPlanner.setTarget(model, version);
    }
    mPlanner.setDemand(demandByModel());
    std::map<std::string, std::vector<std::string>> models;
    for (const auto& service : mContext.desired->services()) {
      if (!service.models.empty()) {
        models[service.name] = service.models;
      }
    }
    const auto now = Clock::now();
    const auto loadTime = mPlanner.expectedLoadTime();
    const auto checkAfter =
      loadTime ? *loadTime + kReportDelay : kDefaultLoadCheckDelay;
    for (const auto& load : mPlanner.loads()) {
      const auto& id = load.order.server.id;
      const bool isDue = now - load.orderedAt >= checkAfter &&
                         now - mLoadCheckedAt[id] >= kLoadCheckInterval &&
                         !mServersWithPendingCall.contains(id);
      if (isDue) {
        mLoadCheckedAt[id] = now;
        mServersWithPendingCall.insert(id);
        net::spawn(mContext.io, checkLoad(load));
      }
    }
    const auto orders = mPlanner.plan(mContext.registry.all(), models, now);
    for (const auto& order : orders) {
      if (mServersWithPendingCall.insert(order.server.id).second) {
        mPlanner.loadStarted(order, now);
        net::spawn(mContext.io, sendOrder(order));
      }
    }
    if (mMaintenanceTask && now >= maintenanceAt) {
      maintenanceAt = now + kMaintenanceInterval;
      co_await mMaintenanceTask();
    }
  }
}

std::map<std::string, double>
WeightLeader::demandByModel()
{
  std::vector<core::BatchDemand> batches;
  std::vector<core::StepState> steps;
  for (const auto& [id, record] : mCluster.batches()) {
    batches.push_back(
      { record.model, record.estimatedTokens, record.submittedAt });
    if (record.state == BatchState::Open) {
      steps.push_back(
        { id, record.model, record.estimatedTokens, record.submittedAt, true });
    }
  }
  const auto now = unixNow();
  const auto servers = mPlanner.serversByModel(mContext.registry.all());
  mAllocation.update(steps, servers, now);
  auto demand =
    mAllocation.demand(core::computeModelDemand(std::move(batches), now), now);
  mFairness = core::ModelAllocation::fairness(servers, demand);
  return demand;
}

Holder
WeightLeader::makeHolder(bool isSettled) const
{
  auto holder = mCluster.self();
  holder.address = mContext.settings.address;
  holder.isSettled = isSettled;
  return holder;
}

void
WeightLeader::beginTerm(const Holder& leader)
{
  // The former leader may not have noticed yet that the store revoked its
  // lease, and may still send orders. The term may have begun in an earlier
  // process of this instance, or by a claim whose outcome this process did not
  // learn.
  if (!leader.isSettled) {
    mHandoverDelay.startTakeover(Clock::now());
    mSettleAfter = {};
  }
  mFencingToken = leader.revision;
  mContext.log.info(
    "leader_term",
    { { "fence", leader.revision },
      { "outcome", leader.isSettled ? "settled" : "delayed" } });
}

net::Awaitable<void>
WeightLeader::recordSettled(const Holder& leader)
{
  const auto revision = leader.revision;
  const auto lease = co_await mCluster.acquireLease();
  if (lease == 0) {
    // Without a lease the key would outlive this process.
    co_return;
  }
  const auto settled = makeHolder(true);
  StoreTransaction transaction;
  transaction.preconditions = { { keys::leader(), revision } };
  transaction.writes = { { keys::leader(), settled.encode(), lease } };
  const auto commit = co_await mContext.store.commit(std::move(transaction));
  mContext.log.info(
    "leader_settled",
    { { "fence", commit.revision },
      { "outcome", commit.error ? commit.error.message() : "done" } });
  if (commit.outcome() == WriteOutcome::Done) {
    mCluster.recordItem({ keys::leader(), settled.encode(), commit.revision });
  }
}

net::Awaitable<void>
WeightLeader::claimLeadership()
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
  const auto lease = co_await mCluster.acquireLease();
  if (lease == 0) {
    co_return;
  }
  const auto self = makeHolder(isSettled);
  StoreTransaction transaction;
  transaction.preconditions = { { keys::leader(), presentRevision } };
  transaction.writes = { { keys::leader(), self.encode(), lease } };
  const auto commit = co_await mContext.store.commit(std::move(transaction));
  mContext.log.info(
    "leader_claimed",
    { { "fence", commit.revision },
      { "outcome", commit.error ? commit.error.message() : "done" } });
  if (!commit.error) {
    mCluster.recordItem({ keys::leader(), self.encode(), commit.revision });
  } else {
    std::ranges::for_each(
      commit.current, [this](const auto& item) { mCluster.recordItem(item); });
  }
}

WeightOrder
WeightLeader::makeWeightOrder(const core::LoadOrder& order,
                              const core::RegisteredServer& server) const
{
  WeightOrder weightOrder;
  weightOrder.priorOrderCount = server.orderCount.value_or(0);
  weightOrder.server = server.entry;
  weightOrder.model = order.model;
  weightOrder.version = order.version;
  weightOrder.finishRunsFirst = mContext.desired->requiresSingleVersion();
  weightOrder.holder = mContext.settings.instance;
  weightOrder.fencingToken = mFencingToken;
  return weightOrder;
}

net::Awaitable<void>
WeightLeader::sendOrder(core::LoadOrder order)
{
  const auto id = order.server.id;
  auto* state = mContext.registry.find(id, order.server.startedAt);
  if (state == nullptr) {
    mPlanner.loadDropped(id);
    mServersWithPendingCall.erase(id);
    co_return;
  }
  if (!state->orderCount ||
      mHandoverDelay.needsReport(order.server, Clock::now())) {
    core::WeightLoadPlanner::Load load{ order, Clock::now() };
    co_await checkLoad(std::move(load));
    mServersWithPendingCall.insert(id);
    state = mContext.registry.find(id, order.server.startedAt);
  }
  const bool isAllowed = state != nullptr && state->orderCount &&
                         mHandoverDelay.canOrder(order.server, Clock::now());
  if (!isAllowed) {
    mPlanner.loadDropped(id);
    mPlanner.loadRefused(order, Clock::now());
    mServersWithPendingCall.erase(id);
    co_return;
  }
  const auto weightOrder = makeWeightOrder(order, *state);
  net::HttpCall call;
  call.endpoint = order.server.endpoint;
  call.request = mContext.format.encodeOrder(weightOrder);
  call.bodyLimit = kMaxOrderResponseBytes;
  call.connectTimeout = kConnectTimeout;
  call.timeout = kOrderTimeout;
  call.beforeFirstByte = [this, fencingToken = mFencingToken] {
    return canSendOrders() && mFencingToken == fencingToken;
  };
  auto result = co_await mContext.servers.call(
    order.server, std::move(call), ServerRequestKind::WeightOrder);
  const auto now = Clock::now();
  const auto status = result.response.status;
  mContext.log.info(
    "weight_order",
    { { "server", id },
      { "model", order.model },
      { "version", order.version },
      { "fence", weightOrder.fencingToken },
      { "orders_before", weightOrder.priorOrderCount },
      { "status", status },
      { "outcome", result.error ? result.error.message() : "answered" } });
  mServersWithPendingCall.erase(id);
  WeightUpdate update;
  if (result.sent) {
    update.orderCount = weightOrder.priorOrderCount + 1;
    mHandoverDelay.recordOrder(
      id, order.server.startedAt, *update.orderCount, now);
  }
  if (status == net::status::kAccepted || (result.error && result.sent)) {
    // If the response was lost, the server may still carry out the order.
    mContext.registry.markLoading(
      id, order.server.startedAt, now + kLoadingHoldTime);
    update.loading = kLoadingHoldTime;
    reportUpdate(order, update);
    co_return;
  }
  mPlanner.loadDropped(id);
  if (status == net::status::kOk) {
    mContext.registry.recordVersion(order.server, order.model, order.version);
    update.version = order.version;
    reportUpdate(order, update);
  } else {
    reportUpdate(order, update);
    mPlanner.loadRefused(order, now);
    mServersWithPendingCall.insert(id);
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
  call.request = mContext.format.encodeReportRequest(order.server);
  call.bodyLimit = kMaxReportBytes;
  call.connectTimeout = kConnectTimeout;
  call.timeout = kOrderTimeout;
  auto result = co_await mContext.servers.call(
    order.server, std::move(call), ServerRequestKind::Report);
  mServersWithPendingCall.erase(id);
  const auto now = Clock::now();
  const bool isComplete =
    !result.error && result.response.status == net::status::kOk;
  // The body of an incomplete response may be anything.
  auto report = isComplete ? mContext.format.decodeReport(result.response.body)
                           : WireFormat::Decoded<ServerReport>(std::string(
                               "the response is incomplete or a failure"));
  if (!report) {
    mContext.log.info(
      "server_report",
      { { "server", id },
        { "status", result.response.status },
        { "bytes", result.response.body.size() },
        { "outcome",
          result.error ? result.error.message() : report.error() } });
    if (now - load.orderedAt > kOrderLossTimeout) {
      mPlanner.loadDropped(id);
      mPlanner.loadRefused(order, now);
    }
    co_return;
  }
  auto* state = mContext.registry.find(id, order.server.startedAt);
  if (state != nullptr) {
    state->orderCount =
      std::max(state->orderCount.value_or(0), report.value().orderCount);
  }
  mHandoverDelay.recordReport(order.server, report.value().orderCount, now);
  const auto version = report.value().versions[order.model];
  if (version >= order.version) {
    mContext.registry.recordVersion(order.server, order.model, version);
    mContext.registry.markLoading(id, order.server.startedAt, now);
    WeightUpdate update;
    update.version = version;
    reportUpdate(order, update);
    mPlanner.loadConfirmed(id, now);
    mContext.metrics.observe(
      "weight_load_ms",
      std::chrono::duration<double, std::milli>(now - load.orderedAt).count());
  } else if (!report.value().isBusy &&
             now - load.orderedAt > kOrderLossTimeout) {
    mPlanner.loadDropped(id);
    mPlanner.loadRefused(order, now);
  }
}

void
WeightLeader::reportUpdate(const core::LoadOrder& order,
                           const WeightUpdate& update)
{
  Json json = { { "server", order.server.id },
                { "started_at", order.server.startedAt },
                { "model", order.model },
                { "version", update.version },
                { "loading_ms", update.loading.count() } };
  if (update.orderCount) {
    json["orders"] = *update.orderCount;
  }
  const bool isSendScheduled = !mCollectedUpdates.empty();
  mCollectedUpdates[order.model].push_back(std::move(json));
  if (!isSendScheduled) {
    net::spawn(mContext.io, sendCollectedUpdates());
  }
}

net::Awaitable<void>
WeightLeader::sendCollectedUpdates()
{
  co_await net::sleepFor(kUpdateCollectionTime);
  const auto collected = std::exchange(mCollectedUpdates, {});
  const auto members = mCluster.presentPeers();
  std::map<std::string, std::vector<Json>> updatesByRecipient;
  for (const auto& [model, updates] : collected) {
    auto users = mCluster.ownersOfModel(model);
    if (auto home = mCluster.homeOf(model)) {
      users.push_back(std::move(*home));
    }
    for (const auto& recipient :
         mAudience.recipients(members, std::move(users))) {
      std::ranges::copy(updates,
                        std::back_inserter(updatesByRecipient[recipient]));
    }
  }
  for (const auto& [recipient, updates] : updatesByRecipient) {
    mPeers.notify({ recipient }, peer_paths::kWeights, Json(updates).dump());
  }
}

void
WeightLeader::applyWeightUpdates(const std::string& body)
{
  const auto updates = core::parseJsonOrDiscard(body);
  if (!updates.is_array()) {
    mContext.log.warning("malformed_news", { { "bytes", body.size() } });
    return;
  }
  std::ranges::for_each(updates,
                        [this](const auto& update) { applyUpdate(update); });
}

void
WeightLeader::applyUpdate(const Json& update)
{
  try {
    const auto id = update.value("server", "");
    const auto startedAt = update.value("started_at", std::int64_t{ 0 });
    if (update.contains("orders")) {
      mHandoverDelay.recordOrder(
        id, startedAt, update.value("orders", std::int64_t{ 0 }), Clock::now());
    }
    auto* state = mContext.registry.find(id, startedAt);
    if (state == nullptr) {
      return;
    }
    const auto version = update.value("version", std::int64_t{ 0 });
    if (version > 0) {
      mContext.registry.recordVersion(
        state->entry, update.value("model", ""), version);
    }
    mContext.registry.markLoading(
      id,
      startedAt,
      Clock::now() + Millis(update.value("loading_ms", std::int64_t{ 0 })));
  } catch (const Json::exception& error) {
    mContext.log.warning("malformed_news", { { "error", error.what() } });
  }
}

net::Awaitable<void>
WeightLeader::reportRetirements()
{
  // Storage machines hold no durable data, so a machine counts as emptied as
  // soon as its retirement is requested.
  const auto requestedRetirements = mStateApplier.retirements();
  for (const auto& [instance, revision] : requestedRetirements) {
    auto& done = mReportedRetirements[instance];
    if (done >= revision) {
      continue;
    }
    auto [key, value] = mContext.format.encodeRetirementDone(instance);
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
