#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>
#include <type_traits>

namespace lentilrack::core {

/// The whole text as a decimal number; nothing if it is not one or does not
/// fit.
template<typename Number>
requires std::is_arithmetic_v<Number> std::optional<Number>
parseDecimal(std::string_view text)
{
  Number number{};
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  const bool isWhole = parsed.ec == std::errc{} && parsed.ptr == end;
  return isWhole ? std::optional(number) : std::nullopt;
}

} // namespace lentilrack::core
