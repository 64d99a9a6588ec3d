#include "core/decimal.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>

namespace lentilrack::core {

TEST(DecimalTest, NumbersAreParsed)
{
  EXPECT_EQ(parseDecimal<std::int64_t>("0"), 0);
  EXPECT_EQ(parseDecimal<std::int64_t>("-17"), -17);
  EXPECT_EQ(parseDecimal<std::uint16_t>("65535"),
            std::numeric_limits<std::uint16_t>::max());
  EXPECT_EQ(parseDecimal<double>("1.5"), 1.5);
}

// Guards against accepting a malformed text of a header or key as a number,
// such as one with blanks, a unit or too large a value.
TEST(DecimalTest, OtherTextsAreRefused)
{
  for (const auto* text : { "", " 1", "1 ", "1ms", "x", "0x10", "+1" }) {
    EXPECT_FALSE(parseDecimal<std::int64_t>(text)) << text;
  }
  EXPECT_FALSE(parseDecimal<std::uint64_t>("-1"));
  EXPECT_FALSE(parseDecimal<std::uint16_t>("65536"));
}

} // namespace lentilrack::core
