#include "platform/format.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace lentilrack::platform {

namespace {

const Format kFormat;

constexpr const char* kServer =
  R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":16,)"
  R"("state":"ready","born":17,"seq":4,)"
  R"("models":[{"name":"m","version":3,"adapters":[]}]})";

net::HttpRequest
call(const std::string& method, const std::string& target)
{
  net::HttpRequest request;
  request.method = method;
  request.target = target;
  return request;
}

} // namespace

// Guards against losing fields of a server entry, and against using its counter
// of writes as the number of orders that the server has accepted.
TEST(FormatTest, ServerEntryIsDecodedCompletely)
{
  const auto server = kFormat.decodeServer("servers/i-1", kServer);
  ASSERT_TRUE(server);
  EXPECT_EQ(server.value().id, "i-1");
  EXPECT_EQ(server.value().endpoint.text(), "10.0.0.9:80");
  EXPECT_EQ(server.value().startedAt, 17);
  EXPECT_EQ(server.value().versions.at("m"), 3);
  EXPECT_FALSE(server.value().draining);
}

// Guards against accepting a malformed server entry, and against ending the
// process because of it.
TEST(FormatTest, MalformedServerEntriesAreRejected)
{
  const std::string whole(kServer);
  const auto with = [&](const std::string& from, const std::string& to) {
    auto text = whole;
    return text.replace(text.find(from), from.size(), to);
  };
  for (const auto& text : { std::string(),
                            std::string("\xff\xfe"),
                            std::string("[]"),
                            std::string("{}"),
                            with("\"ready\"", "\"resting\""),
                            with("\"slots\":16", "\"slots\":\"16\""),
                            with("\"slots\":16", "\"slots\":0"),
                            with("10.0.0.9:80", "nowhere"),
                            with("\"born\":17,", ""),
                            with("\"version\":3", "\"version\":null") }) {
    EXPECT_FALSE(kFormat.decodeServer("servers/i-1", text)) << text;
  }
}

// Guards against ending the process because of malformed input, which must be
// reported as an error.
RC_GTEST_PROP(FormatTest, ArbitraryBytesAreAnError, ())
{
  const auto text = *rc::gen::string<std::string>();
  RC_ASSERT(!kFormat.decodeServer("servers/x", text));
  RC_ASSERT(!kFormat.decodeSettings(text));
  RC_ASSERT(!kFormat.decodeBatch("id", "h", "/p", text));
  RC_ASSERT(!kFormat.decodeSubmission("id", "h", "/p", text));
  RC_ASSERT(!kFormat.decodeReport(text));
}

// Guards against losing the settings of a route that decide how its requests
// are handled.
TEST(FormatTest, DesiredStateIsDecodedCompletely)
{
  const auto state = kFormat.decodeDesiredState(
    R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/a/",)"
    R"("kind":"stream","resumable":true,"timeout_ms":2000,"max_attempts":3,)"
    R"("priority":1,"queue_ttl_s":20,)"
    R"("traffic_split":[{"service":"x","weight":90},)"
    R"({"service":"y","weight":10}]},)"
    R"({"name":"b","host":"h","path_prefix":"/b/","kind":"rollout",)"
    R"("single_version":true,"service":"x"}],)"
    R"("services":[{"name":"x","engine":{"models":[{"name":"m"}]}},)"
    R"({"name":"y"}],"limits":{"idle_timeout_ms":9000}})");
  ASSERT_TRUE(state);
  const auto* route = state.value().findRoute("h", "/a/1");
  ASSERT_NE(route, nullptr);
  EXPECT_EQ(route->kind, core::RouteKind::Stream);
  EXPECT_TRUE(route->resumable);
  EXPECT_EQ(route->timeout, core::Millis(2'000));
  EXPECT_EQ(route->itemLifetime, core::Millis(20'000));
  EXPECT_EQ(route->maxAttempts, 3);
  EXPECT_EQ(route->targets.size(), 2U);
  EXPECT_EQ(state.value().findRoute("h", "/b/1")->kind, core::RouteKind::Batch);
  EXPECT_TRUE(state.value().requiresSingleVersion());
  EXPECT_EQ(state.value().services().at(0).models.at(0), "m");
  EXPECT_EQ(state.value().limits().idleTime, core::Millis(9'000));
}

// Guards against executing a request more than once if its route is of an
// unknown kind.
TEST(FormatTest, UnknownRouteKindsRunOnce)
{
  const auto state = kFormat.decodeDesiredState(
    R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/",)"
    R"("kind":"something"}],"services":[]})");
  ASSERT_TRUE(state);
  EXPECT_EQ(state.value().findRoute("h", "/")->kind, core::RouteKind::Single);
}

// Guards against forwarding calls that belong to the system's own interface.
TEST(FormatTest, CallerRequestsAreClassified)
{
  auto request = call("GET", "/api/lots/b1?after=12");
  request.headers = { { "X-Wait-Ms", "1000" } };
  const auto read = kFormat.classifyRequest(request);
  ASSERT_TRUE(std::holds_alternative<gateway::ReadBatch>(read));
  EXPECT_EQ(std::get<gateway::ReadBatch>(read).after, 12U);
  EXPECT_EQ(std::get<gateway::ReadBatch>(read).wait, core::Millis(1'000));
  const auto end = kFormat.classifyRequest(call("DELETE", "/api/lots/b1"));
  EXPECT_TRUE(std::holds_alternative<gateway::EndBatch>(end));
  const auto body =
    kFormat.classifyRequest(call("GET", "/api/items/b1?id=i%2F1"));
  ASSERT_TRUE(std::holds_alternative<gateway::ReadItemBody>(body));
  EXPECT_EQ(std::get<gateway::ReadItemBody>(body).item, "i/1");
  const auto bad = kFormat.classifyRequest(call("GET", "/api/lots/b1?after=x"));
  EXPECT_TRUE(std::holds_alternative<gateway::MalformedCall>(bad));
  const auto other = kFormat.classifyRequest(call("POST", "/x/api/lots/b1"));
  EXPECT_TRUE(std::holds_alternative<gateway::ForwardRequest>(other));
}

// Guards against omitting the fields of an order that let the server refuse it
// if it arrives late.
TEST(FormatTest, OrderCarriesHolderFenceAndCount)
{
  gateway::WeightOrder order;
  order.server.id = "i-1";
  order.model = "m";
  order.version = 4;
  order.holder = "edge-1";
  order.fencingToken = 41;
  order.priorOrderCount = 2;
  const auto request = kFormat.encodeOrder(order);
  EXPECT_EQ(request.header("X-Expect-Instance"), "i-1");
  for (const auto* part : { "\"holder\":\"edge-1\"",
                            "\"fence\":41",
                            "\"expect\":2",
                            "\"version\":4",
                            "\"mode\":\"keep\"" }) {
    EXPECT_NE(request.body.find(part), std::string::npos) << part;
  }
}

// Guards against accepting incomplete settings, and against error texts that do
// not name the field.
TEST(FormatTest, SettingsErrorsNameTheField)
{
  const auto missing = kFormat.decodeSettings(R"({"zone":"z"})");
  ASSERT_FALSE(missing);
  EXPECT_NE(missing.error().find("node"), std::string::npos);
  const auto wrong = kFormat.decodeSettings(
    R"({"node":"n","zone":"z","platform":{"address":5}})");
  ASSERT_FALSE(wrong);
  EXPECT_NE(wrong.error().find("address"), std::string::npos);
  const auto whole = kFormat.decodeSettings(
    R"({"node":"n","zone":"z","new":1,"listen":{"front":"10.0.0.1:80"},)"
    R"("data_dir":null,"bounds":{"grace_s":4,"lease_ms":2500},)"
    R"("platform":{"address":"10.0.0.2:90","writes_per_s":100}})");
  ASSERT_TRUE(whole);
  EXPECT_EQ(whole.value().bounds.shutdownGrace, core::Millis(4'000));
  EXPECT_EQ(whole.value().bounds.leaderHandoverDelay, core::Millis(2'500));
  EXPECT_EQ(whole.value().store.text(), "10.0.0.2:90");
  EXPECT_FALSE(whole.value().peerAddress);
}

// Guards against a process that ends, or stops following the list of servers,
// because of an odd entry by another writer.
TEST(FormatTest, OddServerEntriesAreErrors)
{
  const std::string head = R"({"service":"desk","zone":"z","state":"ready",)";
  const std::string rest = R"("address":"10.0.0.1:80","slots":2,"born":1)";
  const auto isEntry = [](const std::string& key, const std::string& value) {
    return kFormat.decodeServer(key, value).has_value();
  };
  ASSERT_TRUE(isEntry("servers/i-1", head + rest + "}"));
  const std::vector<std::string> odd{
    head + rest + R"(,"more":)" + std::string(100'000, '[') +
      std::string(100'000, ']') + "}",
    std::string(1'000'000, '['),
    head + rest + R"(,"more":[)" + std::string(500'000, ',') + "]}",
    head + R"("address":"10.0.0.1:80","slots":2,"born":99999999999999999999})",
    head + R"("address":"10.0.0.1:80","slots":2,"born":18446744073709551615})",
    head + R"("address":"10.0.0.1:80","slots":2,"born":1e999})",
    head + R"("address":"10.0.0.1:80","slots":4294967298,"born":1})",
    head + R"("address":"10.0.0.1:80","slots":2147483647,"born":1})",
    head + R"("address":"10.0.0.1:80","slots":-1,"born":1})",
    head + R"("address":"10.0.0.1:70000","slots":2,"born":1})",
    head + R"("address":"10.0.0.1:0","slots":2,"born":1})",
    head + R"("address":"10.0.0.1:","slots":2,"born":1})",
    head + rest + R"(,"models":[{"name":"m","version":9223372036854775808}]})",
    head + rest + R"(,"models":[[[]]]})",
    head + rest + ",\"name\":\"\xff\xfe\"}",
    "",
    "null",
    "7",
  };
  for (const auto& value : odd) {
    EXPECT_FALSE(isEntry("servers/i-1", value)) << value.substr(0, 120);
  }
  // The id is sent as the value of a header.
  for (const auto* id :
       { "", "a b", "a\r\nX-Header: 1", "a\x7f", "\xc3\xa9" }) {
    EXPECT_FALSE(isEntry(std::string("servers/") + id, head + rest + "}"))
      << id;
  }
}

// Guards against limits that end each process: a negative time, or a time or a
// size beyond what a process can hold.
TEST(FormatTest, LimitsOfTheDesiredStateAreBounded)
{
  const auto decode = [](const std::string& limits) {
    return kFormat.decodeDesiredState(
      R"({"version":1,"routes":[],"services":[],"limits":{)" + limits + "}}");
  };
  const auto raised = decode(R"("max_header_bytes":100000)");
  ASSERT_TRUE(raised);
  EXPECT_EQ(raised.value().limits().headerBytes, 100'000U);
  const auto huge =
    decode(R"("max_header_bytes":5000000000,"header_timeout_ms":9e18)");
  ASSERT_TRUE(huge);
  EXPECT_EQ(huge.value().limits().headerBytes,
            core::CallerLimits::kMaxHeaderBytes);
  EXPECT_GT(huge.value().limits().headerTime, core::Millis(0));
  EXPECT_LE(huge.value().limits().headerTime, core::Millis(1'000'000'000'000));
  for (const auto* limits : { R"("max_header_bytes":-1)",
                              R"("max_header_bytes":"many")",
                              R"("max_body_bytes":-1)",
                              R"("idle_timeout_ms":-1)",
                              R"("header_timeout_ms":"long")" }) {
    EXPECT_FALSE(decode(limits)) << limits;
  }
}

} // namespace lentilrack::platform
