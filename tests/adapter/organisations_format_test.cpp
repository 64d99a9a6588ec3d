#include "platform/format.h"

#include <gtest/gtest.h>

namespace lentilrack::platform {

namespace {

const Format kFormat;

} // namespace

// Guards against a deployment without organisations that asks for API keys, and
// against one with an empty list that asks for none.
TEST(OrganisationsFormatTest, MissingListDiffersFromAnEmptyOne)
{
  const auto none = kFormat.decodeDesiredState(R"({"version":1})");
  const auto empty =
    kFormat.decodeDesiredState(R"({"version":1,"tenants":[]})");
  ASSERT_TRUE(none);
  ASSERT_TRUE(empty);
  EXPECT_EQ(none.value().organisations(), nullptr);
  ASSERT_NE(empty.value().organisations(), nullptr);
  EXPECT_EQ(empty.value().organisations()->size(), 0U);
}

// Guards against losing all organisations because one entry is malformed.
TEST(OrganisationsFormatTest, MalformedEntriesAreLeftOut)
{
  const auto state = kFormat.decodeDesiredState(
    R"({"version":1,"tenants":[{"api_keys":["a"]},7,)"
    R"({"name":"x","api_keys":[5]},)"
    R"({"name":"y","api_keys":["b","c"],"priority":1,"new":true}]})");
  ASSERT_TRUE(state);
  const auto* organisations = state.value().organisations();
  ASSERT_NE(organisations, nullptr);
  EXPECT_EQ(organisations->size(), 1U);
  EXPECT_EQ(organisations->ignoredEntries(), 3U);
  EXPECT_EQ(organisations->findByKey("a"), nullptr);
  ASSERT_NE(organisations->findByKey("c"), nullptr);
  EXPECT_EQ(organisations->findByKey("c")->name, "y");
  EXPECT_EQ(organisations->findByKey("c")->priority, 1);
}

// Guards against routes that ask for an API key although they are public.
TEST(OrganisationsFormatTest, PublicRoutesAreDecoded)
{
  const auto state = kFormat.decodeDesiredState(
    R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/a/",)"
    R"("kind":"idempotent","public":true},{"name":"s","host":"h",)"
    R"("path_prefix":"/b/","kind":"idempotent"}]})");
  ASSERT_TRUE(state);
  EXPECT_TRUE(state.value().findRoute("h", "/a/1")->isPublic);
  EXPECT_FALSE(state.value().findRoute("h", "/b/1")->isPublic);
}

// Guards against duties that are performed, or left undone, against the
// settings.
TEST(DutiesFormatTest, DutiesOfTheProviderAreDecoded)
{
  const auto settings = kFormat.decodeSettings(
    R"({"node":"n","zone":"z","platform":{"address":"10.0.0.2:90"},)"
    R"("bounds":{"report_window_s":5,"usage_late_s":10},)"
    R"("cloud":{"address":"10.0.0.3:91","duty_per_s":20,)"
    R"("duties":["usage"]}})");
  ASSERT_TRUE(settings);
  const auto& provider = settings.value().provider;
  ASSERT_TRUE(provider);
  EXPECT_EQ(provider->endpoint.text(), "10.0.0.3:91");
  EXPECT_EQ(provider->callsPerSecond, 20);
  EXPECT_TRUE(provider->wantsUsageReports);
  EXPECT_FALSE(provider->takesServerOrders);
  EXPECT_EQ(settings.value().bounds.usageWindow, core::Millis(5'000));
  EXPECT_EQ(settings.value().bounds.usageReportTime, core::Millis(10'000));
  const auto without = kFormat.decodeSettings(
    R"({"node":"n","zone":"z","platform":{"address":"10.0.0.2:90"}})");
  ASSERT_TRUE(without);
  EXPECT_FALSE(without.value().provider);
}

// Guards against ordering servers beyond the limits of the operator.
TEST(DutiesFormatTest, AutoscalingLimitsAreDecoded)
{
  const auto state = kFormat.decodeDesiredState(
    R"({"version":1,"services":[{"name":"s","engine":{"kv_capacity":86442,)"
    R"("models":[{"name":"m"}]},"autoscale":{"min":1,"max":30,"boot_s":4.5,)"
    R"("spot_price":0.15,"zone_prices":{"a":1.0,"b":0.8}}},{"name":"t"}]})");
  ASSERT_TRUE(state);
  const auto& service = state.value().services().at(0);
  EXPECT_EQ(service.memoryTokens, 86'442);
  ASSERT_TRUE(service.autoscaling);
  EXPECT_EQ(service.autoscaling->maxServers, 30);
  EXPECT_EQ(service.autoscaling->bootTime, core::Millis(4'500));
  EXPECT_EQ(service.autoscaling->pricePerSecond.at("b"), 0.8);
  EXPECT_FALSE(state.value().services().at(1).autoscaling);
}

// Guards against calls to the provider that do not name their holder.
TEST(DutiesFormatTest, CallsCarryHolderAndFencingToken)
{
  const auto report =
    kFormat.encodeUsageReport({ "edge-1", 12 }, { 353, { { "a", 4 } } });
  EXPECT_EQ(report.target, "/usage");
  EXPECT_EQ(report.header("X-Lease-Holder"), "edge-1");
  EXPECT_EQ(report.header("X-Fencing-Token"), "12");
  EXPECT_EQ(report.body, R"({"counts":{"a":4},"window":353})");
  const auto order =
    kFormat.encodeServerCountOrder({ "edge-1", 12 }, { "s", "z", 6, true });
  EXPECT_EQ(order.target, "/scale");
  EXPECT_EQ(order.body,
            R"({"desired":6,"service":"s","spot":true,"zone":"z"})");
}

} // namespace lentilrack::platform
