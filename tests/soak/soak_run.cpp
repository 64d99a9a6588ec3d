#include "soak_run.h"

#include "core/decimal.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <random>

namespace lentilrack::soak {

namespace {

using core::Clock;
using core::Millis;
using Json = nlohmann::json;

constexpr const char* kHost = "soak.example";
constexpr const char* kModel = "model";
constexpr int kItems = 4;
constexpr int kServersOfService = 3;
constexpr Millis kCallTimeout{ 3'000 };
/// Long enough for each process to become ready on a loaded machine.
constexpr Millis kStartTimeout{ 60'000 };
/// Time after the last fault within which requests must be served again; three
/// times what the deployments ask for, since the machine may be loaded.
constexpr Millis kRecoveryTime{ 45'000 };
constexpr Millis kPollInterval{ 50 };

Json
route(const char* name, const char* kind, const char* service)
{
  return { { "name", name },
           { "host", kHost },
           { "path_prefix", fmt::format("/{}/", name) },
           { "kind", kind },
           { "service", service },
           { "timeout_ms", 2000 },
           { "target_latency_ms", 200 },
           { "max_attempts", 3 },
           { "queue_ttl_s", 60 } };
}

std::string
batchBody(const std::string& id)
{
  Json items = Json::array();
  for (int i = 0; i < kItems; ++i) {
    const auto item = fmt::format("{}-{}", id, i);
    items.push_back({ { "id", item },
                      { "path", "/batch/" + item },
                      { "body", "YQ==" },
                      { "tokens", 100 },
                      { "group", fmt::format("{}-group-{}", id, i / 2) },
                      { "headers", { { "X-Tenant", "intruder" } } },
                      { "scorer",
                        { { "id", item + "-reward" },
                          { "host", kHost },
                          { "path", "/reward/" + item },
                          { "body", "YQ==" } } } });
  }
  return Json{
    { "step", 0 },
    { "model", kModel },
    { "min_version", 1 },
    { "desired", 2 },
    { "items", items }
  }.dump();
}

net::Headers
headersWith(const std::string& key)
{
  net::Headers headers{ { "Host", kHost } };
  if (!key.empty()) {
    headers.emplace_back("Authorization", "Bearer " + key);
  }
  return headers;
}

} // namespace

SoakRun::SoakRun(net::asio::io_context& io, SoakOptions options)
  : mIo(io)
  , mOptions(std::move(options))
  , mRandom(mOptions.seed)
  , mStore(io)
  , mProvider(io, mChecker, mRandom)
  , mClient(io)
  , mKeys{ { "north-permanent", "north", true, 0 },
           { "south-permanent", "south", true, 0 },
           { "north-first", "north", false, 0 },
           { "south-first", "south", false, 0 } }
{
  mProvider.onExcuseQuery(
    [this](const std::string& instance) { return isExcused(instance); });
  createServers();
  createFloodingServers();
  writeDesiredState();
  createMachines();
}

void
SoakRun::createServers()
{
  for (int i = 0; i < kServersOfService; ++i) {
    for (const auto* service : { "plain", "engine" }) {
      mServers.push_back(std::make_unique<SoakServer>(
        mIo,
        mStore,
        mChecker,
        mRandom,
        service,
        service == std::string("engine") ? kModel : ""));
      mServers.back()->onExcuseQuery(
        [this](const std::string& instance) { return isExcused(instance); });
    }
  }
}

void
SoakRun::createFloodingServers()
{
  const std::string head = "HTTP/1.1 200 OK\r\n";
  for (int i = 0; i < mOptions.floodingServers; ++i) {
    const bool hasEndlessHead = i % 2 == 1;
    mFloodingServers.push_back(std::make_unique<testing::FloodingServer>(
      mIo,
      hasEndlessHead ? head : head + "\r\n",
      hasEndlessHead ? "X-Field: value\r\n" : std::string(64'000, 'x')));
    const Json entry = { { "service", "plain" },
                         { "address",
                           mFloodingServers.back()->endpoint().text() },
                         { "zone", "domain-1" },
                         { "slots", 32 },
                         { "state", "ready" },
                         { "seq", 1 },
                         { "born", 1 } };
    mStore.table().put(fmt::format("servers/flooding-{}", i), entry.dump());
  }
}

void
SoakRun::createMachines()
{
  const GatewayOptions options{ mOptions.program,
                                mOptions.folder,
                                mProvider.endpoint(),
                                mOptions.memoryMegabytes };
  constexpr int kAddressRange = 250;
  const int process = ::getpid();
  for (int i = 1; i <= mOptions.gateways; ++i) {
    Machine machine;
    machine.store = std::make_unique<FaultProxy>(mIo, mStore.endpoint());
    machine.process = std::make_unique<GatewayProcess>(
      options,
      fmt::format("gateway-{}", i),
      fmt::format("127.{}.{}.{}",
                  1 + process % kAddressRange,
                  process / kAddressRange % kAddressRange,
                  i),
      machine.store->endpoint());
    mMachines.push_back(std::move(machine));
  }
}

void
SoakRun::writeDesiredState()
{
  ++mStateVersion;
  auto reward = route("reward", "idempotent", "plain");
  reward["public"] = true;
  Json organisations = Json::array();
  for (const auto* name : { "north", "south" }) {
    Json keys = Json::array();
    for (const auto& key : mKeys) {
      if (key.organisation == name && key.removedIn == 0) {
        keys.push_back(key.text);
      }
    }
    organisations.push_back({ { "name", name }, { "api_keys", keys } });
  }
  const Json state = {
    { "version", mStateVersion },
    { "routes",
      { route("order", "non_idempotent", "plain"),
        route("lookup", "idempotent", "plain"),
        reward,
        route("batch", "rollout", "engine") } },
    { "services",
      { { { "name", "plain" } },
        { { "name", "engine" },
          { "engine", { { "models", { { { "name", kModel } } } } } } } } },
    { "tenants", organisations }
  };
  mStore.table().put("op/config", state.dump());
}

std::vector<core::Endpoint>
SoakRun::seeds() const
{
  constexpr std::size_t kMaxSeeds = 3;
  std::vector<core::Endpoint> result;
  for (std::size_t i = 0; i < std::min(kMaxSeeds, mMachines.size()); ++i) {
    result.push_back(mMachines[i].process->peerEndpoint());
  }
  return result;
}

double
SoakRun::draw()
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom);
}

Millis
SoakRun::drawTime(Millis shortest, Millis longest)
{
  return Millis(std::uniform_int_distribution<std::int64_t>(
    shortest.count(), longest.count())(mRandom));
}

SoakRun::Machine&
SoakRun::anyMachine()
{
  const auto index =
    static_cast<std::size_t>(draw() * static_cast<double>(mMachines.size()));
  return mMachines[std::min(index, mMachines.size() - 1)];
}

net::Awaitable<void>
SoakRun::run()
{
  for (auto& machine : mMachines) {
    machine.process->start(seeds());
  }
  co_await untilReady();
  if (!mChecker.violations().empty()) {
    co_return;
  }
  net::spawn(mIo, watchVersions());
  net::spawn(mIo, watchExits());
  for (int i = 0; i < mOptions.callers; ++i) {
    net::spawn(mIo, callRepeatedly(i));
  }
  net::spawn(mIo, trainRepeatedly("north", "north-permanent"));
  net::spawn(mIo, trainRepeatedly("south", "south-permanent"));
  co_await injectFaults();
  heal();
  co_await checkRecovery();
  mIsEnding = true;
  co_await net::sleepFor(kCallTimeout + Millis(500));
  for (auto& machine : mMachines) {
    machine.process->kill();
  }
  mChecker.finish();
}

net::Awaitable<void>
SoakRun::untilReady()
{
  const auto deadline = Clock::now() + kStartTimeout;
  for (auto& machine : mMachines) {
    for (bool isReady = false; !isReady;) {
      net::HttpCall call;
      call.endpoint = machine.process->readinessEndpoint();
      call.request.target = "/api/readyz";
      call.request.headers = headersWith("");
      const auto result = co_await mClient.call(std::move(call));
      isReady = result.isSuccess();
      if (Clock::now() > deadline || machine.process->hasEnded()) {
        mChecker.addViolation(machine.process->instance() +
                              " does not become ready");
        co_return;
      }
      co_await net::sleepFor(kPollInterval);
    }
  }
}

net::Awaitable<void>
SoakRun::watchVersions()
{
  constexpr std::string_view kMetric = "lentilrack_desired_state_version ";
  while (!mIsEnding) {
    for (auto& machine : mMachines) {
      const auto lifetime = machine.process->starts();
      net::HttpCall call;
      call.endpoint = machine.process->metricsEndpoint();
      call.timeout = Millis(300);
      call.request.target = "/metrics";
      call.request.headers = headersWith("");
      const auto result = co_await mClient.call(std::move(call));
      const auto& text = result.response.body;
      const auto found = text.find("\n" + std::string(kMetric));
      const bool isKnown = result.isSuccess() && found != std::string::npos &&
                           lifetime == machine.process->starts();
      if (isKnown) {
        const auto first = found + 1 + kMetric.size();
        const auto version =
          core::parseDecimal<double>(
            text.substr(first, text.find('\n', first) - first))
            .value_or(0);
        machine.seenVersion = static_cast<std::int64_t>(version);
      }
    }
    co_await net::sleepFor(kPollInterval);
  }
}

net::Awaitable<void>
SoakRun::watchExits()
{
  while (!mIsEnding) {
    for (auto& machine : mMachines) {
      mPeakMemory = std::max(mPeakMemory, machine.process->peakMemory());
      // Faults wait for the end of the processes that they end.
      if (!machine.isDisturbed && machine.process->isRunning() &&
          machine.process->hasEnded()) {
        mChecker.addViolation(fmt::format("{} has ended by itself, status {}",
                                          machine.process->instance(),
                                          machine.process->exitStatus()));
        machine.seenVersion = 0;
        machine.process->start(seeds());
      }
    }
    co_await net::sleepFor(kPollInterval);
  }
}

net::Awaitable<void>
SoakRun::callRepeatedly(int caller)
{
  net::HttpClient client(mIo);
  for (int i = 0; !mIsEnding; ++i) {
    co_await sendRequest(client, fmt::format("c{}-{}", caller, i));
    co_await net::sleepFor(drawTime(Millis(5), Millis(120)));
  }
}

net::Awaitable<void>
SoakRun::sendRequest(net::HttpClient& client, std::string id)
{
  constexpr double kUnknownKeyShare = 0.05;
  constexpr double kRepeatableShare = 0.5;
  auto& machine = anyMachine();
  Key key{ "unknown", "", false, 0 };
  if (draw() > kUnknownKeyShare) {
    const auto index =
      static_cast<std::size_t>(draw() * static_cast<double>(mKeys.size()));
    key = mKeys[std::min(index, mKeys.size() - 1)];
  }
  SentRequest sent;
  sent.isRepeatable = draw() < kRepeatableShare;
  sent.hasPermanentKey = key.isPermanent;
  // A process never returns to an older desired state in its lifetime.
  const bool isRemoved =
    key.removedIn != 0 && machine.seenVersion >= key.removedIn;
  sent.organisation = isRemoved ? "" : key.organisation;
  net::HttpCall call;
  call.endpoint = machine.process->callerEndpoint();
  call.timeout = kCallTimeout;
  call.connectTimeout = Millis(500);
  call.request.method = "POST";
  call.request.target =
    fmt::format("/{}/{}", sent.isRepeatable ? "lookup" : "order", id);
  call.request.headers = headersWith(key.text);
  call.request.headers.emplace_back("X-Request-Id", id);
  call.request.headers.emplace_back("X-Deadline-Ms", "1500");
  call.request.headers.emplace_back("x-tenant", "intruder");
  call.request.body = "body";
  mChecker.requestSent(id, std::move(sent));
  const auto result = co_await client.call(std::move(call));
  const bool isWhole = !result.error && result.response.body == "echo " + id;
  mChecker.requestAnswered(
    id, result.error ? 0 : result.response.status, isWhole);
}

net::Awaitable<void>
SoakRun::trainRepeatedly(std::string organisation, std::string key)
{
  while (!mIsEnding) {
    const auto id = fmt::format("b{}", ++mBatches);
    mChecker.batchSubmitted(id, organisation);
    const bool isAccepted = co_await submitBatch(id, key);
    if (isAccepted) {
      co_await readBatch(id, key);
    }
  }
}

net::Awaitable<bool>
SoakRun::submitBatch(std::string id, std::string key)
{
  constexpr int kMaxSubmissions = 8;
  for (int i = 0; i < kMaxSubmissions && !mIsEnding; ++i) {
    net::HttpCall call;
    call.endpoint = anyMachine().process->callerEndpoint();
    call.timeout = Millis(5'000);
    call.useNewConnection = true;
    call.request.method = "POST";
    call.request.target = "/batch/" + id;
    call.request.headers = headersWith(key);
    call.request.headers.emplace_back("X-Request-Id", id);
    call.request.body = batchBody(id);
    const auto result = co_await mClient.call(std::move(call));
    const int status = result.error ? 0 : result.response.status;
    // A connection that was refused proves that nothing was received.
    if (!result.error || result.sent) {
      mChecker.batchAnswered(id, status);
    }
    if (status == 202) {
      co_return true;
    }
    co_await net::sleepFor(Millis(100));
  }
  co_return false;
}

net::Awaitable<net::HttpResult>
SoakRun::callBatch(std::string method, std::string target, std::string key)
{
  net::HttpCall call;
  call.endpoint = anyMachine().process->callerEndpoint();
  call.timeout = kCallTimeout;
  call.useNewConnection = true;
  call.request.method = std::move(method);
  call.request.target = std::move(target);
  call.request.headers = headersWith(key);
  co_return co_await mClient.call(std::move(call));
}

net::Awaitable<void>
SoakRun::readBatch(std::string id, std::string key)
{
  const auto deadline = Clock::now() + Millis(15'000);
  const auto otherKey =
    key == "north-permanent" ? "south-permanent" : "north-permanent";
  const auto target = "/api/lots/" + id;
  std::size_t next = 0;
  while (next < kItems && Clock::now() < deadline && !mIsEnding) {
    const auto after = draw() < 0.3 ? 0 : next;
    const auto result =
      co_await callBatch("GET", fmt::format("{}?after={}", target, after), key);
    const int status = result.error ? 0 : result.response.status;
    mChecker.batchRead(id, status, true);
    if (status == 200) {
      const auto page = Json::parse(result.response.body, nullptr, false);
      auto position = after;
      for (const auto& entry : page.value("results", Json::array())) {
        const auto item = entry.value("id", "");
        mChecker.resultRead(id, position++, item, entry.dump());
        if (entry.value("state", "") == "completed" &&
            entry.value("output", "") != SoakServer::textOf(item)) {
          mChecker.addViolation("item " + item + ": its text is not whole");
        }
      }
      next = std::max(next, position);
    }
    const auto foreign = co_await callBatch("GET", target, otherKey);
    mChecker.batchRead(id, foreign.error ? 0 : foreign.response.status, false);
    co_await net::sleepFor(Millis(150));
  }
  const auto ended = co_await callBatch("DELETE", target, key);
  mChecker.batchRead(id, ended.error ? 0 : ended.response.status, true);
}

bool
SoakRun::isExcused(const std::string& instance) const
{
  const auto machine =
    std::ranges::find_if(mMachines, [&](const Machine& candidate) {
      return candidate.process->instance() == instance;
    });
  return machine != mMachines.end() && Clock::now() < machine->excusedUntil;
}

net::Awaitable<void>
SoakRun::checkRecovery()
{
  const auto deadline = Clock::now() + kRecoveryTime;
  const auto served = mChecker.servedRequests();
  constexpr std::size_t kServedAfterRecovery = 20;
  while (mChecker.servedRequests() < served + kServedAfterRecovery) {
    if (Clock::now() > deadline) {
      mChecker.addViolation("requests are not served after the last fault");
      co_return;
    }
    co_await net::sleepFor(kPollInterval);
  }
}

} // namespace lentilrack::soak
