#include "backends/backend_fixture.h"
#include "backends/error.h"
#include "backends/instance_list_client.h"
#include "backends/scorer_client.h"
#include "backends/service_client.h"
#include "backends/weight_store_client.h"
#include "standins/fleet.h"
#include "support/repeating_server.h"

namespace lentilrack::backends {

namespace {

using core::Millis;
using core::Verdict;
using net::Awaitable;

class ServiceClientsTest : public BackendTest
{
protected:
  static standins::FleetConfig config()
  {
    standins::FleetConfig config;
    config.networkDelay = standins::Microseconds(0);
    config.instanceList.lag = Millis(0);
    config.weights.models = { { "tasting-note", 3 } };
    config.weights.readsPerSecond = 1;
    config.services = { { "stock", 2, { "", "stock", Millis(0) } } };
    config.engines.resize(1);
    config.engines[0].name = "tasting-note";
    config.engines[0].options.model = "tasting-note";
    return config;
  }

  ServiceCall call(std::string id, std::string body)
  {
    ServiceCall call;
    call.content.path = "lookup?item=7";
    call.content.body = std::move(body);
    call.requestId = std::move(id);
    call.onChunk = [this](core::Chunk chunk) { mBody += chunk.text; };
    return call;
  }

  standins::ServiceStandin& stock() { return *mFleet.services().at(0); }
  core::Endpoint store() { return mFleet.weights().server().endpoint(); }

  standins::Fleet mFleet{ mIo, config() };
  ServiceClient mServices{ mHttp };
  WeightStoreClient mWeights{ mHttp };
  ScorerClient mScorers{ mHttp };
  std::string mBody;
};

} // namespace

// Guards against a client that changes the content or the identifier of a call
// when it sends the call.
TEST_F(ServiceClientsTest, CallArrivesUnchanged)
{
  run([&]() -> Awaitable<void> {
    const auto outcome = co_await mServices.call(stock().server().endpoint(),
                                                 call("id-1", "{\"a\":1}"));
    EXPECT_EQ(outcome.verdict, Verdict::Done);
    EXPECT_EQ(outcome.httpStatus, 200);
    EXPECT_EQ(outcome.contentType, "application/json");
    EXPECT_EQ(wire::Json::parse(mBody).at("service"), "stock");
    const auto& seen = stock().calls().at(0);
    EXPECT_EQ(seen.requestId, "id-1");
    EXPECT_EQ(seen.method, "POST");
    EXPECT_EQ(seen.path, "lookup?item=7");
    EXPECT_EQ(seen.body, "{\"a\":1}");
  });
}

// Guards against reporting a missing response when the service responded with
// an error status.
TEST_F(ServiceClientsTest, AnyCompleteResponseIsDone)
{
  run([&]() -> Awaitable<void> {
    const auto outcome = co_await mServices.call(
      stock().server().endpoint(), call("id-1", R"({"status":500})"));
    EXPECT_EQ(outcome.verdict, Verdict::Done);
    EXPECT_EQ(outcome.httpStatus, 500);
  });
}

// Guards against reporting a call as not run, or sending it again, when only
// its response was lost.
TEST_F(ServiceClientsTest, LostReplyIsUnknownAndRanOnce)
{
  run([&]() -> Awaitable<void> {
    co_await control(stock().server(), R"({"lose_replies":1})");
    const auto outcome =
      co_await mServices.call(stock().server().endpoint(), call("id-1", "{}"));
    EXPECT_EQ(outcome.verdict, Verdict::Unknown);
    EXPECT_EQ(outcome.reason, "interrupted");
    EXPECT_EQ(stock().calls().size(), 1U);
  });
}

TEST_F(ServiceClientsTest, SlowCallIsUnknown)
{
  run([&]() -> Awaitable<void> {
    auto slow = call("id-1", R"({"delay_ms":60000})");
    slow.timeout = Millis(100);
    const auto outcome =
      co_await mServices.call(stock().server().endpoint(), std::move(slow));
    EXPECT_EQ(outcome.verdict, Verdict::Unknown);
    EXPECT_EQ(outcome.reason, "timeout");
    EXPECT_EQ(stock().calls().size(), 1U);
  });
}

// Guards against reporting Unknown when no byte of the call was written.
TEST_F(ServiceClientsTest, NothingWrittenIsNotRun)
{
  const auto closed = closedEndpoint();
  run([&]() -> Awaitable<void> {
    const auto refused = co_await mServices.call(closed, call("id-1", ""));
    EXPECT_EQ(refused.verdict, Verdict::NotRun);
    EXPECT_EQ(refused.reason, "connection_refused");
    auto late = call("id-2", "");
    late.beforeFirstByte = [] { return false; };
    const auto expired =
      co_await mServices.call(stock().server().endpoint(), std::move(late));
    EXPECT_EQ(expired.verdict, Verdict::NotRun);
    EXPECT_EQ(expired.reason, "deadline");
    EXPECT_TRUE(stock().calls().empty());
  });
}

// Guards against callers that inject headers or a second request.
TEST_F(ServiceClientsTest, CallWithAnInvalidRequestHeadIsNotSent)
{
  auto path = call("id-1", "");
  path.content.path = "x HTTP/1.1\r\nA: b";
  auto method = call("id-2", "");
  method.content.method = "GET /call/other";
  const auto identifier = call("id-3\r\nA: b", "");
  run([&]() -> Awaitable<void> {
    for (const auto& bad : { path, method, identifier }) {
      const auto outcome =
        co_await mServices.call(stock().server().endpoint(), bad);
      EXPECT_EQ(outcome.verdict, Verdict::NotRun);
      EXPECT_EQ(outcome.reason, "bad_request");
    }
    EXPECT_TRUE(stock().calls().empty());
  });
}

// Guards against a simulated instance that stays unreachable after a time of
// refusing connections, and against a client that reuses a connection from
// before that time.
TEST_F(ServiceClientsTest, ClosedPortOpensAgain)
{
  run([&]() -> Awaitable<void> {
    const auto scorer = mFleet.scorers().at(0)->server().endpoint();
    const std::vector<ScoreItem> items = { { "p", "t" } };
    const auto before = co_await mScorers.score(scorer, items, Millis(5000));
    EXPECT_TRUE(before);
    co_await control(mFleet.scorers().at(0)->server(),
                     R"({"refuse_connections_ms":50})");
    bool isRefused = false;
    bool isBack = false;
    while (!isBack) {
      const auto result = co_await mScorers.score(scorer, items, Millis(5000));
      isRefused = isRefused || !result;
      isBack = isRefused && result;
      co_await net::sleepFor(Millis(1));
    }
  });
}

// Guards against assigning scores to the wrong samples, and against accepting a
// response with too few scores.
TEST_F(ServiceClientsTest, OneScoreForEachSample)
{
  FixedServer partial(mIo, fixedResponse(200, R"({"scores":[0.5]})"));
  run([&]() -> Awaitable<void> {
    const std::vector<ScoreItem> items = { { "p", "one" }, { "p", "two" } };
    const auto scorer = mFleet.scorers().at(0)->server().endpoint();
    const auto scores = co_await mScorers.score(scorer, items, Millis(5000));
    const std::vector<double> expected = {
      standins::ScorerStandin::scoreOf("p", "one"),
      standins::ScorerStandin::scoreOf("p", "two")
    };
    EXPECT_EQ(scores.value(), expected);
    const auto few =
      co_await mScorers.score(partial.endpoint(), items, Millis(5000));
    EXPECT_EQ(errorOf(few), BackendError::BadResponse);
    co_await control(mFleet.scorers().at(0)->server(), R"({"down":true})");
    const auto none = co_await mScorers.score(scorer, items, Millis(5000));
    EXPECT_EQ(errorOf(none), BackendError::Unavailable);
  });
}

// Guards against a poll that waits to its end although a new version is
// announced.
TEST_F(ServiceClientsTest, NewVersionEndsTheWaitingPoll)
{
  run([&]() -> Awaitable<void> {
    const auto known = co_await mWeights.waitForNewerVersion(
      store(), "tasting-note", 2, Millis(0));
    EXPECT_EQ(known.value()->version, 3);
    EXPECT_EQ(known.value()->chunks, 4);
    const auto nothing = co_await mWeights.waitForNewerVersion(
      store(), "tasting-note", 3, Millis(1));
    EXPECT_FALSE(nothing.value());
    const auto announcer = [&]() -> Awaitable<void> {
      net::HttpCall announce;
      announce.endpoint = store();
      announce.request.method = "POST";
      announce.request.target = "/weights/announce";
      announce.request.body = R"({"model":"tasting-note","version":4})";
      co_await mHttp.call(std::move(announce));
    };
    net::spawn(mIo, announcer());
    const auto next = co_await mWeights.waitForNewerVersion(
      store(), "tasting-note", 3, Millis(60'000));
    EXPECT_EQ(next.value()->version, 4);
  });
}

// Guards against accepting a damaged chunk, and against reporting a damaged
// chunk when the store refused the read because of its rate limit.
TEST_F(ServiceClientsTest, ChunksAreVerifiedAndRateLimited)
{
  auto damaged = fixedResponse(200, "weights");
  damaged.headers.emplace_back("X-Checksum", chunkChecksum("other"));
  FixedServer broken(mIo, damaged);
  FixedServer unchecked(mIo, fixedResponse(200, "weights"));
  run([&]() -> Awaitable<void> {
    const auto absent =
      co_await mWeights.readChunk(store(), "tasting-note", 9, 0);
    EXPECT_EQ(errorOf(absent), BackendError::NotFound);
    const auto chunk =
      co_await mWeights.readChunk(store(), "tasting-note", 3, 0);
    EXPECT_EQ(chunk.value().size(), 65536U);
    const auto limited =
      co_await mWeights.readChunk(store(), "tasting-note", 3, 1);
    EXPECT_EQ(errorOf(limited), BackendError::RateLimited);
    const auto bad =
      co_await mWeights.readChunk(broken.endpoint(), "tasting-note", 3, 0);
    EXPECT_EQ(errorOf(bad), BackendError::BadResponse);
    const auto without =
      co_await mWeights.readChunk(unchecked.endpoint(), "tasting-note", 3, 0);
    EXPECT_EQ(errorOf(without), BackendError::BadResponse);
  });
}

// Guards against a list that does not show that an instance is leaving or lost.
TEST_F(ServiceClientsTest, ListShowsLeavingAndLostInstances)
{
  InstanceListClient list(mHttp, mFleet.instanceList().server().endpoint());
  run([&]() -> Awaitable<void> {
    const auto first = co_await list.fetch();
    EXPECT_EQ(first.value().size(), 4U);
    const auto& engine = first.value().at(0);
    EXPECT_EQ(engine.id, "tasting-note-1");
    EXPECT_EQ(engine.role, core::ServerRole::Engine);
    EXPECT_EQ(engine.models, std::vector<std::string>{ "tasting-note" });
    EXPECT_EQ(engine.failureDomain, "etna");
    EXPECT_EQ(engine.slots, 8);
    EXPECT_FALSE(engine.leaving);
    co_await control(mFleet.engines().at(0)->server(), R"({"leaving":true})");
    co_await control(stock().server(), R"({"down":true})");
    const auto second = co_await list.fetch();
    EXPECT_EQ(second.value().size(), 3U);
    EXPECT_TRUE(second.value().at(0).leaving);
  });
}

// Guards against treating an instance with an unknown state as live.
TEST_F(ServiceClientsTest, MalformedListIsBadResponse)
{
  FixedServer server(
    mIo,
    fixedResponse(200,
                  R"({"instances":[{"id":"a","role":"engine",)"
                  R"("endpoint":"127.0.0.1:1","failure_domain":"etna",)"
                  R"("state":"asleep"}]})"));
  InstanceListClient list(mHttp, server.endpoint());
  run([&]() -> Awaitable<void> {
    const auto result = co_await list.fetch();
    EXPECT_EQ(errorOf(result), BackendError::BadResponse);
  });
}

// Guards against scores of one batch for the answers of another: a scorer that
// sent a second copy of its response, late, caused that.
TEST_F(ServiceClientsTest, LateCopyOfScoresIsNotTakenForTheNext)
{
  testing::RepeatingServer scorer(mIo, [](int request) {
    return testing::RepeatingServer::Response{
      "", "{\"scores\":[" + std::to_string(request) + "]}"
    };
  });
  run([&]() -> Awaitable<void> {
    for (int i = 1; i <= 3; ++i) {
      std::vector<ScoreItem> items{ { "prompt", "text" } };
      const auto scores = co_await mScorers.score(
        scorer.endpoint(), std::move(items), Millis(1'000));
      EXPECT_TRUE(scores);
      EXPECT_EQ(scores.value().at(0), i);
    }
  });
}

} // namespace lentilrack::backends
