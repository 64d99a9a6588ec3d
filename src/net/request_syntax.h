#pragma once

#include "net/http_types.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lentilrack::net {

/// What makes a request invalid.
struct RequestProblem
{
  /// "method", "target", "body", "headers", or "headers.NAME" for one header.
  std::string field;
  std::string reason;
};

/// Returns true if the text can be the target of a request: visible ASCII
/// characters without a fragment (RFC 9112, section 3.2). Others must be
/// encoded.
bool
isRequestTarget(std::string_view text);

/// Returns true if the text can be the value of the Host header.
bool
isHost(std::string_view text);

/// Returns the first problem of a request, or nothing if it can be sent as one
/// valid message. Requests from callers and requests to servers pass the same
/// check, so that each request that is taken can be sent on. Ignores headers
/// that frame the message, which each sender writes itself.
std::optional<RequestProblem>
findProblem(const HttpRequest& request);

/// Returns the problem, if any, that only the body of a request can show. Part
/// of findProblem().
std::optional<RequestProblem>
findBodyProblem(const HttpRequest& request);

/// Returns the size of the head of the request in bytes, without the headers
/// that frame the message.
std::size_t
headSize(const HttpRequest& request);

} // namespace lentilrack::net
