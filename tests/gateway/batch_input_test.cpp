#include "gateway_fixture.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <vector>

namespace lentilrack::gateway {

namespace {

using core::Millis;
using Json = nlohmann::json;
using Change = std::function<void(Json& item)>;

/// A malformed or unusual item, made from a sound one.
struct ItemCase
{
  /// The field that the refusal must name; empty if the item must pass.
  std::string field;
  Change change;
};

/// Returns a change of one field, given by its path in the item.
Change
with(const std::string& path, Json value)
{
  return [path, value](Json& item) { item[Json::json_pointer(path)] = value; };
}

Change
withHeader(const std::string& name, Json value)
{
  return [name, value](Json& item) { item["headers"][name] = value; };
}

Json
soundScorer()
{
  return { { "id", "r1" },
           { "host", "host.example" },
           { "path", "/plain/score" },
           { "body", "YQ==" } };
}

Change
withScorer(const std::string& field, Json value)
{
  return [field, value](Json& item) {
    item["scorer"] = soundScorer();
    item["scorer"][field] = value;
  };
}

/// Two nodes, so that batches can also be accepted for a peer.
class BatchInputTest : public GatewayTest
{
protected:
  net::Awaitable<void> join(TestNode& node)
  {
    node.replicator.start();
    node.cluster.start();
    node.batches.start();
    co_await until(
      [&] { return node.cluster.isSynced() && node.cluster.isRegistered(); });
  }

  /// Submits a batch of two items, the second of which is changed.
  net::Awaitable<net::HttpResponse> submit(TestNode& node,
                                           std::string id,
                                           Change change)
  {
    auto request = submission(id, 2);
    auto body = Json::parse(request.body);
    change(body["items"][1]);
    request.body = body.dump();
    co_return co_await submitRequest(node, std::move(request));
  }

  static net::Awaitable<net::HttpResponse> submitRequest(
    TestNode& node,
    net::HttpRequest request)
  {
    TestExchange exchange(std::move(request));
    const auto desired = node.context.desired;
    const auto* route = desired->findRoute(kHost, exchange.request().target);
    co_await node.batches.submit(exchange, *route);
    co_return exchange.response;
  }

  /// Waits until all items of the batch have results, and returns these.
  net::Awaitable<Json> allResults(TestNode& node, std::string id, std::size_t n)
  {
    for (;;) {
      ReadBatch call;
      call.id = id;
      call.wait = Millis(50);
      TestExchange exchange{ net::HttpRequest() };
      co_await node.batches.reader().read(exchange, std::move(call));
      auto page = Json::parse(exchange.response.body, nullptr, false);
      if (page.is_object() &&
          page.value("results", Json::array()).size() == n) {
        co_return page["results"];
      }
    }
  }

  bool hasStored(const std::string& id) const
  {
    return std::ranges::any_of(mTable->entries, [&](const auto& entry) {
      return entry.first.find(id) != std::string::npos;
    });
  }

  std::unique_ptr<TestNode> mNode = makeNode("a");
};

const std::string kHiddenRequest =
  "1\r\nContent-Length: 0\r\n\r\nPOST /batch/hidden HTTP/1.1\r\nX-Note: 1";

std::vector<ItemCase>
malformedItems()
{
  const std::string large(20'000, 'x');
  Json manyHeaders = Json::object();
  for (int i = 0; i < 1'100; ++i) {
    manyHeaders["X" + std::to_string(i)] = "";
  }
  return {
    { "id", with("/id", "") },
    { "id", with("/id", 7) },
    { "id", with("/id", "a\r\nX-Note: 1") },
    { "id", with("/id", " a") },
    { "id", with("/id", "a\t") },
    { "id", with("/id", std::string(1'001, 'a')) },
    { "id", [](Json& item) { item["id"] = std::string("a\0b", 3); } },
    { "id", [](Json& item) { item.erase("id"); } },
    { "path", [](Json& item) { item.erase("path"); } },
    { "path", with("/path", "") },
    { "path", with("/path", "batch/x") },
    { "path", with("/path", "http://host.example/batch/x") },
    { "path", with("/path", "/batch/x y") },
    { "path", with("/path", "/batch/x#y") },
    { "path", with("/path", "/batch/x\r\nX-Note: 1") },
    { "path", with("/path", "/batch/\xC3\xA9") },
    { "path", with("/path", nullptr) },
    { "headers", with("/headers", Json::array({ "a" })) },
    { "headers", with("/headers", "a") },
    { "headers", with("/headers", manyHeaders) },
    { "headers.X-Note", withHeader("X-Note", kHiddenRequest) },
    { "headers.X-Note", withHeader("X-Note", "a\nb") },
    { "headers.X-Note", withHeader("X-Note", std::string("a\0b", 3)) },
    { "headers.X-Note", withHeader("X-Note", 7) },
    { "headers.X-Note", withHeader("X-Note", nullptr) },
    { "headers.Bad Name", withHeader("Bad Name", "1") },
    { "headers.", withHeader("", "1") },
    { "headers.X-A: 1\r\nX-B", withHeader("X-A: 1\r\nX-B", "1") },
    { "headers", withHeader("X-Large", large) },
    { "headers.Host", withHeader("Host", "other.example") },
    { "headers.content-length", withHeader("content-length", "100") },
    { "headers.Transfer-Encoding", withHeader("Transfer-Encoding", "chunked") },
    { "headers.Connection", withHeader("Connection", "X-Request-Id") },
    { "headers.Expect", withHeader("Expect", "100-continue") },
    { "headers.X-Request-Id", withHeader("X-Request-Id", "other") },
    { "headers.last-event-id", withHeader("last-event-id", "7") },
    { "headers.x-note",
      with("/headers", { { "X-Note", "1" }, { "x-note", "2" } }) },
    { "headers.X-Length-Hint", withHeader("X-Length-Hint", "nan") },
    { "headers.X-Length-Hint", withHeader("X-Length-Hint", "inf") },
    { "headers.X-Length-Hint", withHeader("X-Length-Hint", "-1") },
    { "headers.X-Length-Hint", withHeader("X-Length-Hint", "1e300") },
    { "headers.X-Length-Hint", withHeader("X-Length-Hint", "many") },
    { "body", with("/body", "not base64!") },
    { "body", with("/body", 7) },
    { "tokens", with("/tokens", -1) },
    { "tokens", with("/tokens", "many") },
    { "group", with("/group", 7) },
    { "scorer", with("/scorer", "r1") },
    { "scorer", with("/scorer", Json::array({ 1 })) },
    { "scorer.id", with("/scorer", Json::object()) },
    { "scorer.id", withScorer("id", "") },
    { "scorer.id", withScorer("id", "r\r\nX-Note: 1") },
    { "scorer.host", withScorer("host", "") },
    { "scorer.host", withScorer("host", "host.example\r\nX-Note: 1") },
    { "scorer.host", withScorer("host", "host.example/a") },
    { "scorer.path", withScorer("path", "score") },
    { "scorer.path", withScorer("path", "/score HTTP/1.1\r\nX-Note: 1") },
    { "scorer.path", withScorer("path", 7) },
    { "scorer.body", withScorer("body", "not base64!") },
    { "scorer.headers", withScorer("path", "/plain/" + large) },
  };
}

std::vector<ItemCase>
unusualItems()
{
  return {
    { "", with("/id", "\xC3\xA9/?&#%2F \"x\"") },
    { "", with("/id", std::string(1'000, 'a')) },
    { "", with("/path", "/batch/x%20y?q=[1]&r='{}'|~") },
    { "", with("/path", "/other/x") },
    { "", with("/headers", Json::object()) },
    { "", with("/headers", nullptr) },
    { "", withHeader("!#$%&'*+-.^_`|~0", "") },
    { "", withHeader("X-Note", "\xC3\xA9 \t tab") },
    { "", withHeader("X-Large", std::string(14'000, 'x')) },
    { "", withHeader("host", "host.example") },
    { "", withHeader("Content-Length", "1") },
    { "", withHeader("X-Length-Hint", "12.5") },
    { "", withHeader("X-Length-Hint", "") },
    { "", withHeader("X-Length-Hint", "0") },
    { "", [](Json& item) { item["headers"]["x-request-id"] = item["id"]; } },
    { "", with("/body", "") },
    { "", with("/tokens", 0) },
    { "", with("/scorer", nullptr) },
    { "", with("/unknown", Json::array({ 1 })) },
  };
}

} // namespace

// Guards against a malformed item that is accepted: it hid a request that no
// one had sent, could not be sent at all, or ended each process that tried it.
TEST_F(BatchInputTest, MalformedItemIsRefusedByName)
{
  FakeServer server(mIo, "s1");
  mNode->addServer(server, "engine");
  run([&]() -> net::Awaitable<void> {
    co_await join(*mNode);
    for (const auto& item : malformedItems()) {
      const auto response = co_await submit(*mNode, "bad", item.change);
      EXPECT_EQ(response.status, 400) << item.field << response.body;
      const auto body = Json::parse(response.body, nullptr, false);
      EXPECT_EQ(body.value("error", ""), "malformed_batch");
      const auto detail = body.value("detail", "");
      EXPECT_TRUE(detail.starts_with("items[1]." + item.field))
        << item.field << " is refused as: " << detail;
    }
    EXPECT_FALSE(hasStored("bad"));
    co_await submit(*mNode, "good", [](Json&) {});
    co_await allResults(*mNode, "good", 2);
  });
  EXPECT_EQ(server.requests().size(), 2U);
}

// Guards against refusing items that are unusual but sound, and against
// accepting what cannot be run.
TEST_F(BatchInputTest, UnusualItemRuns)
{
  FakeServer server(mIo, "s1");
  mNode->addServer(server, "engine");
  run([&]() -> net::Awaitable<void> {
    co_await join(*mNode);
    int count = 0;
    for (const auto& item : unusualItems()) {
      const auto id = fmt::format("odd{}", count++);
      const auto response = co_await submit(*mNode, id, item.change);
      EXPECT_EQ(response.status, 202) << id << response.body;
      const auto results = co_await allResults(*mNode, id, 2);
      for (const auto& result : results) {
        EXPECT_EQ(result.value("state", ""), "completed") << id;
      }
    }
  });
}

// Guards against a batch of which the sound items run although another one was
// refused, and against two items whose results cannot be told apart.
TEST_F(BatchInputTest, BatchIsRefusedAsAWhole)
{
  FakeServer server(mIo, "s1");
  mNode->addServer(server, "engine");
  const std::vector<std::pair<std::string, Json>> fields{
    { "items", Json::array() },
    { "items", Json::object() },
    { "items", "a" },
    { "items", Json::array({ "a" }) },
    { "min_version", -1 },
    { "min_version", "1" },
    { "min_version", 1.5 },
    { "desired", -1 },
    { "desired", 1e300 },
    { "step", "1" },
    { "model", Json::array({ 1 }) }
  };
  const std::vector<std::string> bodies{ "", "[]", "null", "{", "\xFF" };
  run([&]() -> net::Awaitable<void> {
    co_await join(*mNode);
    const auto repeated =
      co_await submit(*mNode, "bad", [](Json& item) { item["id"] = "bad-0"; });
    EXPECT_EQ(repeated.status, 400);
    EXPECT_NE(repeated.body.find("items[1].id"), std::string::npos);
    for (const auto& [field, value] : fields) {
      auto request = submission("bad", 1);
      auto body = Json::parse(request.body);
      body[field] = value;
      request.body = body.dump();
      const auto response = co_await submitRequest(*mNode, request);
      EXPECT_EQ(response.status, 400) << field << value;
      EXPECT_NE(response.body.find(field), std::string::npos) << response.body;
    }
    auto request = submission("bad", 1);
    for (const auto& body : bodies) {
      request.body = body;
      const auto response = co_await submitRequest(*mNode, request);
      EXPECT_EQ(response.status, 400) << body;
    }
  });
  EXPECT_FALSE(hasStored("bad"));
  EXPECT_TRUE(server.requests().empty());
}

// Guards against a process that accepts for another one what that one would
// refuse, or ends because of it.
TEST_F(BatchInputTest, PeerRefusesTheSame)
{
  run([&]() -> net::Awaitable<void> {
    co_await join(*mNode);
    auto request = submission("bad", 1);
    request.headers = { { peer_headers::kBatchHost, kHost },
                        { peer_headers::kBatchPath, request.target } };
    auto body = Json::parse(request.body);
    body["items"][0]["headers"]["X-Note"] = kHiddenRequest;
    request.body = body.dump();
    const auto refused = co_await mNode->batches.acceptForPeer("bad", request);
    EXPECT_EQ(refused.status, 400);
    EXPECT_FALSE(hasStored("bad"));
    request.body = submission("good", 1).body;
    const auto good = co_await mNode->batches.acceptForPeer("good", request);
    EXPECT_EQ(good.status, 202);
  });
}

// Guards against a batch that an earlier version has accepted and that ends
// each process that takes it over, or hides a request: its item cannot be sent.
TEST_F(BatchInputTest, StoredMalformedItemIsNotSent)
{
  FakeServer server(mIo, "s1");
  mNode->addServer(server, "engine");
  auto body = Json::parse(submission("old", 2).body);
  body["items"][1]["headers"]["X-Note"] = kHiddenRequest;
  // Malformed fields without effect must not keep the batch from being run.
  body["step"] = "1";
  body["items"][0]["tokens"] = -1;
  body["items"][0]["scorer"] = Json::object();
  BatchRecord record;
  record.host = kHost;
  record.path = "/batch/old";
  record.total = 2;
  record.bodyParts = 1;
  record.model = "model";
  record.submittedAt = unixNow();
  mTable->put(keys::batch("old"), record.encode());
  mTable->put(keys::bodyPart("old", 0), body.dump());
  run([&]() -> net::Awaitable<void> {
    co_await join(*mNode);
    const auto results = co_await allResults(*mNode, "old", 1);
    EXPECT_EQ(results[0].value("id", ""), "old-0");
  });
  EXPECT_EQ(server.requests().size(), 1U);
}

} // namespace lentilrack::gateway
