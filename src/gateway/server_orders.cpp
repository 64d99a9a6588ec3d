#include "gateway/server_orders.h"

#include "core/json_limits.h"
#include "core/statistics/median.h"
#include "gateway/read_limits.h"
#include "net/http_status.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ranges>
#include <vector>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using core::PoolOrderOutcome;
using Json = nlohmann::json;

constexpr Millis kPollInterval{ 100 };
constexpr Millis kConnectTimeout{ 500 };
/// The provider may be slow. An order whose answer comes later is repeated,
/// which does no harm.
constexpr Millis kOrderTimeout{ 2'000 };
/// Share of the calls that the provider accepts which orders may use. The rest
/// is for usage reports and their repetitions.
constexpr double kCallShare = 0.1;
constexpr Millis kMinOrderInterval{ 200 };
constexpr Millis kSpeedReportInterval{ 2'000 };
/// Reported speeds are used for this long, so that two reports may be lost.
constexpr Millis kSpeedLifetime{ 6'000 };

core::ServerOrderQueue::Limits
queueLimits(double callsPerSecond)
{
  core::ServerOrderQueue::Limits limits;
  limits.minInterval =
    std::max(kMinOrderInterval,
             Millis(static_cast<std::int64_t>(
               1'000 / std::max(0.1, kCallShare * callsPerSecond))));
  return limits;
}

ServerOrders::Options
defaultOptions(const ProcessSettings& settings)
{
  ServerOrders::Options options;
  options.demand.waitingValue = settings.waitingValue;
  return options;
}

const char*
kindName(bool isReclaimable)
{
  return isReclaimable ? "reclaimable" : "ordinary";
}

PoolOrderOutcome
outcomeOf(const net::HttpResult& result)
{
  const auto status = result.response.status;
  if (result.error || status == 0) {
    return result.sent ? PoolOrderOutcome::Unknown
                       : PoolOrderOutcome::NotExecuted;
  }
  if (status / 100 == 2) {
    return PoolOrderOutcome::Accepted;
  }
  if (status == net::status::kTooManyRequests) {
    return PoolOrderOutcome::NotExecuted;
  }
  // Any other refusal also means that repeating the order at once is useless.
  return status / 100 == 4 ? PoolOrderOutcome::Unavailable
                           : PoolOrderOutcome::Unknown;
}

const char*
outcomeName(PoolOrderOutcome outcome)
{
  switch (outcome) {
    case PoolOrderOutcome::Accepted:
      return "accepted";
    case PoolOrderOutcome::Unavailable:
      return "unavailable";
    case PoolOrderOutcome::NotExecuted:
      return "not_executed";
    case PoolOrderOutcome::Unknown:
      break;
  }
  return "unknown";
}

} // namespace

ServerOrders::ServerOrders(Context& context,
                           ClusterView& cluster,
                           PeerClient& peers,
                           ProviderDuty duty,
                           Options options)
  : mContext(context)
  , mCluster(cluster)
  , mPeers(peers)
  , mDuty(std::move(duty))
  , mOptions(options)
{
}

ServerOrders::ServerOrders(Context& context,
                           ClusterView& cluster,
                           PeerClient& peers,
                           ProviderDuty duty)
  : ServerOrders(context,
                 cluster,
                 peers,
                 std::move(duty),
                 defaultOptions(context.settings))
{
}

void
ServerOrders::start()
{
  const auto& provider = mContext.settings.provider;
  if (provider && provider->takesServerOrders) {
    net::spawn(mContext.io, run());
  }
}

net::Awaitable<void>
ServerOrders::run()
{
  core::TimePoint planAt{};
  for (;;) {
    co_await net::sleepFor(kPollInterval);
    const auto now = Clock::now();
    if (now >= mReportAt) {
      mReportAt = now + kSpeedReportInterval;
      reportSpeeds();
    }
    if (!mDuty.isHeld()) {
      mTerm.reset();
      continue;
    }
    if (!mDuty.mayCall() || !mContext.desired) {
      continue;
    }
    if (!mTerm) {
      mTerm = std::make_shared<Term>(
        queueLimits(mContext.settings.provider->callsPerSecond));
    }
    if (now >= planAt) {
      planAt = now + mOptions.planInterval;
      planAll(*mTerm);
    }
    if (mContext.settings.isServerOrderDryRun) {
      continue;
    }
    if (auto order = mTerm->queue.next(now)) {
      net::spawn(mContext.io, send(mTerm, std::move(*order)));
    }
  }
}

void
ServerOrders::reportSpeeds()
{
  const auto* leader = mCluster.leader();
  if (leader == nullptr || !mContext.desired) {
    return;
  }
  const auto& self = mContext.settings.instance;
  const auto ownsBatchOf = [&](const std::string& model) {
    const auto owners = mCluster.ownersOfModel(model);
    return std::ranges::find(owners, self) != owners.end();
  };
  Json speeds = Json::object();
  for (const auto& service : mContext.desired->services()) {
    const bool isObserved =
      service.autoscaling && std::ranges::any_of(service.models, ownsBatchOf);
    const double millis =
      isObserved ? mContext.registry.medianMillisPerUnit(service.name) : 0;
    if (millis > 0) {
      speeds[service.name] = millis;
    }
  }
  if (speeds.empty()) {
    return;
  }
  const auto body = Json{ { "instance", self }, { "speeds", speeds } }.dump();
  if (leader->instance == self) {
    applySpeedReport(body);
  } else {
    mPeers.notify({ leader->instance }, peer_paths::kSpeeds, body);
  }
}

void
ServerOrders::applySpeedReport(const std::string& body)
{
  const auto now = Clock::now();
  std::erase_if(mSpeeds, [&](const auto& item) {
    return now - item.second.reportedAt > kSpeedLifetime;
  });
  try {
    const auto report = core::parseJsonOrDiscard(body);
    const auto instance = report.at("instance").get<std::string>();
    for (const auto& [service, millis] : report.at("speeds").items()) {
      mSpeeds[{ service, instance }] = { millis.get<double>(), now };
    }
  } catch (const Json::exception& error) {
    mContext.log.warning("malformed_speeds", { { "error", error.what() } });
  }
}

double
ServerOrders::medianSpeed(const std::string& service) const
{
  const auto now = Clock::now();
  std::vector<double> speeds;
  for (const auto& [key, speed] : mSpeeds) {
    if (key.first == service && now - speed.reportedAt <= kSpeedLifetime) {
      speeds.push_back(speed.millisPerUnit);
    }
  }
  return core::medianOf(std::move(speeds));
}

core::ServiceObservation
ServerOrders::observe(const core::ServiceSpec& service) const
{
  core::ServiceObservation observation;
  const auto serving = mContext.registry.serving(service.name);
  double slots = 0;
  for (const auto* server : serving) {
    const auto& entry = server->entry;
    ++observation.serving[entry.failureDomain].ofKind(entry.isReclaimable);
    slots += entry.slots;
  }
  auto& load = observation.load;
  load.isForBatches = !service.models.empty();
  load.slots =
    serving.empty() ? 0 : slots / static_cast<double>(serving.size());
  load.millisPerToken = medianSpeed(service.name);
  for (const auto& [id, batch] : mCluster.batches()) {
    if (std::ranges::find(service.models, batch.model) !=
        service.models.end()) {
      load.batches.push_back({ id,
                               batch.model,
                               batch.estimatedTokens,
                               batch.submittedAt,
                               batch.state == BatchState::Open });
    }
  }
  observation.isListKnown = !serving.empty();
  observation.overrides = overridesOf(service);
  return observation;
}

core::CountsByDomain
ServerOrders::overridesOf(const core::ServiceSpec& service) const
{
  core::CountsByDomain overrides;
  const auto prefix = keys::serverOverrides(service.name);
  const auto& items = mContext.mirrors.cluster.items();
  for (auto item = items.lower_bound(prefix);
       item != items.end() && item->first.starts_with(prefix);
       ++item) {
    const auto numbers = core::parseJsonOrDiscard(item->second.value);
    const auto read = [&](const char* kind) {
      const auto found = numbers.find(kind);
      return found != numbers.end() && found->is_number_integer()
               ? found->get<int>()
               : 0;
    };
    // A malformed value must not release servers.
    if (!numbers.is_object() ||
        (!numbers.contains("ordinary") && !numbers.contains("reclaimable"))) {
      continue;
    }
    const int maximum = service.autoscaling->maxServers;
    core::ServerCounts counts;
    counts.ordinary = std::clamp(read("ordinary"), 0, maximum);
    counts.reclaimable =
      std::clamp(read("reclaimable"), 0, maximum - counts.ordinary);
    overrides[item->first.substr(prefix.size())] = counts;
  }
  return overrides;
}

void
ServerOrders::planAll(Term& term)
{
  for (const auto& service : mContext.desired->services()) {
    if (service.autoscaling) {
      planService(service, term);
    }
  }
}

void
ServerOrders::planService(const core::ServiceSpec& service, Term& term)
{
  const auto [found, isNew] = term.services.try_emplace(service.name);
  auto& state = found->second;
  if (isNew) {
    state.planner = core::ServerCountPlanner(mOptions.planner, mOptions.demand);
  }
  const auto observation = observe(service);
  const auto plan = state.planner.plan(
    observation, *service.autoscaling, Clock::now(), unixNow());
  if (!plan) {
    return;
  }
  const bool isFirstPlan = state.planned.empty();
  for (const auto& pool : state.planner.lostPools()) {
    term.queue.forgetKnown(service.name, pool);
  }
  for (const auto& [domain, counts] : *plan) {
    for (const bool isReclaimable : { false, true }) {
      const core::ServerPool pool{ domain, isReclaimable };
      const int servers = counts.ofKind(isReclaimable);
      if (isFirstPlan) {
        term.queue.setKnown(service.name, pool, servers);
      }
      term.queue.setWanted(service.name, pool, servers);
    }
  }
  const auto previous = std::exchange(state.planned, *plan);
  publishPlan(service.name, state, observation, previous);
}

void
ServerOrders::publishPlan(const std::string& service,
                          const ServiceState& state,
                          const core::ServiceObservation& observation,
                          const core::CountsByDomain& previous)
{
  const auto estimate =
    state.planner.estimate().value_or(core::ServerDemand::Estimate{});
  for (const auto& [domain, counts] : state.planned) {
    const auto before = previous.find(domain);
    if (before != previous.end() && before->second == counts) {
      continue;
    }
    for (const bool isReclaimable : { false, true }) {
      const auto key =
        std::pair(service, core::ServerPool{ domain, isReclaimable });
      const bool isNewGauge = !mPlannedGauges.contains(key);
      mPlannedGauges[key] = counts.ofKind(isReclaimable);
      if (isNewGauge) {
        mContext.metrics.addGauge(
          fmt::format(
            R"(servers_planned{{service="{}",domain="{}",kind="{}"}})",
            service,
            domain,
            kindName(isReclaimable)),
          [this, key] {
            return mTerm ? static_cast<double>(mPlannedGauges.at(key)) : 0.0;
          });
      }
    }
    const auto serving = observation.serving.find(domain);
    mContext.log.info(
      "server_plan",
      { { "service", service },
        { "failure_domain", domain },
        { "ordinary", counts.ordinary },
        { "reclaimable", counts.reclaimable },
        { "serving",
          serving == observation.serving.end() ? 0 : serving->second.total() },
        { "total", state.planner.total() },
        { "offered", estimate.offered },
        { "wanted", estimate.wanted },
        { "outcome",
          observation.overrides.contains(domain)  ? "override"
          : mContext.settings.isServerOrderDryRun ? "dry_run"
                                                  : "planned" } });
  }
}

net::Awaitable<void>
ServerOrders::send(std::shared_ptr<Term> term, core::PoolOrder order)
{
  const auto holder = mDuty.holder();
  const auto& service = order.service;
  const auto& pool = order.pool;
  net::HttpCall call;
  call.endpoint = mContext.settings.provider->endpoint;
  call.request = mContext.format.encodeServerCountOrder(
    holder, { service, pool.failureDomain, order.servers, pool.isReclaimable });
  call.timeout = kOrderTimeout;
  call.connectTimeout = kConnectTimeout;
  call.bodyLimit = kMaxOrderResponseBytes;
  call.requestKey = fmt::format(
    "{}/{}/{}", service, pool.failureDomain, kindName(pool.isReclaimable));
  // The plan of an earlier term must not be sent in a later one.
  call.beforeFirstByte = [this, term, isAllowed = mDuty.makeCallCheck()] {
    return mTerm == term && isAllowed();
  };
  const auto result = co_await mContext.http.call(std::move(call));
  const auto now = Clock::now();
  const auto outcome = outcomeOf(result);
  term->queue.finished(order, outcome, now);
  auto& state = term->services[service];
  if (outcome == PoolOrderOutcome::Accepted) {
    state.planner.recordAccepted(pool, order.servers, now);
  } else if (outcome == PoolOrderOutcome::Unavailable) {
    const auto serving = mContext.registry.serving(service);
    const auto present = static_cast<int>(
      std::ranges::count_if(serving, [&](const core::RegisteredServer* s) {
        return s->entry.failureDomain == pool.failureDomain &&
               s->entry.isReclaimable == pool.isReclaimable;
      }));
    state.planner.recordUnavailable(
      pool, term->queue.known(service, pool).value_or(present), now);
  }
  mContext.metrics.increment(fmt::format(
    R"(server_orders_total{{outcome="{}"}})", outcomeName(outcome)));
  mContext.log.info("server_order",
                    { { "service", service },
                      { "failure_domain", pool.failureDomain },
                      { "kind", kindName(pool.isReclaimable) },
                      { "servers", order.servers },
                      { "fence", holder.fencingToken },
                      { "status", result.response.status },
                      { "error", result.error ? result.error.message() : "" },
                      { "outcome", outcomeName(outcome) } });
}

} // namespace lentilrack::gateway
