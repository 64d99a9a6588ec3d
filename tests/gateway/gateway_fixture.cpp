#include "gateway_fixture.h"

#include <fmt/format.h>
#include <spdlog/sinks/null_sink.h>

namespace lentilrack::gateway {

namespace {

ProcessSettings
settingsOf(const std::string& instance)
{
  ProcessSettings settings;
  settings.instance = instance;
  settings.failureDomain = "north";
  settings.bounds.leaderHandoverDelay = core::Millis(50);
  settings.bounds.usageWindow = core::Millis(400);
  settings.bounds.usageReportTime = core::Millis(8'000);
  return settings;
}

} // namespace

TestNode::TestNode(net::asio::io_context& io,
                   const std::string& instance,
                   std::shared_ptr<FakeStoreTable> table)
  : store(std::move(table))
  , log(std::make_shared<spdlog::sinks::null_sink_st>())
  , context(io, settingsOf(instance), format, store, log)
  , cluster(context)
  , peers(context, cluster)
  , permits(context, cluster, peers)
  , rates(context, cluster)
  , stateApplier(context)
  , replicator(context, cluster, peers)
  , forwarder(context)
  , batches(context, cluster, forwarder, peers)
  , leadership(context, cluster)
  , leader(context, cluster, leadership, stateApplier, peers)
  , usage(context, cluster, peers, leadership)
{
  cluster.onChange([this] { batches.onClusterChange(); });
}

void
TestNode::addServer(const FakeServer& server,
                    const std::string& service,
                    int slots)
{
  core::ServerEntry entry;
  entry.id = server.id();
  entry.service = service;
  entry.endpoint = server.endpoint();
  entry.failureDomain = "north";
  entry.slots = slots;
  entry.startedAt = 1;
  entry.versions["model"] = 1;
  mEntries.push_back(std::move(entry));
  context.registry.apply(mEntries, core::Clock::now());
}

core::Route
GatewayTest::plainRoute(core::RouteKind kind, int attempts)
{
  core::Route route;
  route.name = "plain";
  route.host = kHost;
  route.pathPrefix = "/plain/";
  route.kind = kind;
  route.maxAttempts = attempts;
  route.timeout = core::Millis(2'000);
  route.targets = { { "desk", 1 } };
  return route;
}

std::shared_ptr<const core::DesiredState>
GatewayTest::desiredState()
{
  core::Route batch;
  batch.name = "batch";
  batch.host = kHost;
  batch.pathPrefix = "/batch/";
  batch.kind = core::RouteKind::Batch;
  batch.maxAttempts = 2;
  batch.targets = { { "engine", 1 } };
  return std::make_shared<const core::DesiredState>(
    1,
    std::vector{ plainRoute(core::RouteKind::Repeatable, 2), batch },
    std::vector{ core::ServiceSpec{ "engine", { "model" }, 0, {} },
                 core::ServiceSpec{ "desk", {}, 0, {} } },
    core::CallerLimits{});
}

net::HttpRequest
GatewayTest::request(const std::string& id)
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/plain/1";
  request.headers = { { "Host", kHost }, { "X-Request-Id", id } };
  request.body = "body";
  return request;
}

net::HttpRequest
GatewayTest::submission(const std::string& id, int items)
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/batch/" + id;
  request.headers = { { "Host", kHost }, { "X-Request-Id", id } };
  std::string list;
  for (int i = 0; i < items; ++i) {
    list += fmt::format(
      R"({}{{"id":"{}-{}","path":"/batch/x/{}","body":"YQ==","group":"g{}"}})",
      i == 0 ? "" : ",",
      id,
      i,
      i,
      i / 2);
  }
  request.body = fmt::format(
    R"({{"step":1,"model":"model","min_version":1,"desired":1,"items":[{}]}})",
    list);
  return request;
}

net::Awaitable<void>
GatewayTest::joinElection(TestNode& node)
{
  node.replicator.start();
  node.cluster.start();
  node.leadership.start();
  node.leader.start();
  co_await until([&] { return node.cluster.isRegistered(); });
}

FakeServer::Handler
GatewayTest::respondWith(int status, net::Headers extra)
{
  return [status, extra](net::HttpExchange& exchange) -> net::Awaitable<void> {
    auto answer = FakeServer::makeResponse(exchange.request(), status);
    answer.headers.insert(answer.headers.end(), extra.begin(), extra.end());
    co_await exchange.respond(std::move(answer));
  };
}

FakeServer::Handler
GatewayTest::dropConnection()
{
  return [](net::HttpExchange& exchange) -> net::Awaitable<void> {
    exchange.abort();
    co_return;
  };
}

std::unique_ptr<TestNode>
GatewayTest::makeNode(const std::string& instance)
{
  auto node = std::make_unique<TestNode>(mIo, instance, mTable);
  node->context.desired = desiredState();
  return node;
}

} // namespace lentilrack::gateway
