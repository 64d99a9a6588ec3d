#include "gateway/gateway.h"
#include "gateway_fixture.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/null_sink.h>

namespace lentilrack::gateway {

namespace {

using core::Millis;
using core::RouteKind;

/// A whole process in a deployment with two organisations, with one server of
/// each service.
class OrganisationsTest : public GatewayTest
{
protected:
  OrganisationsTest()
  {
    std::vector<core::ServerEntry> entries;
    for (const auto& [server, service] :
         { std::pair(&mDesk, "desk"), std::pair(&mEngine, "engine") }) {
      core::ServerEntry entry;
      entry.id = server->id();
      entry.service = service;
      entry.endpoint = server->endpoint();
      entry.slots = 4;
      entry.startedAt = 1;
      entry.versions["model"] = 1;
      entries.push_back(std::move(entry));
    }
    mContext.registry.apply(entries, core::Clock::now());
    setKeys({ "n1", "n2" });
    EXPECT_TRUE(mGateway.start());
  }

  /// Puts a desired state into force in which "north" has these keys.
  void setKeys(std::vector<std::string> keysOfNorth)
  {
    auto publicRoute = plainRoute(RouteKind::Repeatable, 1);
    publicRoute.pathPrefix = "/public/";
    publicRoute.isPublic = true;
    core::Route batch = plainRoute(RouteKind::Batch, 2);
    batch.pathPrefix = "/batch/";
    batch.targets = { { "engine", 1 } };
    mContext.desired = std::make_shared<const core::DesiredState>(
      ++mVersion,
      std::vector{ plainRoute(RouteKind::Repeatable, 1), publicRoute, batch },
      std::vector{ core::ServiceSpec{ "engine", { "model" } },
                   core::ServiceSpec{ "desk", {} } },
      core::CallerLimits{},
      std::vector<core::Organisation>{ { "north", std::move(keysOfNorth), {} },
                                       { "south", { "s1" }, {} } });
  }

  static ProcessSettings settings()
  {
    ProcessSettings settings;
    settings.instance = "a";
    settings.failureDomain = "north";
    settings.callerAddress = core::Endpoint{ "127.0.0.1", 0 };
    return settings;
  }

  net::Awaitable<net::HttpResponse> send(net::HttpRequest request,
                                         std::string key)
  {
    if (!key.empty()) {
      request.headers.emplace_back("Authorization", "Bearer " + key);
    }
    net::HttpCall call;
    call.endpoint = *mGateway.callerEndpoint();
    call.timeout = Millis(10'000);
    call.request = std::move(request);
    const auto result = co_await mClient.call(std::move(call));
    co_return result.response;
  }

  net::Awaitable<int> sendPlain(std::string key, std::string target)
  {
    auto message = request("r" + std::to_string(++mSent));
    message.target = std::move(target);
    message.headers.emplace_back("x-tenant", "south");
    message.headers.emplace_back("X-Tenant", "admin");
    const auto response = co_await send(std::move(message), std::move(key));
    co_return response.status;
  }

  net::Awaitable<int> callBatch(std::string method,
                                std::string target,
                                std::string key)
  {
    net::HttpRequest message;
    message.method = std::move(method);
    message.target = std::move(target);
    message.headers = { { "Host", kHost } };
    const auto response = co_await send(std::move(message), std::move(key));
    co_return response.status;
  }

  net::Awaitable<void> untilFinished(std::string id, std::string key)
  {
    for (std::size_t listed = 0; listed < 2;) {
      net::HttpRequest message;
      message.target = "/api/lots/" + id;
      message.headers = { { "Host", kHost } };
      const auto response = co_await send(message, key);
      const auto page = nlohmann::json::parse(response.body, nullptr, false);
      listed = page.value("next_token", std::size_t{ 0 });
      co_await net::sleepFor(Millis(5));
    }
  }

  static std::vector<std::string> organisationsIn(
    const net::HttpRequest& message)
  {
    const auto values = net::headerValues(message.headers, "X-Tenant");
    return { values.begin(), values.end() };
  }

  platform::Format mFormat;
  FakeStore mStore{ mTable };
  DecisionLog mLog{ std::make_shared<spdlog::sinks::null_sink_st>() };
  Context mContext{ mIo, settings(), mFormat, mStore, mLog };
  Gateway mGateway{ mContext };
  FakeServer mDesk{ mIo, "s1" };
  FakeServer mEngine{ mIo, "s2" };
  net::HttpClient mClient{ mIo };
  std::int64_t mVersion = 0;
  int mSent = 0;
};

} // namespace

// Guards against passing the key on to a server, and against believing the
// organisation that the caller names.
TEST_F(OrganisationsTest, ServerGetsTheOrganisationAndNotTheKey)
{
  run([&]() -> net::Awaitable<void> {
    EXPECT_EQ(co_await sendPlain("n1", "/plain/1"), 200);
    EXPECT_EQ(co_await sendPlain("s1", "/plain/1"), 200);
    EXPECT_EQ(co_await sendPlain("", "/public/1"), 200);
    const auto& requests = mDesk.requests();
    EXPECT_EQ(requests.size(), 3U);
    if (requests.size() == 3) {
      EXPECT_EQ(organisationsIn(requests[0]),
                std::vector<std::string>{ "north" });
      EXPECT_EQ(organisationsIn(requests[1]),
                std::vector<std::string>{ "south" });
      EXPECT_TRUE(organisationsIn(requests[2]).empty());
    }
    EXPECT_TRUE(std::ranges::all_of(requests, [](const auto& message) {
      return message.header("Authorization").empty();
    }));
  });
}

// Guards against serving a key by the connection on which it was once valid,
// and against rejecting a key that has just been added.
TEST_F(OrganisationsTest, KeysAreCheckedWithEachRequest)
{
  run([&]() -> net::Awaitable<void> {
    EXPECT_EQ(co_await sendPlain("n1", "/plain/1"), 200);
    setKeys({ "n3" });
    EXPECT_EQ(co_await sendPlain("n1", "/plain/1"), 401);
    EXPECT_EQ(co_await sendPlain("n3", "/plain/1"), 200);
    EXPECT_EQ(co_await sendPlain("", "/plain/1"), 401);
    EXPECT_EQ(co_await sendPlain("n1", "/none/1"), 404);
    EXPECT_EQ(mDesk.requests().size(), 2U);
  });
}

// Guards against a process that rejects all keys because it does not know the
// desired state yet.
TEST_F(OrganisationsTest, UnknownDesiredStateIsNoReasonToRejectAKey)
{
  run([&]() -> net::Awaitable<void> {
    mContext.desired = nullptr;
    EXPECT_EQ(co_await sendPlain("n1", "/plain/1"), 503);
    EXPECT_EQ(co_await callBatch("GET", "/api/lots/b1", "n1"), 503);
    EXPECT_EQ(co_await callBatch("DELETE", "/api/lots/b1", "n1"), 503);
  });
}

// Guards against showing, ending or naming a batch to another organisation, and
// against a batch that is lost to its organisation when a key is removed.
TEST_F(OrganisationsTest, BatchBelongsToItsOrganisation)
{
  run([&]() -> net::Awaitable<void> {
    co_await until([&] { return mGateway.isReady(); });
    const auto accepted = co_await send(submission("b1", 2), "n1");
    EXPECT_EQ(accepted.status, 202);
    const auto unknown = co_await send(submission("b2", 2), "none");
    EXPECT_EQ(unknown.status, 401);
    co_await untilFinished("b1", "n2");
    EXPECT_EQ(co_await callBatch("GET", "/api/lots/b1", "s1"), 404);
    EXPECT_EQ(co_await callBatch("GET", "/api/items/b1?id=b1-0", "s1"), 404);
    EXPECT_EQ(co_await callBatch("DELETE", "/api/lots/b1", "s1"), 404);
    EXPECT_EQ(co_await callBatch("GET", "/api/lots/b1", ""), 401);
    // The stored id of the batch must not be usable from outside.
    const auto stored = core::scopedBatchId("north", "b1");
    EXPECT_EQ(co_await callBatch("GET", "/api/lots/" + stored, "s1"), 404);
    setKeys({ "n3" });
    EXPECT_EQ(co_await callBatch("GET", "/api/lots/b1", "n2"), 401);
    EXPECT_EQ(co_await callBatch("GET", "/api/lots/b1", "n3"), 200);
    EXPECT_EQ(co_await callBatch("DELETE", "/api/lots/b1", "n3"), 200);
  });
}

// Guards against mixing two batches whose organisations chose the same id.
TEST_F(OrganisationsTest, EqualIdsOfTwoOrganisationsAreTwoBatches)
{
  run([&]() -> net::Awaitable<void> {
    co_await until([&] { return mGateway.isReady(); });
    const auto first = co_await send(submission("b1", 2), "n1");
    const auto second = co_await send(submission("b1", 2), "s1");
    EXPECT_EQ(first.status, 202);
    EXPECT_EQ(second.status, 202);
    co_await untilFinished("b1", "n1");
    co_await untilFinished("b1", "s1");
    const auto named = [&](const std::string& organisation) {
      return std::ranges::count_if(
        mEngine.requests(), [&](const auto& message) {
          return organisationsIn(message) ==
                 std::vector<std::string>{ organisation };
        });
    };
    EXPECT_EQ(named("north"), 2);
    EXPECT_EQ(named("south"), 2);
  });
}

// Guards against an organisation with many batches that takes each slot as it
// becomes free, while the batch of another organisation waits.
TEST_F(OrganisationsTest, BatchOfASmallOrganisationIsNotPushedOut)
{
  constexpr int kLargeBatches = 8;
  constexpr int kItems = 6;
  mEngine.onRequest([](net::HttpExchange& exchange) -> net::Awaitable<void> {
    const auto request = exchange.request();
    co_await exchange.beginStream(
      200, "text/event-stream", FakeServer::streamHeaders(request, 1));
    co_await net::sleepFor(Millis(20));
    co_await exchange.write(FakeServer::remainingEvents(request, 2));
    co_await exchange.endStream();
  });
  run([&]() -> net::Awaitable<void> {
    co_await until([&] { return mGateway.isReady(); });
    for (int i = 0; i < kLargeBatches; ++i) {
      const auto id = "large-" + std::to_string(i);
      co_await send(submission(id, kItems), "n1");
    }
    co_await send(submission("small", kItems), "s1");
    const auto ranOf = [&](const std::string& organisation) {
      return std::ranges::count_if(
        mEngine.requests(), [&](const auto& message) {
          return organisationsIn(message) ==
                 std::vector<std::string>{ organisation };
        });
    };
    co_await until([&] { return ranOf("south") == kItems; });
    EXPECT_LT(ranOf("north"), kLargeBatches * kItems);
  });
}

} // namespace lentilrack::gateway
