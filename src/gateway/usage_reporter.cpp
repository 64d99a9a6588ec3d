#include "gateway/usage_reporter.h"

#include "core/json_limits.h"
#include "core/takeover_order.h"
#include "net/error.h"
#include "net/http_status.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;

constexpr Millis kPollInterval{ 100 };
constexpr Millis kClockInterval{ 1'000 };
/// Interval between messages with counts to the same process. A process that is
/// lost takes the counts of this time with it.
constexpr Millis kSendInterval{ 1'000 };
/// The same while the process shuts down, since it may end at any time.
constexpr Millis kLeavingSendInterval{ 200 };
/// The interval grows with the fleet so that the leader gets at most this many
/// messages a second.
constexpr int kMaxMessagesPerSecond = 300;
/// Parameter with which a process that cannot reach the leader asks the
/// recipient to pass the counts on.
constexpr const char* kRelayParameter = "relay";
constexpr Millis kCountsTimeout{ 800 };
/// No window is stored earlier after this process got the duty. All processes
/// send their counts to a new leader within this time.
constexpr Millis kTakeoverCollectionTime{ 1'500 };
constexpr Millis kStoreRetryDelay{ 300 };
/// A window is stored and reported after a quarter of the time in which it is
/// due, at most after this time, so that a new leader can still report it in
/// time: 2 s for the lease, 0.5 s for the claim and 3 s of delay.
constexpr Millis kMaxCollectionTime{ 2'500 };
constexpr int kCollectionShare = 4;
constexpr Millis kConnectTimeout{ 400 };
/// A call is repeated after it ends. The delay before the repetition, which may
/// name a higher fencing token, leaves time for a call in transit to arrive.
constexpr Millis kReportTimeout{ 1'000 };
/// Share of the provider's call rate that usage reports may use. Orders for
/// servers need the rest.
constexpr double kRateShare = 0.25;
/// Lower bound of the provider's call rate, in calls per second.
constexpr double kMinCallRate = 1;
constexpr std::size_t kMaxProviderResponseBytes = 64UL * 1024;

std::int64_t
sumOf(const core::UsageCounts& counts)
{
  return std::accumulate(
    counts.begin(),
    counts.end(),
    std::int64_t{ 0 },
    [](auto sum, const auto& item) { return sum + item.second; });
}

core::UsageWindows
windowsOf(const DeploymentBounds& bounds)
{
  return { std::max(Millis(1), bounds.usageWindow), bounds.usageReportTime };
}

core::UsageLedger::Limits
limitsOf(const DeploymentBounds& bounds)
{
  core::UsageLedger::Limits limits;
  limits.collectionTime =
    std::min(kMaxCollectionTime, bounds.usageReportTime / kCollectionShare);
  return limits;
}

} // namespace

UsageReporter::UsageReporter(Context& context,
                             ClusterView& cluster,
                             PeerClient& peers,
                             Leadership& leadership)
  : mContext(context)
  , mCluster(cluster)
  , mPeers(peers)
  , mLeadership(leadership)
  , mWindows(windowsOf(context.settings.bounds))
  , mCounter(mWindows)
  , mLedger(mWindows, limitsOf(context.settings.bounds))
  , mSource(context.settings.instance + "/" + context.incarnation)
{
  mClock.synchronise(bootTime(), unixNow());
  mStartedAt = now();
}

void
UsageReporter::start()
{
  const auto& provider = mContext.settings.provider;
  if (!provider || !provider->wantsUsageReports) {
    return;
  }
  mContext.onRequestRun = [this](const auto& organisation, auto beganAt) {
    recordRun(organisation, beganAt);
  };
  mContext.metrics.addGauge("system_clock_lead_ms", [this] {
    return static_cast<double>(mClock.systemClockLead().count());
  });
  net::spawn(mContext.io, sendCounts());
  net::spawn(mContext.io, reportWindows());
}

Millis
UsageReporter::now() const
{
  return mClock.unixTime(bootTime());
}

void
UsageReporter::recordRun(const std::string& organisation,
                         core::TimePoint beganAt)
{
  const auto age = std::chrono::duration_cast<Millis>(Clock::now() - beganAt);
  const auto time = now();
  const bool isCounted = mCounter.record(organisation, time - age, time);
  mContext.metrics.increment(
    fmt::format("usage_requests_total{{outcome=\"{}\"}}",
                isCounted ? "counted" : "too_late"));
}

net::HttpResponse
UsageReporter::applyCounts(const net::HttpRequest& request)
{
  net::HttpResponse response;
  const auto updates = decodeUsageUpdates(request.body);
  if (!updates) {
    mContext.log.warning("malformed_usage",
                         { { "bytes", request.body.size() } });
    response.status = 400;
    response.body = R"({"error":"malformed_usage"})";
    return response;
  }
  const auto time = now();
  for (const auto& update : *updates) {
    const bool isTaken =
      mLedger.merge(update.source, update.window, update.counts, time);
    if (!isTaken) {
      mContext.metrics.increment("usage_counts_discarded_total");
    }
  }
  if (!request.query(kRelayParameter).empty()) {
    mInformedLeader.clear();
  }
  response.body =
    nlohmann::json{ { "incarnation", mContext.incarnation } }.dump();
  return response;
}

net::Awaitable<void>
UsageReporter::sendCounts()
{
  auto synchroniseAt = Clock::now() + kClockInterval;
  std::uint64_t merged = 0;
  for (;;) {
    co_await net::sleepFor(kPollInterval);
    const auto time = Clock::now();
    if (time >= synchroniseAt) {
      synchroniseAt = time + kClockInterval;
      if (mClock.synchronise(bootTime(), unixNow())) {
        mContext.log.warning("clock_jump",
                             { { "lead_ms", mClock.systemClockLead() } });
      }
      mCounter.dropOverdue(now());
      mLedger.dropOverdue(now());
    }
    if (merged != mCounter.sequence()) {
      merged = mCounter.sequence();
      for (const auto& [window, counted] : mCounter.windows()) {
        mLedger.merge(mSource, window, counted.counts, now());
      }
    }
    const auto interval = mContext.isLeaving
                            ? kLeavingSendInterval
                            : std::max(kSendInterval,
                                       Millis(1'000 * mCluster.peers().size() /
                                              kMaxMessagesPerSecond));
    updateRecipients();
    const auto* leader = mCluster.leader();
    for (const auto& [instance, recipient] : mRecipients) {
      const bool isNewLeader = leader != nullptr &&
                               leader->instance == instance &&
                               leader->incarnation != mInformedLeader;
      const bool isDue = !recipient.isCallPending && recipient.isWanted &&
                         time - recipient.sentAt >= interval;
      if (isDue && (isNewLeader || recipient.received < mCounter.sequence())) {
        net::spawn(mContext.io, sendCountsTo(instance, isNewLeader));
      }
    }
  }
}

void
UsageReporter::updateRecipients()
{
  const auto* leader = mCluster.leader();
  const auto incarnation =
    leader != nullptr ? leader->instance + "/" + leader->incarnation : "";
  if (mRecipientsVersion == mCluster.peersVersion() &&
      mRecipientsLeader == incarnation) {
    return;
  }
  mRecipientsVersion = mCluster.peersVersion();
  mRecipientsLeader = incarnation;
  const auto instances = recipients();
  for (auto& [instance, recipient] : mRecipients) {
    recipient.isWanted =
      std::ranges::find(instances, instance) != instances.end();
  }
  std::erase_if(mRecipients, [](const auto& item) {
    return !item.second.isWanted && !item.second.isCallPending;
  });
  for (const auto& instance : instances) {
    auto& recipient = mRecipients[instance];
    recipient.isWanted = true;
    const bool isLeader = leader != nullptr && leader->instance == instance;
    if (isLeader && recipient.incarnation != leader->incarnation) {
      recipient.incarnation = leader->incarnation;
      recipient.received = 0;
    }
  }
}

bool
UsageReporter::isLeaderUnreachable() const
{
  const auto* leader = mCluster.leader();
  const auto found =
    leader == nullptr ? mRecipients.end() : mRecipients.find(leader->instance);
  return found != mRecipients.end() && found->second.isUnreachable;
}

std::vector<std::string>
UsageReporter::recipients() const
{
  const auto& self = mContext.settings.instance;
  const auto* leader = mCluster.leader();
  auto candidates = mCluster.presentPeers();
  std::vector<std::string> result;
  if (leader != nullptr) {
    std::erase(candidates, leader->instance);
    result.push_back(leader->instance);
  }
  std::ranges::copy(
    core::firstInTakeoverOrder(std::move(candidates), keys::leader(), 1),
    std::back_inserter(result));
  std::erase(result, self);
  return result;
}

std::vector<UsageUpdate>
UsageReporter::updatesFor(const Recipient& recipient, bool withCollected) const
{
  std::vector<UsageUpdate> updates;
  for (const auto& [window, counted] : mCounter.windows()) {
    if (counted.changedAt > recipient.received) {
      updates.push_back({ mSource, window, counted.counts });
    }
  }
  if (!withCollected) {
    return updates;
  }
  for (const auto& [window, sources] : mLedger.counts()) {
    for (const auto& [source, counts] : sources) {
      if (source != mSource) {
        updates.push_back({ source, window, counts });
      }
    }
  }
  return updates;
}

net::Awaitable<void>
UsageReporter::sendCountsTo(std::string instance, bool withCollected)
{
  auto& present = mRecipients[instance];
  const auto updates = updatesFor(present, withCollected);
  const auto sequence = mCounter.sequence();
  const auto incarnation = present.incarnation;
  if (updates.empty()) {
    if (withCollected) {
      mInformedLeader = incarnation;
    }
    co_return;
  }
  present.isCallPending = true;
  present.sentAt = Clock::now();
  net::HttpRequest request;
  request.method = "POST";
  request.target = peer_paths::kUsage;
  if (!withCollected && isLeaderUnreachable()) {
    request.target += fmt::format("?{}=1", kRelayParameter);
  }
  request.body = encodeUsageUpdates(updates);
  mContext.metrics.increment("usage_messages_total");
  mContext.metrics.increment("usage_message_bytes_total",
                             static_cast<double>(request.body.size()));
  const auto response =
    co_await mPeers.sendRequest(instance, std::move(request), kCountsTimeout);
  auto& recipient = mRecipients[instance];
  recipient.isCallPending = false;
  recipient.isUnreachable = !response || response->status != net::status::kOk;
  if (recipient.isUnreachable) {
    co_return;
  }
  const auto json = core::parseJsonOrDiscard(response->body);
  const auto answered =
    json.is_object() ? json.value("incarnation", "") : std::string();
  const bool isSameProcess = incarnation.empty() || answered == incarnation;
  recipient.incarnation = answered;
  recipient.received = isSameProcess ? sequence : 0;
  if (withCollected && isSameProcess) {
    mInformedLeader = answered;
  }
}

net::Awaitable<void>
UsageReporter::reportWindows()
{
  for (;;) {
    co_await net::sleepFor(kPollInterval);
    const auto token = mLeadership.fencingToken();
    if (token != mDutyToken) {
      if (mDutyToken == 0) {
        mDutySince = Clock::now();
      }
      mDutyToken = token;
      mLedger.beginDuty();
    }
    if (token != 0) {
      co_await reportNext();
    }
    const auto missed = mLedger.takeMissed();
    if (missed > 0) {
      mContext.metrics.increment("usage_windows_missed_total",
                                 static_cast<double>(missed));
      mContext.log.warning("usage_missed", { { "windows", missed } });
    }
  }
}

net::Awaitable<void>
UsageReporter::reportNext()
{
  const auto time = Clock::now();
  const bool mayCallStore = time >= mStoreRetryAt;
  // The former leader can store nothing more once this process has claimed the
  // leader key, so the record can be read before the delay is over.
  if (mLedger.mustRead() && mayCallStore) {
    co_await readStored();
  }
  if (!mLeadership.mayCallProvider()) {
    co_return;
  }
  const bool hasCounts = time - mDutySince >= kTakeoverCollectionTime;
  if (hasCounts && mayCallStore) {
    if (auto record = mLedger.nextRecord(now())) {
      co_await store(std::move(*record));
    }
  }
  if (Clock::now() < mCallAfter) {
    co_return;
  }
  if (auto report = mLedger.nextReport(now())) {
    mCallAfter = Clock::now() + minCallInterval();
    co_await send(report->first, std::move(report->second));
  }
}

Millis
UsageReporter::minCallInterval() const
{
  constexpr double kMillisPerSecond = 1'000;
  const auto rate =
    kRateShare *
    std::max(kMinCallRate, mContext.settings.provider->callsPerSecond);
  return Millis(static_cast<std::int64_t>(kMillisPerSecond / rate));
}

net::Awaitable<void>
UsageReporter::readStored()
{
  const auto token = mDutyToken;
  auto item = co_await mContext.store.read(kUsageReportsKey);
  if (!item) {
    mStoreRetryAt = Clock::now() + kStoreRetryDelay;
    mContext.log.warning("usage_read",
                         { { "outcome", item.error().message() } });
    co_return;
  }
  if (token != mLeadership.fencingToken()) {
    // The record may have been read before the present term began.
    co_return;
  }
  std::optional<core::StoredUsage> record;
  mStoredRevision = 0;
  if (item.value()) {
    mStoredRevision = item.value()->revision;
    record = decodeStoredUsage(item.value()->value);
  }
  const bool isMalformed = item.value() && !record;
  mLedger.setStored(std::move(record), mStartedAt, now());
  mContext.log.info("usage_read",
                    { { "fence", token },
                      { "revision", mStoredRevision },
                      { "outcome", isMalformed ? "malformed" : "done" } });
}

net::Awaitable<void>
UsageReporter::store(core::StoredUsage record)
{
  const auto token = mDutyToken;
  StoreTransaction transaction;
  transaction.preconditions = { { keys::leader(), token },
                                { kUsageReportsKey, mStoredRevision } };
  transaction.writes = { { kUsageReportsKey, encodeStoredUsage(record), 0 } };
  const auto commit = co_await mContext.store.commit(std::move(transaction));
  mContext.metrics.increment(fmt::format(
    "usage_records_total{{outcome=\"{}\"}}", commit.error ? "failed" : "done"));
  if (!commit.error) {
    mStoredRevision = commit.revision;
    mLedger.recordStored(std::move(record));
    co_return;
  }
  mContext.log.warning("usage_not_stored",
                       { { "window", record.lastWindow },
                         { "fence", token },
                         { "outcome", commit.error.message() } });
  mStoreRetryAt = Clock::now() + kStoreRetryDelay;
  const bool isUnchanged = commit.error == StoreError::Unavailable;
  if (!isUnchanged) {
    mLedger.markUnknown();
  }
}

net::Awaitable<void>
UsageReporter::send(std::int64_t window, core::UsageCounts counts)
{
  const auto holder = mLeadership.dutyHolder();
  net::HttpCall call;
  call.endpoint = mContext.settings.provider->endpoint;
  call.request = mContext.format.encodeUsageReport(holder, { window, counts });
  call.bodyLimit = kMaxProviderResponseBytes;
  call.connectTimeout = kConnectTimeout;
  call.timeout = kReportTimeout;
  // What is written to an open connection may arrive late if the network has
  // failed in the meantime. A new connection proves that it works.
  call.useNewConnection = true;
  call.beforeFirstByte = mLeadership.providerCallCheck();
  const auto result = co_await mContext.http.call(std::move(call));
  const auto time = now();
  const auto lag = time - mWindows.endOf(window);
  const bool isNotStarted =
    !result.sent && result.error == net::NetError::NotStarted;
  if (result.isSuccess()) {
    mLedger.recordReceived(window);
    mContext.metrics.observe("usage_report_lag_ms",
                             static_cast<double>(lag.count()));
  } else if (!isNotStarted) {
    mLedger.recordFailed(time);
  }
  mContext.metrics.increment(
    fmt::format("usage_reports_total{{outcome=\"{}\"}}",
                result.isSuccess() ? "received"
                : isNotStarted     ? "not_sent"
                : result.error     ? "unanswered"
                                   : "refused"));
  mContext.log.info(
    "usage_report",
    { { "window", window },
      { "fence", holder.fencingToken },
      { "organisations", counts.size() },
      { "requests", sumOf(counts) },
      { "lag_ms", lag },
      { "status", result.response.status },
      { "outcome", result.error ? result.error.message() : "answered" } });
}

} // namespace lentilrack::gateway
