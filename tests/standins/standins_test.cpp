#include "standins/answer_text.h"
#include "standins/fleet_config.h"
#include "standins/kv_table.h"
#include "standins/lagged_value.h"

#include <gtest/gtest.h>

namespace lentilrack::standins {

namespace {

using core::Millis;
using core::TimePoint;

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

} // namespace

// Guards against equal tokens for different prompts or positions. Tests could
// then not detect an answer that belongs to another request or lacks a part.
TEST(AnswerTextTest, TokensDependOnlyOnPromptAndPosition)
{
  const AnswerText text("a prompt");
  EXPECT_EQ(text.text(0, 50), text.text(0, 20) + text.text(20, 50));
  EXPECT_EQ(text.token(7), AnswerText("a prompt").token(7));
  EXPECT_EQ(text.token(7).size(), 4U);
  EXPECT_NE(text.text(0, 10), text.text(1, 11));
  EXPECT_NE(text.text(0, 10), AnswerText("a prompt ").text(0, 10));
}

TEST(AnswerTextTest, LengthComesFromThePrompt)
{
  EXPECT_EQ(answerLength("x len=12 y", 100), 12);
  EXPECT_EQ(answerLength("len=500", 100), 100);
  EXPECT_EQ(answerLength("len=many", 100), 100);
  EXPECT_EQ(answerLength("x", 100), 100);
}

// Guards against a compare-and-swap that lets two writers with the same
// expected revision both write.
TEST(KvTableTest, CompareAndSwapLetsOneWriterWin)
{
  KvTable table;
  EXPECT_EQ(table.put("a", 1, 0, ""), 1);
  EXPECT_EQ(table.put("a", 2, 0, ""), std::nullopt);
  EXPECT_EQ(table.put("a", 3, 1, ""), 2);
  EXPECT_EQ(table.put("a", 4, 1, ""), std::nullopt);
  EXPECT_EQ(table.find("a")->value, 3);
}

// Guards against a key that gets an earlier revision again when it is removed
// and created anew. A compare-and-swap with the old revision would then
// succeed.
TEST(KvTableTest, RevisionsNeverRepeat)
{
  KvTable table;
  table.put("a", 1, 0, "");
  EXPECT_TRUE(table.remove("a"));
  EXPECT_FALSE(table.remove("a"));
  EXPECT_EQ(table.put("a", 1, 0, ""), 3);
}

// Guards against keys that outlive their lease, and against the removal of a
// key without a lease when a lease expires.
TEST(KvTableTest, ExpiredLeaseRemovesItsKeys)
{
  KvTable table;
  const auto lease = table.grant(Millis(100), kStart);
  table.put("a", 1, 0, lease);
  table.put("b", 1, 0, "");
  EXPECT_TRUE(table.renew(lease, kStart + Millis(80)));
  table.expireLeases(kStart + Millis(179));
  EXPECT_NE(table.find("a"), nullptr);
  table.expireLeases(kStart + Millis(180));
  EXPECT_EQ(table.find("a"), nullptr);
  EXPECT_NE(table.find("b"), nullptr);
  EXPECT_FALSE(table.renew(lease, kStart + Millis(181)));
}

// Guards against instance lists and load reports that become visible before
// their lag has passed, or later than that.
TEST(LaggedValueTest, ValueBecomesVisibleAfterTheLag)
{
  LaggedValue<int> value(Millis(1000), 1);
  value.set(kStart, 2);
  value.set(kStart + Millis(500), 3);
  EXPECT_EQ(value.at(kStart + Millis(999)), 1);
  EXPECT_EQ(value.at(kStart + Millis(1000)), 2);
  EXPECT_EQ(value.at(kStart + Millis(1499)), 2);
  EXPECT_EQ(value.at(kStart + Millis(1500)), 3);
}

TEST(FleetConfigTest, EveryFieldHasADefault)
{
  const auto config = FleetConfig::parse("{}");
  EXPECT_EQ(config.value().networkDelay, Microseconds(500));
  EXPECT_EQ(config.value().scorers.count, 1);
  EXPECT_TRUE(config.value().engines.empty());
}

TEST(FleetConfigTest, ReadsAllFields)
{
  const auto config = FleetConfig::parse(R"({
    "failure_domains": ["etna", "siracusa"], "delay_us": 700,
    "kv": { "latency_ms": 3 }, "instance_list": { "lag_ms": 50 },
    "engines": [{ "model": "m", "count": 12, "slots": 4, "token_rate": 100,
                  "checks_fencing": true, "load_ms": 20, "report_lag_ms": 5,
                  "prefill_us_per_char": 2, "cache_prefixes": 3,
                  "memory_tokens": 900, "step_us": 7,
                  "step_us_per_request": 3, "prefill_tokens_per_step": 30,
                  "prefill_tokens_per_ms": 500, "tokens_per_event": 2 }],
    "services": [{ "name": "stock", "count": 2, "work_ms": 9 }],
    "weights": { "models": { "m": 7 }, "chunks": 2, "chunk_bytes": 10,
                 "reads_per_second": 5 },
    "scorer": { "count": 3, "work_ms": 4 } })");
  ASSERT_TRUE(config) << config.error().text();
  const auto& engines = config.value().engines.at(0);
  EXPECT_EQ(engines.count, 12);
  EXPECT_EQ(engines.options.reportLag, Millis(5));
  EXPECT_TRUE(engines.options.checksFencing);
  EXPECT_EQ(engines.options.batch.memoryTokens, 900);
  EXPECT_EQ(engines.options.batch.stepTime, Microseconds(7));
  EXPECT_EQ(engines.options.batch.stepTimePerRequest, Microseconds(3));
  EXPECT_EQ(engines.options.batch.prefillTokensPerStep, 30);
  EXPECT_EQ(engines.options.batch.prefillTokensPerMilli, 500);
  EXPECT_EQ(engines.options.batch.tokensPerEvent, 2);
  EXPECT_EQ(config.value().services.at(0).options.workTime, Millis(9));
  EXPECT_EQ(config.value().weights.models.at("m"), 7);
  EXPECT_EQ(config.value().scorers.count, 3);
}

// Guards against a configuration that is accepted with a misspelt field, so
// that the default of the intended field applies unnoticed.
TEST(FleetConfigTest, UnknownFieldIsNamed)
{
  const auto config =
    FleetConfig::parse(R"({"engines":[{"model":"m","slot":4}]})");
  ASSERT_FALSE(config);
  EXPECT_EQ(config.error().field, "engines[0].slot");
}

} // namespace lentilrack::standins
