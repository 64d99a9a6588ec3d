#include "gateway_fixture.h"
#include "net/error.h"
#include "platform/store_client.h"
#include "support/raw_server.h"

#include <ostream>

namespace lentilrack::gateway {

namespace {

using core::Millis;
using core::RouteKind;

struct BrokenAnswer
{
  std::string name;
  std::string bytes;

  friend std::ostream& operator<<(std::ostream& out, const BrokenAnswer& answer)
  {
    return out << answer.name;
  }
};

/// Returns the bytes of a response that a reader would take for a success.
std::string
answerWith(const std::string& statusLine, const std::string& headers = "")
{
  return statusLine + "\r\nX-Server-Stamp: stamp\r\nX-Weight-Versions: 1\r\n" +
         headers + "Content-Length: 4\r\n\r\ndone";
}

constexpr const char* kOk = "HTTP/1.1 200 OK";

int
countOf(std::string_view text, std::string_view part)
{
  int count = 0;
  for (auto at = text.find(part); at != text.npos; at = text.find(part, at)) {
    at += part.size();
    ++count;
  }
  return count;
}

std::vector<BrokenAnswer>
brokenAnswers()
{
  return {
    { "Status000", answerWith("HTTP/1.1 000 OK") },
    { "Status099", answerWith("HTTP/1.1 099 OK") },
    { "Status600", answerWith("HTTP/1.1 600 OK") },
    { "Status999", answerWith("HTTP/1.1 999 OK") },
    { "SwitchingProtocols", answerWith("HTTP/1.1 101 Switching") },
    { "UnknownTransferCoding", answerWith(kOk, "Transfer-Encoding: gzip\r\n") },
    { "TwoLengths", answerWith(kOk, "Content-Length: 5\r\n") },
    { "BlankInFieldName", answerWith(kOk, "Bad Name: value\r\n") },
    { "BlankBeforeColon", answerWith(kOk, "Name : value\r\n") },
    { "FieldNameAfterABlank", answerWith(kOk, " Name: value\r\n") },
    { "FieldNameAfterATab", answerWith(kOk, "\tName: value\r\n") },
    { "ControlByteInFieldName", answerWith(kOk, "Na\x01me: value\r\n") }
  };
}

/// Each reader of responses with a server that sends bytes that are none.
class BrokenAnswersTest
  : public GatewayTest
  , public ::testing::WithParamInterface<BrokenAnswer>
{
protected:
  BrokenAnswersTest()
  {
    core::ServerEntry entry;
    entry.id = "broken";
    entry.service = "desk";
    entry.endpoint = mBroken.endpoint();
    // The server with the most free slots is chosen first.
    entry.slots = 8;
    entry.startedAt = 1;
    mEntries.push_back(entry);
    entry.service = "engine";
    entry.id = "broken-engine";
    entry.versions["model"] = 1;
    mEntries.push_back(std::move(entry));
    applyEntries();
  }

  void addSoundServer(const std::string& service)
  {
    auto entry = mEntries.front();
    entry.id = "sound";
    entry.service = service;
    entry.endpoint = mSound.endpoint();
    entry.slots = 2;
    entry.versions["model"] = 1;
    mEntries.push_back(std::move(entry));
    applyEntries();
  }

  /// Waits until the connections that got the bytes are closed.
  net::Awaitable<void> untilClosed()
  {
    co_await until([&] { return mBroken.openConnections() == 0; });
  }

  testing::RawServer mBroken{ mIo, GetParam().bytes };
  FakeServer mSound{ mIo, "sound" };
  std::unique_ptr<TestNode> mNode = makeNode("a");

private:
  void applyEntries()
  {
    mNode->context.registry.apply(mEntries, core::Clock::now());
  }

  std::vector<core::ServerEntry> mEntries;
};

} // namespace

// Guards against passing on bytes that are no response, against sending a
// request again that the server may have executed, and against using the
// connection again.
TEST_P(BrokenAnswersTest, OrderHasAnUnknownOutcomeAndIsSentOnce)
{
  mSound.onRequest(respondWith(200));
  addSoundServer("desk");
  run([&]() -> net::Awaitable<void> {
    TestExchange exchange(request("r1"));
    const auto route = plainRoute(RouteKind::Single, 3);
    co_await mNode->forwarder.forward(exchange, route);
    EXPECT_EQ(exchange.response.status, 502);
    co_await untilClosed();
  });
  EXPECT_EQ(mBroken.requests(), 1);
  EXPECT_TRUE(mSound.requests().empty());
}

// Guards against failing a request that another server can answer.
TEST_P(BrokenAnswersTest, RepeatableRequestIsSentToAnotherServer)
{
  mSound.onRequest(respondWith(200));
  addSoundServer("desk");
  run([&]() -> net::Awaitable<void> {
    TestExchange exchange(request("r1"));
    const auto route = plainRoute(RouteKind::Repeatable, 2);
    co_await mNode->forwarder.forward(exchange, route);
    EXPECT_EQ(exchange.response.status, 200);
    EXPECT_EQ(exchange.response.body, "done");
    co_await untilClosed();
  });
}

TEST_P(BrokenAnswersTest, StreamHasAnUnknownOutcomeAndIsSentOnce)
{
  addSoundServer("desk");
  run([&]() -> net::Awaitable<void> {
    TestExchange exchange(request("r1"));
    const auto route = plainRoute(RouteKind::Stream, 3);
    co_await mNode->forwarder.stream(exchange, route);
    EXPECT_EQ(exchange.response.status, 502);
    co_await untilClosed();
  });
  EXPECT_EQ(mBroken.requests(), 1);
  EXPECT_TRUE(mSound.requests().empty());
}

TEST_P(BrokenAnswersTest, ItemIsRunAgainElsewhere)
{
  addSoundServer("engine");
  run([&]() -> net::Awaitable<void> {
    mNode->replicator.start();
    mNode->cluster.start();
    mNode->batches.start();
    co_await until([&] {
      return mNode->cluster.isSynced() && mNode->cluster.isRegistered();
    });
    TestExchange submitted(submission("b1", 4));
    const auto desired = mNode->context.desired;
    co_await mNode->batches.submit(submitted,
                                   *desired->findRoute(kHost, "/batch/b1"));
    // The batch asks for one group, which has two items.
    ReadBatch read;
    read.id = "b1";
    read.wait = Millis(50);
    std::string page;
    while (page.find(R"("next_token":2)") == std::string::npos) {
      TestExchange reading{ net::HttpRequest() };
      co_await mNode->batches.reader().read(reading, read);
      page = reading.response.body;
    }
    EXPECT_EQ(countOf(page, R"("state":"completed")"), 2) << page;
    EXPECT_EQ(countOf(page, R"(piece 1\npiece 2\npiece 3")"), 2) << page;
    co_await untilClosed();
  });
}

TEST_P(BrokenAnswersTest, RewardCallIsNotAnswered)
{
  run([&]() -> net::Awaitable<void> {
    ServiceCall call;
    call.id = "r1";
    call.service = "desk";
    call.request = request("r1");
    call.isRepeatable = true;
    call.kind = ServerRequestKind::Reward;
    call.isDeferrable = true;
    call.deadline = core::Clock::now() + Millis(5'000);
    const auto outcome = co_await mNode->forwarder.call(std::move(call));
    EXPECT_EQ(outcome.conclusion, CallConclusion::Unknown);
    co_await untilClosed();
  });
}

TEST_P(BrokenAnswersTest, OrderForWeightsAndReportFail)
{
  run([&]() -> net::Awaitable<void> {
    for (const auto kind :
         { ServerRequestKind::WeightOrder, ServerRequestKind::Report }) {
      core::ServerEntry server;
      server.id = "broken-engine";
      server.startedAt = 1;
      net::HttpCall call;
      call.endpoint = mBroken.endpoint();
      const auto result =
        co_await mNode->context.servers.call(server, std::move(call), kind);
      EXPECT_EQ(result.error, net::NetError::BadMessage);
      EXPECT_TRUE(result.sent);
      co_await untilClosed();
    }
  });
}

TEST_P(BrokenAnswersTest, CallToAPeerFails)
{
  run([&]() -> net::Awaitable<void> {
    const auto answer = co_await mNode->peers.sendRequest(
      mBroken.endpoint(), net::HttpRequest(), Millis(5'000));
    EXPECT_FALSE(answer);
    co_await untilClosed();
  });
}

// Guards against a write to the store that is taken for done, or for not done.
TEST_P(BrokenAnswersTest, WriteToTheStoreHasAnUnknownOutcome)
{
  backends::KvClientOptions options;
  options.endpoints = { mBroken.endpoint() };
  options.callsPerSecond = 1'000;
  platform::StoreClient store(mIo, options);
  run([&]() -> net::Awaitable<void> {
    StoreTransaction transaction;
    transaction.writes = { { "key", "value", 0 } };
    const auto commit = co_await store.commit(std::move(transaction));
    EXPECT_EQ(commit.error, StoreError::OutcomeUnknown);
    co_await untilClosed();
  });
  EXPECT_EQ(mBroken.requests(), 1);
}

// Guards against taking the status of a response that is broken for a proof
// that a write was not executed, and sending the write again.
TEST_F(GatewayTest, RefusalOfTheStoreThatIsBrokenProvesNothing)
{
  testing::RawServer broken(mIo,
                            "HTTP/1.1 503 Busy\r\n"
                            "Transfer-Encoding: chunked\r\n\r\nno chunk\r\n");
  backends::KvClientOptions options;
  options.endpoints = { broken.endpoint() };
  options.callsPerSecond = 1'000;
  platform::StoreClient store(mIo, options);
  run([&]() -> net::Awaitable<void> {
    StoreTransaction transaction;
    transaction.writes = { { "key", "value", 0 } };
    const auto commit = co_await store.commit(std::move(transaction));
    EXPECT_EQ(commit.error, StoreError::OutcomeUnknown);
  });
}

INSTANTIATE_TEST_SUITE_P(AllBytes,
                         BrokenAnswersTest,
                         ::testing::ValuesIn(brokenAnswers()),
                         [](const auto& test) { return test.param.name; });

} // namespace lentilrack::gateway
