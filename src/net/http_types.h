#pragma once

#include "core/endpoint.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lentilrack::net {

using Headers = std::vector<std::pair<std::string, std::string>>;

bool
equalsIgnoringCase(std::string_view a, std::string_view b);

/// Returns the value of a header, whose name is compared without regard to
/// case; empty if the header is absent.
std::string
headerValue(const Headers& headers, std::string_view name);

/// Returns the values of all headers with this name, which is compared without
/// regard to case.
std::vector<std::string_view>
headerValues(const Headers& headers, std::string_view name);

/// Removes all headers with one of these names, which are compared without
/// regard to case.
void
removeHeaders(Headers& headers, std::span<const std::string_view> names);

/// Returns the options of all Connection headers, without blanks around them.
/// They name the headers that concern only this connection.
std::vector<std::string_view>
connectionOptions(const Headers& headers);

/// Returns the text as it stands in the query of a target: all bytes but
/// unreserved characters (RFC 3986) are encoded.
std::string
percentEncoded(std::string_view text);

struct HttpRequest
{
  std::string method = "GET";
  /// Path with query, not decoded.
  std::string target = "/";
  Headers headers;
  std::string body;

  /// Returns the target without the query.
  std::string path() const;
  /// Returns the decoded value of a query parameter; empty if it is absent.
  std::string query(std::string_view name) const;
  std::string header(std::string_view name) const
  {
    return headerValue(headers, name);
  }
  /// Returns the token of "Authorization: Bearer ..."; empty if it is absent.
  std::string bearerToken() const;
};

struct HttpResponse
{
  int status = 200;
  std::string contentType = "application/json";
  Headers headers;
  std::string body;
  /// Accounts for the memory of the body of a received response.
  std::shared_ptr<const void> memory = nullptr;
};

} // namespace lentilrack::net
