#include "node/node.h"

#include "node/heartbeat.h"
#include "node/node_state.h"
#include "node/table_sync.h"
#include "wire/messages.h"
#include "wire/table_codec.h"

#include <fmt/format.h>
#include <sodium.h>

#include <cstdio>
#include <fstream>
#include <random>

namespace lentilrack::node {

using net::Awaitable;
using wire::Json;

namespace {

constexpr core::Millis kLeaseTime{ 15'000 };
/// Renewal interval. At 630 instances with two processes each, this gives 210
/// renewals per second.
constexpr core::Millis kLeaseRenewal{ 6'000 };
/// Interval at which a few processes of each failure domain list the members,
/// to find those that they lost during a network partition.
constexpr core::Millis kRejoinPeriod{ 20'000 };
constexpr core::Millis kListPeriod{ 1'000 };
constexpr core::Millis kJoinRetry{ 500 };
/// Must be less than 7 s, the time within which an edit is in force everywhere.
/// By then, a process must know that it may have missed an edit.
constexpr core::Millis kIsolationTimeout{ 5'000 };

const char*
roleSuffix(core::MemberRole role)
{
  return role == core::MemberRole::Entry ? "/entry" : "/dispatch";
}

core::Incarnation
randomIncarnation()
{
  core::Incarnation value = 0;
  randombytes_buf(&value, sizeof value);
  return value;
}

core::Member
makeSelf(const NodeSettings& settings)
{
  core::Member self;
  self.id = { settings.name + roleSuffix(settings.role), randomIncarnation() };
  self.role = settings.role;
  self.failureDomain = settings.failureDomain;
  return self;
}

/// Returns the instance in a process name: "etna-1" for "etna-1/entry".
std::string
instanceName(const std::string& processName)
{
  return processName.substr(0, processName.rfind('/'));
}

} // namespace

void
NodeSettings::addFlags(net::SettingsBuilder& builder)
{
  builder.requiredText("name", &name, "name of the instance")
    .requiredText(
      "failure-domain", &failureDomain, "failure domain of the instance")
    .endpoint("http", &http, "HTTP address; port 0 lets the kernel choose")
    .endpoint("link", &link, "address for links from other processes")
    .endpoints("kv", &kv, "addresses of the key-value service")
    .endpoint("instance-list", &instanceList, "address of the instance list")
    .endpoint("weight-store", &weightStore, "address of the weight store")
    .endpoints("peers", &peers, "links of processes to join through")
    .requiredText("link-secret",
                  &linkSecret,
                  "shared secret of the links; prefer the environment")
    .text("data-dir", &dataDirectory, "directory for bulk data, if any")
    .text("address-file", &addressFile, "file that gets the bound addresses");
}

Node::State::State(net::asio::io_context& context, NodeSettings nodeSettings)
  : io(context)
  , settings(std::move(nodeSettings))
  , log(settings.role == core::MemberRole::Entry ? "entry" : "dispatch")
  , members(makeSelf(settings), {})
  , http(context)
  , httpServer(
      context,
      {},
      [this](net::HttpExchange& exchange) { return router.handle(exchange); })
  , linkServer(context, { members.self().id, settings.linkSecret })
  , links(context, { members.self().id, settings.linkSecret })
  , kv(context, { .endpoints = settings.kv, .readMemory = http.readMemory() })
  , sync(context, members, table, links, kv, log.child("table"))
  , heartbeat(
      context,
      members,
      links,
      log.child("members"),
      { [this](core::Member& self) { refreshSelf(self); },
        [this](const core::Member& member) { sync.fetchIfNewer(member); } })
{
}

void
Node::State::refreshSelf(core::Member& self)
{
  self.tableRevision = table.revision();
  if (inFlightProvider) {
    self.inFlight = inFlightProvider();
  }
  if (loadProvider) {
    self.load = loadProvider();
  }
}

bool
Node::State::listen()
{
  const auto httpBound = httpServer.listen(settings.http);
  const auto linkBound = linkServer.listen(settings.link);
  if (!httpBound || !linkBound) {
    log.error("Cannot listen on {} and {}.",
              settings.http.text(),
              settings.link.text());
    return false;
  }
  members.self().http = httpBound.value();
  members.self().link = linkBound.value();
  return true;
}

bool
Node::State::writeAddressFile() const
{
  if (settings.addressFile.empty()) {
    return true;
  }
  const auto& self = members.self();
  const Json json{ { "name", self.id.name },
                   { "http", self.http->text() },
                   { "link", self.link.text() } };
  const auto temporary = settings.addressFile + ".tmp";
  std::ofstream(temporary) << json.dump() << '\n';
  if (std::rename(temporary.c_str(), settings.addressFile.c_str()) != 0) {
    log.error("Cannot write {}.", settings.addressFile);
    return false;
  }
  return true;
}

Awaitable<void>
Node::State::joinVia(core::Endpoint endpoint)
{
  co_await heartbeat.pingAddress(std::move(endpoint));
}

Awaitable<bool>
Node::State::discoverMembers()
{
  const auto entries = co_await kv.list("members/");
  if (!entries) {
    log.debug("Cannot list the members: {}.", entries.error().message());
    co_return false;
  }
  for (const auto& entry : entries.value()) {
    const auto member = wire::decode<core::Member>(entry.value);
    if (!member) {
      log.warning("Ignoring the invalid member record {}: {}.",
                  entry.key,
                  member.error().text());
    } else if (member.value().id.name != members.self().id.name) {
      net::spawn(io, joinVia(member.value().link));
    }
  }
  co_return true;
}

Awaitable<void>
Node::State::join()
{
  for (;;) {
    for (const auto& peer : settings.peers) {
      net::spawn(io, joinVia(peer));
    }
    const bool isListed = co_await discoverMembers();
    const bool hasAnswered = co_await sync.readFromService();
    co_await net::sleepFor(kJoinRetry);
    if (table.revision() > 0) {
      break;
    }
    const std::string missing = isListed && hasAnswered
                                  ? "a first table"
                                  : "the key-value service or a peer";
    log.info("Waiting for {}.", missing);
  }
}

Awaitable<void>
Node::State::leaseLoop()
{
  std::string lease;
  for (;;) {
    std::error_code error;
    if (!lease.empty()) {
      error = co_await kv.renewLease(lease);
    }
    if (lease.empty() || error) {
      const auto granted = co_await kv.grantLease(kLeaseTime);
      lease = granted ? granted.value() : "";
      if (granted) {
        backends::KvPut put;
        put.key = "members/" + members.self().id.name;
        put.value = wire::encode(members.self());
        put.lease = lease;
        const auto written = co_await kv.put(std::move(put));
        lease = written ? lease : "";
      }
    }
    co_await net::sleepFor(kLeaseRenewal);
  }
}

Awaitable<void>
Node::State::pollInstanceListLoop()
{
  if (settings.instanceList.port == 0) {
    co_return;
  }
  backends::InstanceListClient client(http, settings.instanceList);
  for (;;) {
    auto list = co_await client.fetch();
    if (list && list.value() != servers) {
      servers = std::move(list).value();
      for (const auto& callback : serverCallbacks) {
        callback();
      }
    }
    co_await net::sleepFor(kListPeriod);
  }
}

Awaitable<void>
Node::State::rejoinLoop()
{
  for (;;) {
    co_await net::sleepFor(kRejoinPeriod);
    if (sync.isWatcher()) {
      co_await discoverMembers();
    }
  }
}

Node::Node(net::asio::io_context& io, NodeSettings settings)
  : mState(std::make_unique<State>(io, std::move(settings)))
{
  auto& state = *mState;
  state.heartbeat.addHandlers(state.linkServer);
  state.sync.addHandlers(state.linkServer);
  state.table.addChangeListener(
    [&state](const core::Table&) { state.heartbeat.pingRandomMembers(); });
  addRoutes();
  addDumpSection("members", [&state] {
    Json list = Json::array();
    list.push_back(wire::encode(state.members.self()));
    for (const auto& member : state.members.others()) {
      list.push_back(wire::encode(member));
    }
    return list;
  });
  addDumpSection("table_revision",
                 [&state] { return Json(state.table.revision()); });
  addDumpSection("kv", [&state] {
    return Json{ { "available", state.kv.isAvailable() },
                 { "calls", state.kv.callCount() } };
  });
  addDumpSection("backend_servers",
                 [&state] { return Json(state.servers.size()); });
}

Node::~Node() = default;

void
Node::addRoutes()
{
  auto& state = *mState;
  state.router.add(
    "GET", "/healthz", [](net::HttpExchange& exchange) -> Awaitable<void> {
      net::HttpResponse response;
      response.body = R"({"ok":true})";
      co_await exchange.respond(std::move(response));
    });
  state.router.add("GET",
                   "/metrics",
                   [&state](net::HttpExchange& exchange) -> Awaitable<void> {
                     net::HttpResponse response;
                     response.contentType = "text/plain; version=0.0.4";
                     response.body = state.metrics.text();
                     co_await exchange.respond(std::move(response));
                   });
  state.router.add(
    "GET", "/state", [this](net::HttpExchange& exchange) -> Awaitable<void> {
      const auto* principal =
        table().table().authenticate(exchange.request().bearerToken());
      net::HttpResponse response;
      if (principal == nullptr ||
          principal->role != core::PrincipalRole::Operator) {
        response.status = 401;
        response.body = R"({"error":"not_authorized"})";
      } else {
        response.body = dump().dump(2) + "\n";
      }
      co_await exchange.respond(std::move(response));
    });
}

Awaitable<bool>
Node::start()
{
  auto& state = *mState;
  if (!state.listen()) {
    co_return false;
  }
  if (!state.writeAddressFile()) {
    co_return false;
  }
  state.log.info("{} listens on {}, links on {}.",
                 self().name,
                 state.members.self().http->text(),
                 state.members.self().link.text());
  net::spawn(state.io, state.heartbeat.run());
  net::spawn(state.io, state.leaseLoop());
  net::spawn(state.io, state.pollInstanceListLoop());
  co_await state.join();
  net::spawn(state.io, state.sync.run());
  net::spawn(state.io, state.rejoinLoop());
  state.startTime = core::Clock::now();
  state.log.info("Joined with table revision {}.", state.table.revision());
  co_return true;
}

const NodeSettings&
Node::settings() const
{
  return mState->settings;
}

const core::ProcessId&
Node::self() const
{
  return mState->members.self().id;
}

net::asio::io_context&
Node::io()
{
  return mState->io;
}

const net::Logger&
Node::log() const
{
  return mState->log;
}

net::Metrics&
Node::metrics()
{
  return mState->metrics;
}

net::HttpClient&
Node::http()
{
  return mState->http;
}

net::HttpRouter&
Node::router()
{
  return mState->router;
}

net::HttpServer&
Node::httpServer()
{
  return mState->httpServer;
}

net::LinkServer&
Node::linkServer()
{
  return mState->linkServer;
}

net::LinkPool&
Node::links()
{
  return mState->links;
}

backends::KvClient&
Node::kv()
{
  return mState->kv;
}

core::Membership&
Node::members()
{
  return mState->members;
}

core::TableReplica&
Node::table()
{
  return mState->table;
}

const std::vector<core::BackendServer>&
Node::backendServers() const
{
  return mState->servers;
}

void
Node::onBackendServersChanged(std::function<void()> callback)
{
  mState->serverCallbacks.push_back(std::move(callback));
}

void
Node::setLoadProvider(
  std::function<std::map<std::string, core::TargetLoad>()> callback)
{
  mState->loadProvider = std::move(callback);
}

void
Node::setInFlightProvider(std::function<std::int64_t()> callback)
{
  mState->inFlightProvider = std::move(callback);
}

bool
Node::isIsolated() const
{
  const auto now = core::Clock::now();
  const auto own = mState->settings.name;
  const auto heard = mState->members.lastHeardAmong(
    [&own](const std::string& name) { return instanceName(name) != own; });
  const auto last = std::max({ mState->sync.lastServiceResponse(),
                               mState->startTime,
                               heard.value_or(now) });
  return now - last > kIsolationTimeout;
}

void
Node::addDumpSection(std::string part, DumpSection dump)
{
  mState->dumpSections[std::move(part)] = std::move(dump);
}

Json
Node::dump() const
{
  Json json{ { "process", self().name },
             { "incarnation", self().incarnation },
             { "failure_domain", mState->settings.failureDomain } };
  for (const auto& [part, dumpPart] : mState->dumpSections) {
    json[part] = dumpPart();
  }
  return json;
}

Awaitable<void>
Node::announceLeaving()
{
  mState->members.self().state = core::MemberState::Leaving;
  co_await mState->heartbeat.pingAll();
}

} // namespace lentilrack::node
