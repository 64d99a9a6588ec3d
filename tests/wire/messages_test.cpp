#include "wire/messages.h"
#include "wire/table_codec.h"

#include <gtest/gtest.h>

namespace lentilrack::wire {

namespace {

core::Member
sampleMember()
{
  core::Member member;
  member.id = { "etna-1/dispatch", 0xffffffffffffffff };
  member.role = core::MemberRole::Dispatch;
  member.failureDomain = "etna";
  member.http = core::Endpoint{ "127.0.0.1", 80 };
  member.link = { "::1", 81 };
  member.state = core::MemberState::Leaving;
  member.tableRevision = 7;
  member.reportNumber = 9;
  member.inFlight = 3;
  member.hasWeightCache = true;
  member.load["model"] = { 2, 8, 3, 40.5, 200.25 };
  return member;
}

core::Work
sampleWork()
{
  core::Work work;
  work.type = core::WorkType::Call;
  work.principal = "desk";
  work.kind = "order";
  work.target = "stock";
  work.idempotent = true;
  work.prompt = "p";
  work.maxTokens = 10;
  work.offset = 4;
  work.prefix = "x";
  work.version = 3;
  work.call = { "PUT", "a?b=c", std::string("\0\xff", 2), "text/plain" };
  return work;
}

/// Checks that a message is the same after it was encoded, converted to CBOR
/// and back, and decoded.
template<typename T>
void
expectRoundTrip(const T& message)
{
  const auto json = encode(message);
  const auto decoded = decode<T>(Json::from_cbor(Json::to_cbor(json)));
  ASSERT_TRUE(decoded) << decoded.error().text();
  EXPECT_EQ(encode(decoded.value()), json);
}

} // namespace

// Guards against a field that is lost or swapped with another when one process
// encodes a message and another decodes it.
TEST(MessagesTest, EveryMessageRoundTrips)
{
  core::Outcome outcome;
  outcome.verdict = core::Verdict::NotRun;
  outcome.reason = "overload";
  outcome.totalTokens = 5;
  outcome.segments = { { 1, 0, 3 }, { 2, 3, 5 } };
  outcome.retryAfter = core::Millis(40);
  outcome.httpStatus = 404;
  outcome.contentType = "text/plain";
  expectRoundTrip(outcome);
  expectRoundTrip(core::Chunk{ "text", 3, 4 });
  expectRoundTrip(core::Chunk{ "text", 3, std::nullopt });
  expectRoundTrip(sampleWork());
  expectRoundTrip(sampleMember());
  expectRoundTrip(DispatchRequest{
    { "t.1", 2 }, { "d", 5 }, sampleWork(), core::Millis(900) });
  expectRoundTrip(
    DispatchReply{ outcome, core::TargetLoad{ 1, 4, 3, 7.5, 100 } });
  expectRoundTrip(DispatchReply{ outcome, std::nullopt });
  expectRoundTrip(BarRequest{ "t.1", { "d", 5 } });
  expectRoundTrip(
    BarReply{ BarState::Finished, outcome, { { "a", 1, 2 }, { "b", 1, 3 } } });
  expectRoundTrip(BarReply{ BarState::Barred, std::nullopt, {} });
  expectRoundTrip(
    RelayRequest{ "t.1", { "e", 6 }, sampleWork(), core::Millis(900) });
  expectRoundTrip(Ping{ sampleMember(), { sampleMember(), sampleMember() } });
  expectRoundTrip(PingRequest{ { "127.0.0.1", 9 } });
}

// Guards against the receiver accepting a message with an unknown, missing or
// invalid field, or reporting another field as the wrong one.
TEST(MessagesTest, DecodingIsStrictAndNamesTheField)
{
  auto json = encode(sampleMember());
  json["id"]["extra"] = 1;
  EXPECT_EQ(decode<core::Member>(json).error().field, "id.extra");
  json = encode(sampleMember());
  json["report"] = "9";
  EXPECT_EQ(decode<core::Member>(json).error().field, "report");
  json = encode(sampleWork());
  json["max_tokens"] = -1;
  EXPECT_EQ(decode<core::Work>(json).error().field, "max_tokens");
  json = encode(sampleWork());
  json.erase("idempotent");
  EXPECT_EQ(decode<core::Work>(json).error().field, "idempotent");
  EXPECT_FALSE(decode<Ping>(Json::array()));
}

TEST(TableCodecTest, TableRoundTripsAndRangesAreChecked)
{
  core::Table table;
  table.revision = 4;
  core::Row row;
  row.principal = "desk";
  row.kind = "order";
  row.ratePerSecond = 2.5;
  row.hedge = true;
  table.rows[{ "desk", "order" }] = row;
  table.principals["desk"] = {
    "desk", core::PrincipalRole::Caller, core::hashToken("t"), 4
  };
  table.recentEdits = { "a", "b" };
  const auto json = encode(table);
  EXPECT_EQ(decodeTable(json).value(), table);

  const auto errorAfter = [&](const char* field, const Json& value) {
    auto broken = json;
    broken["rows"][0][field] = value;
    return decodeTable(broken).error().field;
  };
  EXPECT_EQ(errorAfter("weight", 0), "rows[0].weight");
  EXPECT_EQ(errorAfter("weight", true), "rows[0].weight");
  EXPECT_EQ(errorAfter("ratePerSecond", -1), "rows[0].ratePerSecond");
  EXPECT_EQ(errorAfter("stalenessBound", -1), "rows[0].stalenessBound");
  EXPECT_EQ(errorAfter("kind", "a b"), "rows[0].kind");
}

} // namespace lentilrack::wire
