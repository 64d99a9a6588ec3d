#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>
#include <type_traits>

namespace lentilrack::core {

/// Parses the complete text as a decimal number. Returns nothing if it is not a
/// number or out of range.
template<typename Number>
requires std::is_arithmetic_v<Number> std::optional<Number>
parseDecimal(std::string_view text)
{
  Number number{};
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  const bool isComplete = parsed.ec == std::errc{} && parsed.ptr == end;
  return isComplete ? std::optional(number) : std::nullopt;
}

} // namespace lentilrack::core
