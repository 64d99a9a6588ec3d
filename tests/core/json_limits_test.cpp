#include "core/json_limits.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

std::string
nested(std::size_t depth)
{
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string
listOf(std::size_t values)
{
  std::string text = "[0";
  for (std::size_t i = 1; i < values; ++i) {
    text += ",0";
  }
  return text + "]";
}

} // namespace

// Guards against a document whose nesting uses up the memory or the stack.
TEST(JsonLimitsTest, NestingIsBounded)
{
  EXPECT_TRUE(parseJson(nested(kMaxJsonDepth)).is_array());
  EXPECT_THROW(parseJson(nested(kMaxJsonDepth + 1)), JsonError);
  EXPECT_TRUE(parseJsonOrDiscard(std::string(1'000'000, '[')).is_discarded());
}

// Guards against a list that takes many times the size of its text once it is
// decoded.
TEST(JsonLimitsTest, NumberOfValuesIsBounded)
{
  EXPECT_EQ(parseJson(listOf(kMaxJsonValues - 2)).size(), kMaxJsonValues - 2);
  EXPECT_THROW(parseJson(listOf(kMaxJsonValues + 1)), JsonError);
}

// Guards against counting brackets and commas that are part of a text.
TEST(JsonLimitsTest, TextsDoNotCount)
{
  const auto text = "\"\\\"" + std::string(2 * kMaxJsonValues, ',') +
                    std::string(2 * kMaxJsonDepth, '[') + "\\\\\"";
  EXPECT_TRUE(parseJson(text).is_string());
}

// Guards against exceptions of another kind for malformed documents.
TEST(JsonLimitsTest, MalformedTextIsAnError)
{
  for (const auto* text : { "", "{", "[1,", "1e999", "\"\xff\"", "}", "[]]" }) {
    EXPECT_THROW(parseJson(text), JsonError) << text;
    EXPECT_TRUE(parseJsonOrDiscard(text).is_discarded()) << text;
  }
}

} // namespace lentilrack::core
