#pragma once

#include "net/http_types.h"

#include <cstddef>
#include <string_view>

namespace lentilrack::net {

/// Syntax of HTTP/1.1 messages (RFC 9110 and RFC 9112) that holds for requests
/// and responses alike.

/// Maximum number of fields in a head and its trailer. Each takes much more
/// memory than its shortest text.
inline constexpr std::size_t kMaxMessageFields = 1'000;

/// Returns true if the text is a token, as methods and names of fields are.
bool
isToken(std::string_view text);

/// Returns true if the text can be the value of a field. Excludes line ends,
/// NUL and all other control characters except tabs.
bool
isFieldValue(std::string_view text);

/// Returns true if the transfer codings, if any, are just "chunked". Other
/// codings may be sent only to receivers that ask for them, and HTTP/1.0 has
/// none (RFC 9112, sections 6.1 and 7). `version` is 11 for HTTP/1.1.
bool
hasValidTransferCoding(const Headers& headers, int version);

/// Returns true if a line begins with a blank. It would be joined to the field
/// before it (RFC 9112, section 5.2), although a sender must not fold lines:
/// the blank may as well belong to the name of a field.
bool
hasFoldedLine(std::string_view lines);

/// Returns the lines at the start of these bytes that belong to a head.
std::string_view
headLines(std::string_view bytes);

} // namespace lentilrack::net
