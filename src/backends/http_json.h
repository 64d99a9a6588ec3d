#pragma once

#include "backends/error.h"
#include "core/result.h"
#include "net/http_client.h"
#include "wire/object_reader.h"

#include <string>
#include <string_view>

namespace lentilrack::backends {

/// Returns an HTTP call without a body.
net::HttpCall
callWithoutBody(core::Endpoint endpoint,
                std::string method,
                std::string target,
                core::Millis timeout);

/// Returns an HTTP call that posts a JSON document.
net::HttpCall
jsonCall(core::Endpoint endpoint,
         std::string target,
         const wire::Json& body,
         core::Millis timeout);

/// Returns no error if the response is complete and its status is 2xx;
/// otherwise Unavailable, BadResponse, NotFound, Conflict, RateLimited or
/// Refused.
std::error_code
responseError(const net::HttpResult& result);

/// Percent-encodes everything but unreserved characters and '/'.
std::string
percentEncoded(std::string_view text);

/// Parses a response body as a JSON object and returns the result of
/// `read(ObjectReader&)`, or BadResponse if the body is malformed. Unknown
/// fields are allowed, because later versions of external protocols may add
/// fields.
template<typename Function>
auto
decodeResponse(const std::string& body, Function read)
  -> core::Result<decltype(read(std::declval<wire::ObjectReader&>()))>
{
  const auto json = wire::parseJson(body);
  if (!json) {
    return make_error_code(BackendError::BadResponse);
  }
  auto decoded = wire::decodeWith([&] {
    wire::ObjectReader reader(json.value());
    return read(reader);
  });
  if (!decoded) {
    return make_error_code(BackendError::BadResponse);
  }
  return std::move(decoded).value();
}

} // namespace lentilrack::backends
