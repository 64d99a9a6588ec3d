#pragma once

#include "backends/error.h"
#include "core/result.h"
#include "net/http_client.h"
#include "wire/object_reader.h"

#include <string>
#include <string_view>

namespace lentilrack::backends {

/// A call without a body.
net::HttpCall
callWithoutBody(core::Endpoint endpoint,
                std::string method,
                std::string target,
                core::Millis timeout);

/// A POST of a JSON document.
net::HttpCall
jsonCall(core::Endpoint endpoint,
         std::string target,
         const wire::Json& body,
         core::Millis timeout);

/// No error for a whole answer with a 2xx status; otherwise Unavailable,
/// BadResponse, NotFound, Conflict, RateLimited or Refused.
std::error_code
responseError(const net::HttpResult& result);

/// Percent-encodes everything but unreserved characters and '/'.
std::string
percentEncoded(std::string_view text);

/// Reads the JSON object of an answer with `read(ObjectReader&)`; BadResponse
/// if it is malformed. Fields that are not asked for are allowed, because a
/// later version of an outside protocol may add some.
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
