#include "gateway/gateway.h"

#include "core/decimal.h"
#include "core/shutdown_admission.h"
#include "core/takeover_order.h"
#include "net/http_status.h"

#include <fmt/format.h>

#include <algorithm>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;

/// How long callers may cache a list of addresses. The time is short because a
/// cached list may still name an instance that has died.
constexpr Millis kAddressTtl{ 2'000 };
constexpr std::size_t kMaxAddresses = 64;
/// Idle connections are kept this much longer than the idle timeout announced
/// to callers, so that none is closed just as a request arrives.
constexpr Millis kIdleMargin{ 3'000 };
/// Maximum time for which a process that is shutting down goes on serving.
/// Callers may use a list of addresses, and thus connect to this process, for
/// up to three times the time to live of the list, which is 2 s.
constexpr Millis kMaxDrainTime{ 6'000 };
constexpr Millis kDrainPollInterval{ 50 };
/// Open requests are answered this long before the end of the grace period,
/// with what is known of them.
constexpr Millis kShutdownMargin{ 1'000 };
/// How long to wait then until these answers are written. Requests that are
/// still open after the first half are answered on behalf of their handlers.
constexpr Millis kLastAnswersTime{ 500 };
/// Time that a request may need besides the time that it is allowed.
constexpr Millis kAnswerMargin{ 100 };
constexpr Millis kRetryAfter{ 300 };
/// Value of the Retry-After header while this process is leaving. Other
/// instances can serve the request at once.
constexpr Millis kLeavingRetryAfter{ 0 };
/// Number of peers that are told directly that this process is leaving. The
/// others learn it from the store.
constexpr std::size_t kMaxLeavingRecipients = 64;

/// Returns why the headers of a caller's request cannot be sent on as they are,
/// or nothing.
std::optional<std::string>
problemIn(const net::Headers& headers, const std::string& requestId)
{
  if (net::headerValues(headers, requestId).size() > 1) {
    // Another server could take another one for the id of the request.
    return requestId + ": it is repeated";
  }
  const auto options = net::connectionOptions(headers);
  const bool dropsOwnHeader = std::ranges::any_of(options, [&](auto option) {
    return net::equalsIgnoringCase(option, "Host") ||
           net::equalsIgnoringCase(option, requestId);
  });
  if (dropsOwnHeader) {
    return "Connection: it names a header that every server needs";
  }
  return std::nullopt;
}

} // namespace

Gateway::Gateway(Context& context)
  : mContext(context)
  , mCluster(context)
  , mPeers(context, mCluster)
  , mPermits(context, mCluster, mPeers)
  , mRates(context, mCluster)
  , mStateApplier(context)
  , mReplicator(context, mCluster, mPeers)
  , mForwarder(context)
  , mBatches(context, mCluster, mForwarder, mPeers)
  , mLeadership(context, mCluster)
  , mLeader(context, mCluster, mLeadership, mStateApplier, mPeers)
  , mUsage(context, mCluster, mPeers, mLeadership)
  , mServerOrders(context,
                  mCluster,
                  mPeers,
                  { [this] { return mLeadership.isHeld(); },
                    [this] { return mLeadership.mayCallProvider(); },
                    [this] { return mLeadership.dutyHolder(); },
                    [this] { return mLeadership.providerCallCheck(); } })
{
  mCluster.onChange([this] { mBatches.onClusterChange(); });
  mLeader.setMaintenanceTask([this] { return mBatches.deleteExpired(); });
  mContext.metrics.addGauge("open_batches", [this] {
    return static_cast<double>(mBatches.openRunCount());
  });
  mContext.metrics.addGauge("log_lines_suppressed", [this] {
    return static_cast<double>(mContext.log.droppedLines());
  });
  const auto& memory = mContext.readMemory;
  mContext.metrics.addGauge("read_memory_bytes", [memory] {
    return static_cast<double>(memory->used());
  });
  mContext.metrics.addGauge("read_memory_peak_bytes", [memory] {
    return static_cast<double>(memory->peak());
  });
  mContext.metrics.addGauge("responses_given_up_for_memory", [memory] {
    return static_cast<double>(memory->givenUp());
  });
  mContext.metrics.addGauge("desired_state_version", [this] {
    return mContext.desired ? static_cast<double>(mContext.desired->version())
                            : 0.0;
  });
}

bool
Gateway::listen(const std::optional<core::Endpoint>& endpoint,
                std::function<net::HttpLimits()> limits,
                net::HttpHandler handler)
{
  if (!endpoint) {
    return true;
  }
  auto server = std::make_unique<net::HttpServer>(
    mContext.io, net::HttpLimits(), std::move(handler));
  server->setLimits(std::move(limits));
  server->onHandlerFailure([this](const std::string& reason) {
    mContext.metrics.increment("handler_failures_total");
    mContext.log.warning("handler_failed", { { "error", reason } });
  });
  const auto bound = server->listen(*endpoint);
  mServers.push_back(std::move(server));
  if (!bound) {
    mContext.log.warning("listen_failed",
                         { { "address", endpoint->text() },
                           { "error", bound.error().message() } });
  }
  if (bound && endpoint == mContext.settings.callerAddress) {
    mCallerEndpoint = bound.value();
  }
  return bound.has_value();
}

bool
Gateway::start()
{
  const auto& settings = mContext.settings;
  const auto internalLimits = [] { return net::HttpLimits(); };
  const bool isBound =
    listen(
      settings.callerAddress,
      [this] { return callerLimits(); },
      [this](net::HttpExchange& e) { return handleCaller(e); }) &&
    listen(settings.readinessAddress,
           internalLimits,
           [this](net::HttpExchange& e) { return handleReadiness(e); }) &&
    listen(
      settings.peerAddress,
      [] {
        net::HttpLimits limits;
        limits.maxBodyBytes = 8UL * 1024 * 1024;
        return limits;
      },
      [this](net::HttpExchange& e) { return handlePeer(e); }) &&
    listen(metricsAddress(),
           internalLimits,
           [this](net::HttpExchange& e) { return handleMetrics(e); }) &&
    listen(settings.addressServiceAddress,
           internalLimits,
           [this](net::HttpExchange& e) { return handleAddresses(e); });
  if (isBound) {
    mReplicator.start();
    mCluster.start();
    mRates.start();
    mBatches.start();
    mLeadership.start();
    mLeader.start();
    mUsage.start();
    mServerOrders.start();
  }
  return isBound;
}

bool
Gateway::isReady() const
{
  return !mContext.isLeaving && mContext.desired && mCluster.isSynced() &&
         !mContext.registry.empty();
}

net::HttpLimits
Gateway::callerLimits() const
{
  net::HttpLimits limits;
  limits.allowKeepAlive = !mContext.isLeaving;
  if (mContext.desired) {
    const auto& configuredLimits = mContext.desired->limits();
    limits.maxBodyBytes = configuredLimits.bodyBytes;
    limits.maxHeaderBytes =
      static_cast<std::uint32_t>(configuredLimits.headerBytes);
    limits.readTimeout =
      std::max(limits.readTimeout, configuredLimits.headerTime);
    limits.idleTimeout = configuredLimits.idleTime + kIdleMargin;
  }
  return limits;
}

net::Awaitable<void>
Gateway::handleCaller(net::HttpExchange& exchange)
{
  const auto& request = exchange.request();
  if (const auto problem =
        problemIn(request.headers, mContext.format.headers().requestId)) {
    co_await exchange.respond(
      errorResponse(net::status::kBadRequest, "malformed_request", *problem));
    co_return;
  }
  auto call = mContext.format.classifyRequest(request);
  if (const auto* bad = std::get_if<MalformedCall>(&call)) {
    co_await exchange.respond(errorResponse(400, bad->reason));
  } else if (std::holds_alternative<ForwardRequest>(call)) {
    co_await handleForward(exchange);
  } else {
    co_await handleBatchCall(exchange, std::move(call));
  }
}

net::Awaitable<void>
Gateway::handleBatchCall(net::HttpExchange& exchange, ClassifiedRequest call)
{
  const auto& names = mContext.format.headers();
  const auto* organisations =
    mContext.desired ? mContext.desired->organisations() : nullptr;
  const bool mayNeedKey =
    !mContext.desired && !exchange.request().header(names.apiKey).empty();
  if (mayNeedKey) {
    // Without a desired state this process cannot tell whose batch it is.
    co_await exchange.respond(refusalResponse(503, "not_ready", kRetryAfter));
    co_return;
  }
  const auto& request = exchange.request();
  const auto authentication = core::authenticate(
    organisations,
    net::headerValues(request.headers, names.apiKey),
    organisations != nullptr &&
      mContext.desired->hasPublicBatchRoute(request.header("Host")));
  if (!authentication.isAllowed()) {
    co_await rejectUnauthenticated(exchange, authentication.outcome);
    co_return;
  }
  // An id that callers cannot use names no batch. It must not reach the batch
  // of another organisation either.
  const auto scoped = [&](const std::string& id) {
    return isValidBatchId(id)
             ? core::scopedBatchId(authentication.organisation, id)
             : std::string();
  };
  if (auto* read = std::get_if<ReadBatch>(&call)) {
    read->id = scoped(read->id);
    co_await mBatches.reader().read(exchange, std::move(*read));
  } else if (auto* body = std::get_if<ReadItemBody>(&call)) {
    body->id = scoped(body->id);
    co_await mBatches.reader().readItemBody(exchange, std::move(*body));
  } else if (auto* end = std::get_if<EndBatch>(&call)) {
    end->id = scoped(end->id);
    co_await mBatches.end(exchange, std::move(*end));
  }
}

net::Awaitable<void>
Gateway::rejectUnauthenticated(net::HttpExchange& exchange,
                               core::AuthenticationOutcome outcome)
{
  const bool isMissing = outcome == core::AuthenticationOutcome::MissingKey;
  mContext.metrics.increment(
    fmt::format("unauthenticated_total{{reason=\"{}\"}}",
                isMissing ? "missing_key" : "invalid_key"));
  mContext.log.info(
    "request",
    { { "request",
        exchange.request().header(mContext.format.headers().requestId) },
      { "state_version", mContext.desired ? mContext.desired->version() : 0 },
      { "outcome", isMissing ? "missing_key" : "invalid_key" } });
  auto response =
    errorResponse(401, isMissing ? "missing_api_key" : "invalid_api_key");
  response.headers.emplace_back("WWW-Authenticate", "Bearer");
  co_await exchange.respond(std::move(response));
}

net::Awaitable<void>
Gateway::handleForward(net::HttpExchange& exchange)
{
  const auto& names = mContext.format.headers();
  const auto& request = exchange.request();
  // Keep the desired state for the whole request, even if a newer one arrives
  // in the meantime.
  const auto desired = mContext.desired;
  const auto* route =
    desired ? desired->findRoute(request.header("Host"), request.target)
            : nullptr;
  const auto id = request.header(names.requestId);
  if (!desired) {
    mContext.log.info("request",
                      { { "request", id }, { "outcome", "no_desired_state" } });
    co_await exchange.respond(refusalResponse(503, "not_ready", kRetryAfter));
    co_return;
  }
  if (route == nullptr) {
    mContext.log.info("request",
                      { { "request", id },
                        { "state_version", desired->version() },
                        { "outcome", "no_route" } });
    co_await exchange.respond(errorResponse(404, "no_route"));
    co_return;
  }
  const auto authentication =
    core::authenticate(desired->organisations(),
                       net::headerValues(request.headers, names.apiKey),
                       route->isPublic);
  if (!authentication.isAllowed()) {
    co_await rejectUnauthenticated(exchange, authentication.outcome);
    co_return;
  }
  if (authentication.outcome != core::AuthenticationOutcome::NotRequired) {
    exchange.setRequestHeaders(Forwarder::identifiedHeaders(
      request.headers, names, authentication.organisation));
  }
  if (mustRejectWhileLeaving(exchange, *route)) {
    mContext.log.info("request",
                      { { "request", id },
                        { "route", route->name },
                        { "left_ms", mContext.timeToAnswer() },
                        { "outcome", "leaving" } });
    mContext.metrics.increment("rejected_while_leaving_total");
    co_await exchange.respond(
      refusalResponse(503, "leaving", kLeavingRetryAfter));
    co_return;
  }
  if (route->kind == core::RouteKind::Batch) {
    co_await mBatches.submit(exchange, *route, authentication.organisation);
    co_return;
  }
  if (route->kind == core::RouteKind::Stream) {
    co_await mForwarder.stream(exchange, *route);
    co_return;
  }
  co_await mForwarder.forward(exchange, *route);
}

bool
Gateway::mustRejectWhileLeaving(const net::HttpExchange& exchange,
                                const core::Route& route) const
{
  if (!mContext.isLeaving || route.kind == core::RouteKind::Batch) {
    return false;
  }
  const core::ShutdownAdmission admission{
    Forwarder::allowedTime(mContext, exchange, route),
    route.targetLatency,
    route.kind == core::RouteKind::Repeatable
  };
  return !admission.timeFor(mContext.timeToAnswer() - kAnswerMargin);
}

net::Awaitable<void>
Gateway::handleReadiness(net::HttpExchange& exchange)
{
  net::HttpResponse response;
  const bool isCall = mContext.format.isReadinessCall(exchange.request());
  response.status = !isCall ? 404 : isReady() ? 200 : 503;
  co_await exchange.respond(std::move(response));
}

std::optional<core::Endpoint>
Gateway::metricsAddress() const
{
  const auto& settings = mContext.settings;
  if (settings.metricsPort == 0 || settings.address.empty()) {
    return std::nullopt;
  }
  return core::Endpoint{ settings.address, settings.metricsPort };
}

net::Awaitable<void>
Gateway::handleMetrics(net::HttpExchange& exchange)
{
  net::HttpResponse response;
  if (exchange.request().path() != "/metrics") {
    response = errorResponse(404, "no_such_call");
  } else {
    response.contentType = "text/plain; version=0.0.4";
    response.body = mContext.metrics.text();
  }
  co_await exchange.respond(std::move(response));
}

std::vector<core::Endpoint>
Gateway::callerAddresses() const
{
  std::vector<core::Endpoint> addresses;
  for (const auto& [name, peer] : mCluster.peers()) {
    const bool isSelf = name == mContext.settings.instance;
    const bool isServing =
      isSelf ? isReady() : !peer.isLeaving && peer.callerEndpoint;
    if (isServing && peer.callerEndpoint && addresses.size() < kMaxAddresses) {
      addresses.push_back(*peer.callerEndpoint);
    }
  }
  // Without the store, this process knows no members but still has its own
  // address.
  if (addresses.empty() && mContext.settings.callerAddress &&
      !mContext.isLeaving) {
    addresses.push_back(*mContext.settings.callerAddress);
  }
  return addresses;
}

net::Awaitable<void>
Gateway::handleAddresses(net::HttpExchange& exchange)
{
  if (!mContext.format.isAddressCall(exchange.request())) {
    co_await exchange.respond(errorResponse(404, "no_such_call"));
    co_return;
  }
  const auto addresses = callerAddresses();
  if (addresses.empty()) {
    co_await exchange.respond(
      refusalResponse(503, "no_addresses", kRetryAfter));
    co_return;
  }
  net::HttpResponse response;
  response.body = mContext.format.encodeAddresses(
    addresses, std::min(kAddressTtl, mContext.settings.bounds.maxAddressTtl));
  co_await exchange.respond(std::move(response));
}

net::Awaitable<void>
Gateway::handlePeer(net::HttpExchange& exchange)
{
  const auto& request = exchange.request();
  const auto path = request.path();
  const auto after = [&](const char* prefix) {
    return path.substr(std::string_view(prefix).size());
  };
  net::HttpResponse response;
  response.body = "{}";
  if (path.starts_with(peer_paths::kResults)) {
    ReadBatch read;
    read.id = after(peer_paths::kResults);
    read.after =
      core::parseDecimal<std::size_t>(request.query("after")).value_or(0);
    read.wait = Millis(
      core::parseDecimal<std::int64_t>(request.query("wait")).value_or(0));
    response = co_await mBatches.reader().readForPeer(std::move(read));
  } else if (path.starts_with(peer_paths::kItemBody)) {
    response = mBatches.reader().readLocalItemBody(
      { after(peer_paths::kItemBody), request.query("item") });
  } else if (path.starts_with(peer_paths::kEndBatch)) {
    mBatches.stopEndedRun(after(peer_paths::kEndBatch));
  } else if (path.starts_with(peer_paths::kSubmit)) {
    response =
      co_await mBatches.acceptForPeer(after(peer_paths::kSubmit), request);
  } else if (path == peer_paths::kState) {
    response = co_await mReplicator.serveFollower(request);
  } else if (path == peer_paths::kPermit) {
    response = co_await mPermits.answerQuestion(request);
  } else if (path == peer_paths::kRate) {
    mPermits.applyPeerRate(request.body);
  } else if (path.starts_with(peer_paths::kAllocator)) {
    response = mPermits.nameAllocator(after(peer_paths::kAllocator));
  } else if (path == peer_paths::kWeights) {
    mLeader.applyWeightUpdates(request.body);
  } else if (path == peer_paths::kUsage) {
    response = mUsage.applyCounts(request);
  } else if (path == peer_paths::kSpeeds) {
    mServerOrders.applySpeedReport(request.body);
  } else if (path.starts_with(peer_paths::kLeaving)) {
    mCluster.markPeerLeaving(after(peer_paths::kLeaving));
  } else {
    response = errorResponse(404, "no_such_call");
  }
  co_await exchange.respond(std::move(response));
}

void
Gateway::shutDown(std::function<void()> done)
{
  if (!mContext.isLeaving) {
    mContext.isLeaving = true;
    mContext.answerDeadline =
      Clock::now() + mContext.settings.bounds.shutdownGrace - kShutdownMargin;
    net::spawn(mContext.io, drainAndStop(std::move(done)));
  }
}

net::Awaitable<void>
Gateway::drainAndStop(std::function<void()> done)
{
  const auto shutdownGrace = mContext.settings.bounds.shutdownGrace;
  mContext.log.info("leaving", { { "grace_ms", shutdownGrace } });
  const auto& self = mContext.settings.instance;
  mPeers.notify(core::firstInTakeoverOrder(
                  mCluster.presentPeers(), self, kMaxLeavingRecipients),
                peer_paths::kLeaving + self,
                "");
  co_await mBatches.handOverAll();
  net::spawn(mContext.io, mCluster.announceLeaving());
  const auto drainTime =
    std::min(kMaxDrainTime, shutdownGrace - 2 * kShutdownMargin);
  co_await net::sleepFor(drainTime);
  // Close idle connections only now that callers have had time to learn the
  // addresses of other instances.
  std::ranges::for_each(mServers,
                        [](auto& server) { server->closeIdleConnections(); });
  const auto hasActiveExchanges = [this] {
    return std::ranges::any_of(mServers, [](const auto& server) {
      return server->activeExchanges() > 0;
    });
  };
  while (hasActiveExchanges() && mContext.timeToAnswer() > Millis(0)) {
    co_await net::sleepFor(kDrainPollInterval);
  }
  mContext.stopping->cancel();
  // A request that is taken from now on may find the process gone.
  for (const auto& server : mServers) {
    server->stopAccepting();
    server->closeIdleConnections();
  }
  // Requests that had arrived, but were not read yet, become active.
  co_await net::sleepFor(kDrainPollInterval);
  while (hasActiveExchanges() &&
         mContext.timeToAnswer() > -kLastAnswersTime / 2) {
    co_await net::sleepFor(kDrainPollInterval);
  }
  for (const auto& server : mServers) {
    server->respondToOpenExchanges(errorResponse(504, "stopping"));
  }
  while (hasActiveExchanges() && mContext.timeToAnswer() > -kLastAnswersTime) {
    co_await net::sleepFor(kDrainPollInterval);
  }
  mContext.log.info("stopped",
                    { { "outcome", hasActiveExchanges() ? "cut" : "clean" } });
  done();
}

} // namespace lentilrack::gateway
