#include "backends/http_json.h"

#include "net/error.h"

#include <fmt/format.h>

#include <cctype>

namespace lentilrack::backends {

net::HttpCall
callWithoutBody(core::Endpoint endpoint,
                std::string method,
                std::string target,
                core::Millis timeout)
{
  net::HttpCall call;
  call.endpoint = std::move(endpoint);
  call.request.method = std::move(method);
  call.request.target = std::move(target);
  call.timeout = timeout;
  return call;
}

net::HttpCall
jsonCall(core::Endpoint endpoint,
         std::string target,
         const wire::Json& body,
         core::Millis timeout)
{
  auto call =
    callWithoutBody(std::move(endpoint), "POST", std::move(target), timeout);
  call.request.headers.emplace_back("Content-Type", "application/json");
  // Text from external callers may be invalid UTF-8. dump() would throw for it
  // by default, so invalid bytes are replaced.
  call.request.body =
    body.dump(-1, ' ', false, wire::Json::error_handler_t::replace);
  return call;
}

std::error_code
responseError(const net::HttpResult& result)
{
  if (result.error) {
    return result.error == net::NetError::BadMessage
             ? BackendError::BadResponse
             : BackendError::Unavailable;
  }
  const int status = result.response.status;
  if (status / 100 == 2) {
    return {};
  }
  if (status / 100 == 5) {
    return BackendError::Unavailable;
  }
  switch (status) {
    case 404:
      return BackendError::NotFound;
    case 409:
      return BackendError::Conflict;
    case 429:
      return BackendError::RateLimited;
    default:
      return BackendError::Refused;
  }
}

std::string
percentEncoded(std::string_view text)
{
  constexpr std::string_view kUnreserved = "-._~/";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || kUnreserved.find(c) != kUnreserved.npos) {
      encoded += c;
    } else {
      encoded += fmt::format("%{:02X}", byte);
    }
  }
  return encoded;
}

} // namespace lentilrack::backends
