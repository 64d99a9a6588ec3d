#include "gateway_fixture.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lentilrack::gateway {

namespace {

using core::Millis;
using core::RouteKind;
using Json = nlohmann::json;

/// A process that counts requests, and a provider that takes usage reports.
class UsageReporterTest : public GatewayTest
{
protected:
  struct Report
  {
    std::int64_t window = 0;
    std::int64_t fencingToken = 0;
    core::UsageCounts counts;
  };

  UsageReporterTest()
  {
    mProvider.onRequest(
      [this](net::HttpExchange& exchange) { return receiveReport(exchange); });
  }

  std::unique_ptr<TestNode> makeReporter(const std::string& instance)
  {
    auto node = makeNode(instance);
    const auto& plain = *node->context.desired;
    node->context.desired = std::make_shared<const core::DesiredState>(
      2,
      std::vector{ plainRoute(RouteKind::Repeatable, 2) },
      plain.services(),
      plain.limits(),
      std::vector{ core::Organisation{ "org", { "key" }, std::nullopt } });
    ProviderSettings provider;
    provider.endpoint = mProvider.endpoint();
    provider.wantsUsageReports = true;
    node->context.settings.provider = provider;
    return node;
  }

  static net::Awaitable<void> join(TestNode& node)
  {
    node.usage.start();
    co_await joinElection(node);
  }

  /// Serves the messages of other processes for the node.
  std::unique_ptr<net::HttpServer> servePeers(TestNode& node)
  {
    auto server = std::make_unique<net::HttpServer>(
      mIo,
      net::HttpLimits(),
      [&node](net::HttpExchange& exchange) -> net::Awaitable<void> {
        net::HttpResponse response;
        response.status = 404;
        if (exchange.request().path() == peer_paths::kUsage) {
          response = node.usage.applyCounts(exchange.request());
        }
        co_await exchange.respond(std::move(response));
      });
    node.context.settings.peerAddress =
      server->listen({ "127.0.0.1", 0 }).value();
    return server;
  }

  /// Returns a request as the gateway forwards it for the organisation.
  static net::HttpRequest identifiedRequest()
  {
    auto identified = request("r1");
    identified.headers.emplace_back("X-Tenant", "org");
    return identified;
  }

  /// Forwards a request to servers that answer as the handlers do, and returns
  /// how often it was counted.
  int countRuns(RouteKind kind,
                FakeServer::Handler first,
                FakeServer::Handler second)
  {
    auto node = makeReporter("a");
    int runs = 0;
    node->context.onRequestRun = [&](const auto& organisation, auto) {
      runs += organisation == "org" ? 1 : 0;
    };
    FakeServer one(mIo, "s1");
    FakeServer two(mIo, "s2");
    one.onRequest(std::move(first));
    two.onRequest(std::move(second));
    node->addServer(one, "desk", 8);
    node->addServer(two, "desk", 1);
    TestExchange exchange(identifiedRequest());
    auto route = plainRoute(kind, 2);
    route.resumable = true;
    run([&]() {
      return kind == RouteKind::Stream
               ? node->forwarder.stream(exchange, route)
               : node->forwarder.forward(exchange, route);
    });
    return runs;
  }

  /// Returns the counts of all different windows that were reported.
  std::int64_t reportedRequests() const
  {
    std::map<std::int64_t, std::int64_t> windows;
    for (const auto& report : mReports) {
      const auto found = report.counts.find("org");
      windows[report.window] = found == report.counts.end() ? 0 : found->second;
    }
    std::int64_t sum = 0;
    for (const auto& [window, count] : windows) {
      sum += count;
    }
    return sum;
  }

  FakeServer mProvider{ mIo, "provider" };
  std::vector<Report> mReports;
  /// Number of reports that the provider receives but does not answer.
  int mUnanswered = 0;
  /// Number of reports that the provider then refuses with status 429.
  int mRefused = 0;

private:
  net::Awaitable<void> receiveReport(net::HttpExchange& exchange)
  {
    const auto& request = exchange.request();
    const auto json = Json::parse(request.body);
    // A report is stored before it is sent.
    const auto stored =
      decodeStoredUsage(mTable->entries.at(kUsageReportsKey).value);
    const auto window = json.at("window").get<std::int64_t>();
    const auto counts = json.at("counts").get<core::UsageCounts>();
    EXPECT_EQ(stored->reports.at(window), counts);
    mReports.push_back(
      { window, std::stoll(request.header("X-Fencing-Token")), counts });
    net::HttpResponse response;
    if (mUnanswered > 0) {
      --mUnanswered;
      exchange.abort();
      co_return;
    }
    if (mRefused > 0) {
      --mRefused;
      response.status = 429;
    }
    co_await exchange.respond(std::move(response));
  }
};

} // namespace

// Guards against requests that are counted twice or not at all when an attempt
// fails.
TEST_F(UsageReporterTest, RequestThatRanCountsOnce)
{
  const auto kind = RouteKind::Repeatable;
  EXPECT_EQ(countRuns(kind, respondWith(200), respondWith(200)), 1);
  EXPECT_EQ(countRuns(kind, respondWith(500), respondWith(200)), 1);
  EXPECT_EQ(countRuns(kind, dropConnection(), respondWith(200)), 1);
  EXPECT_EQ(countRuns(kind, dropConnection(), dropConnection()), 1);
  EXPECT_EQ(countRuns(RouteKind::Single, dropConnection(), respondWith(200)),
            1);
}

// Guards against counting requests that their servers have refused.
TEST_F(UsageReporterTest, RefusedRequestDoesNotCount)
{
  const auto refuse = respondWith(503, { { "X-Not-Executed", "1" } });
  const auto kind = RouteKind::Repeatable;
  EXPECT_EQ(countRuns(kind, refuse, respondWith(200)), 1);
  EXPECT_EQ(countRuns(kind, refuse, refuse), 0);
  EXPECT_EQ(countRuns(kind, respondWith(421), respondWith(421)), 0);
}

// Guards against streams that count once for each server.
TEST_F(UsageReporterTest, StreamCountsOnce)
{
  const auto stream = [](net::HttpExchange& exchange) -> net::Awaitable<void> {
    co_await exchange.beginStream(
      200,
      "text/event-stream",
      FakeServer::streamHeaders(exchange.request(), 1));
    co_await exchange.write(FakeServer::remainingEvents(exchange.request(), 2));
    exchange.abort();
  };
  const auto refuse = respondWith(503, { { "X-Not-Executed", "1" } });
  EXPECT_EQ(countRuns(RouteKind::Stream, stream, stream), 1);
  EXPECT_EQ(countRuns(RouteKind::Stream, dropConnection(), stream), 1);
  EXPECT_EQ(countRuns(RouteKind::Stream, refuse, refuse), 0);
}

// Guards against reports that are lost or changed when the provider does not
// answer or refuses them, and against counts of other processes that get lost.
TEST_F(UsageReporterTest, FailedReportIsRepeatedUnchanged)
{
  auto node = makeReporter("a");
  mUnanswered = 1;
  mRefused = 1;
  run([&]() -> net::Awaitable<void> {
    co_await join(*node);
    node->context.recordRun("org", core::Clock::now());
    const auto window = unixNow() / node->context.settings.bounds.usageWindow;
    net::HttpRequest peerCounts;
    peerCounts.body =
      encodeUsageUpdates({ { "b/1", window, { { "org", 4 } } } });
    EXPECT_EQ(node->usage.applyCounts(peerCounts).status, 200);
    co_await until(
      [&] { return mReports.size() >= 4 && reportedRequests() >= 5; });
  });
  EXPECT_EQ(reportedRequests(), 5);
  for (const auto index : { 1U, 2U }) {
    EXPECT_EQ(mReports[0].window, mReports[index].window);
    EXPECT_EQ(mReports[0].counts, mReports[index].counts);
  }
  EXPECT_EQ(mReports[0].window + 1, mReports[3].window);
}

// Guards against a new holder that reports a window with other counts than the
// holder before it may have sent.
TEST_F(UsageReporterTest, NewHolderRepeatsTheStoredReport)
{
  auto node = makeReporter("a");
  const auto window = unixNow() / node->context.settings.bounds.usageWindow;
  const core::StoredUsage stored{ window, { { window, { { "org", 77 } } } } };
  mTable->put(kUsageReportsKey, encodeStoredUsage(stored));
  run([&]() -> net::Awaitable<void> {
    co_await join(*node);
    node->context.recordRun("org", core::Clock::now());
    co_await until([&] { return mReports.size() >= 2; });
  });
  EXPECT_EQ(mReports[0].window, window);
  EXPECT_EQ(mReports[0].counts, stored.reports.at(window));
  EXPECT_EQ(mReports[1].window, window + 1);
}

// Guards against reports of a process that has lost the leader key, or whose
// record another process has replaced.
TEST_F(UsageReporterTest, FormerHolderSendsNothing)
{
  auto node = makeReporter("a");
  run([&]() -> net::Awaitable<void> {
    co_await join(*node);
    co_await until([&] { return !mReports.empty(); });
    node->store.isWatchSilent = true;
    const auto token = node->leadership.fencingToken();
    mTable->revokeAll();
    mTable->put(keys::leader(), Holder{ "b", "life", 0 }.encode());
    // What is in progress ends.
    co_await net::sleepFor(Millis(200));
    const auto revision = mTable->entries.at(kUsageReportsKey).revision;
    co_await until([&] { return node->leadership.fencingToken() != token; });
    co_await net::sleepFor(Millis(600));
    EXPECT_FALSE(node->leadership.isHeld());
    EXPECT_EQ(mTable->entries.at(kUsageReportsKey).revision, revision);
  });
}

// Guards against counts that are lost with the process that held the duty, and
// against counts of other processes that do not reach the holder.
TEST_F(UsageReporterTest, CountsSurviveTheLossOfTheHolder)
{
  auto first = makeReporter("a");
  auto second = makeReporter("b");
  const auto firstServer = servePeers(*first);
  const auto secondServer = servePeers(*second);
  mUnanswered = 1'000;
  run([&]() -> net::Awaitable<void> {
    co_await join(*first);
    co_await until([&] { return first->leadership.isHeld(); });
    co_await join(*second);
    co_await until([&] { return first->cluster.peers().size() == 2; });
    const auto now = core::Clock::now();
    for (int i = 0; i < 3; ++i) {
      first->context.recordRun("org", now);
    }
    second->context.recordRun("org", now);
    const auto sent = [](const TestNode& node) {
      return node.context.metrics.counter("usage_messages_total") > 0;
    };
    co_await until([&] { return sent(*first) && sent(*second); });
    co_await net::sleepFor(Millis(300));
    first->store.isUnreachable = true;
    mTable->revokeAll();
    co_await until([&] { return second->leadership.isHeld(); });
    mUnanswered = 0;
    co_await until([&] { return reportedRequests() >= 4; });
  });
  EXPECT_EQ(reportedRequests(), 4);
  const auto isSameReport = [](const auto& one, const auto& other) {
    return one.window != other.window || one.counts == other.counts;
  };
  for (const auto& report : mReports) {
    EXPECT_TRUE(std::ranges::all_of(mReports, [&](const auto& other) {
      return isSameReport(report, other);
    }));
  }
}

// Guards against malformed messages that end the process.
TEST_F(UsageReporterTest, MalformedCountsAreRejected)
{
  auto node = makeReporter("a");
  net::HttpRequest message;
  for (const auto* body : { "", "{}", "[{}]", R"([{"source":1}])" }) {
    message.body = body;
    EXPECT_EQ(node->usage.applyCounts(message).status, 400) << body;
  }
}

} // namespace lentilrack::gateway
