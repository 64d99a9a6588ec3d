#include "net/message_syntax.h"

#include <algorithm>
#include <cctype>

namespace lentilrack::net {

bool
isToken(std::string_view text)
{
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::ranges::all_of(text, [&](unsigned char c) {
    constexpr unsigned char kMaxAscii = 0x7F;
    return c <= kMaxAscii &&
           (std::isalnum(c) != 0 ||
            kSymbols.find(static_cast<char>(c)) != std::string_view::npos);
  });
}

bool
isFieldValue(std::string_view text)
{
  return std::ranges::none_of(text, [](unsigned char c) {
    constexpr unsigned char kFirstPrintable = 0x20;
    constexpr unsigned char kDelete = 0x7F;
    return (c < kFirstPrintable && c != '\t') || c == kDelete;
  });
}

bool
hasValidTransferCoding(const Headers& headers, int version)
{
  constexpr int kHttp11 = 11;
  const auto codings = headerValues(headers, "Transfer-Encoding");
  return codings.empty() || (codings.size() == 1 && version >= kHttp11 &&
                             equalsIgnoringCase(codings.front(), "chunked"));
}

bool
hasFoldedLine(std::string_view lines)
{
  return lines.find("\n ") != lines.npos || lines.find("\n\t") != lines.npos;
}

std::string_view
headLines(std::string_view bytes)
{
  return bytes.starts_with("\r\n") ? std::string_view()
                                   : bytes.substr(0, bytes.find("\r\n\r\n"));
}

} // namespace lentilrack::net
