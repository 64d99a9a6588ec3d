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
constexpr Millis kMaintenanceInterval{ 15'000 };
/// Updates about the weights of servers are collected for this time, since many
/// servers are ordered to load at the same time.
constexpr Millis kUpdateCollectionTime{ 20 };

} // namespace

WeightLeader::WeightLeader(Context& context,
                           ClusterView& cluster,
                           Leadership& leadership,
                           StateApplier& stateApplier,
                           PeerClient& peers)
  : mContext(context)
  , mCluster(cluster)
  , mLeadership(leadership)
  , mStateApplier(stateApplier)
  , mPeers(peers)
  , mAudience(context.settings.instance, keys::leader())
{
}

void
WeightLeader::start()
{
  mContext.metrics.addGauge("model_fairness_index",
                            [this] { return mFairness; });
  net::spawn(mContext.io, giveOrders());
}

net::Awaitable<void>
WeightLeader::giveOrders()
{
  auto maintenanceAt = Clock::now() + kMaintenanceInterval;
  for (;;) {
    co_await net::sleepFor(kPollInterval);
    if (!mLeadership.isHeld()) {
      continue;
    }
    co_await reportRetirements();
    if (!mLeadership.maySendWeightOrders() || !mContext.desired) {
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
  std::vector<core::RecentBatch> steps;
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
  weightOrder.fencingToken = mLeadership.fencingToken();
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
      mLeadership.weightOrderDelay().needsReport(order.server, Clock::now())) {
    core::WeightLoadPlanner::Load load{ order, Clock::now() };
    co_await checkLoad(std::move(load));
    mServersWithPendingCall.insert(id);
    state = mContext.registry.find(id, order.server.startedAt);
  }
  const bool isAllowed =
    state != nullptr && state->orderCount &&
    mLeadership.weightOrderDelay().canOrder(order.server, Clock::now());
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
  call.beforeFirstByte = mLeadership.weightOrderCheck();
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
    mLeadership.weightOrderDelay().recordOrder(
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
  mLeadership.weightOrderDelay().recordReport(
    order.server, report.value().orderCount, now);
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
      mLeadership.weightOrderDelay().recordOrder(
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
