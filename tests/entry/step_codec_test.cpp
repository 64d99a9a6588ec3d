#include "entry/step_codec.h"

#include <gtest/gtest.h>

namespace lentilrack::entry {

namespace {

using wire::Json;

Json
openBody()
{
  return Json::parse(R"({"step":"s-1","opening":1,"model":"m","kind":"k",
    "prompts":["a","b"],"group_size":4,"quorum":3,"max_tokens":50,
    "have":[{"group":1,"index":2}],"version":7})");
}

/// Returns the decoding error of the opening body with one field replaced, or
/// removed if `value` is null.
std::string
errorWith(const char* field, const Json& value)
{
  auto body = openBody();
  if (value.is_null()) {
    body.erase(field);
  } else {
    body[field] = value;
  }
  const auto decoded = decodeOpenStep(body.dump());
  return decoded ? "" : decoded.error().text();
}

} // namespace

TEST(StepCodec, ReadsAnOpening)
{
  const auto decoded = decodeOpenStep(openBody().dump());
  ASSERT_TRUE(decoded.has_value());
  const auto& request = decoded.value();
  EXPECT_EQ(request.spec.name, "s-1");
  EXPECT_EQ(request.spec.prompts.size(), 2U);
  EXPECT_EQ(request.spec.groupSize, 4);
  EXPECT_EQ(request.spec.quorum, 3);
  EXPECT_EQ(request.spec.maxTokens, 50);
  EXPECT_EQ(request.opening, 1);
  EXPECT_EQ(request.version, 7);
  ASSERT_EQ(request.received.size(), 1U);
  EXPECT_EQ(request.received[0], (core::Slot{ 1, 2 }));
}

// Guards against accepting a request with an invalid field.
TEST(StepCodec, ErrorsNameTheField)
{
  const std::vector<std::pair<const char*, Json>> cases{
    { "step", nullptr },
    { "step", "" },
    { "step", "a/b" },
    { "step", std::string(129, 'x') },
    { "step", 5 },
    { "opening", 0 },
    { "opening", "1" },
    { "opening", 1.5 },
    { "model", nullptr },
    { "kind", 1 },
    { "prompts", Json::array() },
    { "prompts", "a" },
    { "prompts", Json::array({ 1 }) },
    { "group_size", 0 },
    { "group_size", -4 },
    { "group_size", 1e300 },
    { "quorum", 0 },
    { "max_tokens", -1 },
    { "max_tokens", true },
    { "have", nullptr },
    { "have", Json::object() },
    { "have", Json::array({ 1 }) },
    { "have", Json::parse(R"([{"group":0}])") },
    { "have", Json::parse(R"([{"group":0,"index":-1}])") },
    { "have", Json::parse(R"([{"group":0,"index":0,"x":1}])") },
    { "version", -1 },
    { "staleness", 3 },
  };
  for (const auto& [field, value] : cases) {
    const auto error = errorWith(field, value);
    EXPECT_NE(error.find(field), std::string::npos)
      << field << " = " << value << ": " << error;
  }
}

TEST(StepCodec, MalformedTextIsAnError)
{
  for (const std::string text : { "", "{", "[]", "nul", "\xff\xfe" }) {
    EXPECT_FALSE(decodeOpenStep(text).has_value()) << text;
    EXPECT_FALSE(decodePull(text).has_value()) << text;
    EXPECT_FALSE(decodeAck(text).has_value()) << text;
  }
}

TEST(StepCodec, ReadsPullsAndAcknowledgements)
{
  const auto pull =
    decodePull(R"({"opening":2,"have":[],"version":3,"wait_ms":500})");
  ASSERT_TRUE(pull.has_value());
  EXPECT_EQ(pull.value().opening, 2);
  EXPECT_EQ(pull.value().version, 3);
  EXPECT_EQ(pull.value().wait, core::Millis(500));
  const auto ack = decodeAck(R"({"opening":2,"have":[{"group":0,"index":1}]})");
  ASSERT_TRUE(ack.has_value());
  EXPECT_EQ(ack.value().received.size(), 1U);
  EXPECT_FALSE(decodePull(R"({"opening":2,"have":[],"version":3,"wait_ms":-1})")
                 .has_value());
  EXPECT_FALSE(decodeAck(R"({"opening":2,"have":[],"version":3})").has_value());
}

TEST(StepCodec, WritesSamplesWithTheirSegments)
{
  core::PulledSamples pulledSamples;
  pulledSamples.samples.push_back(
    { { 1, 2 }, "text", 5, 0.5, { { 3, 0, 2 }, { 4, 2, 5 } } });
  pulledSamples.complete = true;
  const auto expected = Json::parse(
    R"({"opening":9,"complete":true,"dropped_stale":4,"samples":[
      {"group":1,"index":2,"text":"text","tokens":5,"score":0.5,
       "segments":[{"version":3,"from":0,"to":2},
                   {"version":4,"from":2,"to":5}]}]})");
  EXPECT_EQ(encodePullResponse(9, pulledSamples, 4), expected);
}

} // namespace lentilrack::entry
