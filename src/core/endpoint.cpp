#include "core/endpoint.h"

#include "core/decimal.h"

#include <algorithm>

namespace lentilrack::core {

namespace {

bool
isAddressCharacter(char c)
{
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
         (c >= 'A' && c <= 'F') || c == '.' || c == ':';
}

} // namespace

std::string
Endpoint::text() const
{
  const bool isV6 = address.find(':') != std::string::npos;
  return (isV6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
}

std::optional<Endpoint>
Endpoint::parse(std::string_view text)
{
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  auto address = text.substr(0, colon);
  const auto digits = text.substr(colon + 1);
  if (address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  Endpoint endpoint;
  const auto port = parseDecimal<std::uint16_t>(digits);
  if (!port || address.empty() ||
      !std::ranges::all_of(address, isAddressCharacter)) {
    return std::nullopt;
  }
  endpoint.port = *port;
  endpoint.address = address;
  return endpoint;
}

} // namespace lentilrack::core
