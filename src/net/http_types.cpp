#include "net/http_types.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace lentilrack::net {

namespace {

std::string
percentDecoded(std::string_view text)
{
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(&text[i + 1], &text[i + 1] + 2, value, 16).ptr ==
          &text[i + 1] + 2) {
      result += static_cast<char>(value);
      i += 2;
    } else {
      result += text[i] == '+' ? ' ' : text[i];
    }
  }
  return result;
}

} // namespace

bool
equalsIgnoringCase(std::string_view a, std::string_view b)
{
  return std::ranges::equal(a, b, [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

std::string
headerValue(const Headers& headers, std::string_view name)
{
  const auto found = std::ranges::find_if(headers, [&](const auto& header) {
    return equalsIgnoringCase(header.first, name);
  });
  return found == headers.end() ? std::string() : found->second;
}

std::vector<std::string_view>
headerValues(const Headers& headers, std::string_view name)
{
  std::vector<std::string_view> values;
  for (const auto& [key, value] : headers) {
    if (equalsIgnoringCase(key, name)) {
      values.emplace_back(value);
    }
  }
  return values;
}

void
removeHeaders(Headers& headers, std::span<const std::string_view> names)
{
  std::erase_if(headers, [&](const auto& header) {
    return std::ranges::any_of(names, [&](std::string_view name) {
      return equalsIgnoringCase(header.first, name);
    });
  });
}

std::vector<std::string_view>
connectionOptions(const Headers& headers)
{
  constexpr std::string_view kBlanks = " \t";
  std::vector<std::string_view> options;
  for (auto rest : headerValues(headers, "Connection")) {
    while (!rest.empty()) {
      const auto end = std::min(rest.find(','), rest.size());
      auto option = rest.substr(0, end);
      rest.remove_prefix(std::min(end + 1, rest.size()));
      option.remove_prefix(
        std::min(option.find_first_not_of(kBlanks), option.size()));
      option = option.substr(0, option.find_last_not_of(kBlanks) + 1);
      if (!option.empty()) {
        options.push_back(option);
      }
    }
  }
  return options;
}

std::string
percentEncoded(std::string_view text)
{
  constexpr std::string_view kUnreserved = "-._~";
  std::string result;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    const bool isUnreserved =
      std::isalnum(byte) != 0 || kUnreserved.find(c) != kUnreserved.npos;
    result += isUnreserved ? std::string(1, c) : fmt::format("%{:02X}", byte);
  }
  return result;
}

std::string
HttpRequest::path() const
{
  return target.substr(0, target.find('?'));
}

std::string
HttpRequest::query(std::string_view name) const
{
  const auto mark = target.find('?');
  std::size_t start = mark == std::string::npos ? target.size() : mark + 1;
  while (start < target.size()) {
    const auto end = std::min(target.find('&', start), target.size());
    const auto pair = std::string_view(target).substr(start, end - start);
    const auto equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == name) {
      return percentDecoded(pair.substr(std::min(equals + 1, pair.size())));
    }
    start = end + 1;
  }
  return "";
}

std::string
HttpRequest::bearerToken() const
{
  constexpr std::string_view kScheme = "Bearer ";
  const auto value = header("Authorization");
  return value.starts_with(kScheme) ? value.substr(kScheme.size()) : "";
}

} // namespace lentilrack::net
