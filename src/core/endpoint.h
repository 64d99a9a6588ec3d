#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lentilrack::core {

/// An IP address and a TCP port.
struct Endpoint
{
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;

  /// Returns the text form, such as "127.0.0.1:8080" or "[::1]:8080".
  std::string text() const;

  /// Parses the text form. Returns nothing for other texts and for host names.
  static std::optional<Endpoint> parse(std::string_view text);
};

} // namespace lentilrack::core
