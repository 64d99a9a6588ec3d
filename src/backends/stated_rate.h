#pragma once

#include "core/endpoint.h"
#include "net/http_client.h"

#include <functional>
#include <optional>

namespace lentilrack::backends {

/// Response header with the requests per second that a server takes from all
/// callers together, as a decimal number. A server that takes any number sends
/// no such header.
inline constexpr const char* kStatedRateHeader = "Request-Rate-Limit";

/// Called for each response with the rate that it states, if any.
using RateHook =
  std::function<void(const core::Endpoint& server, std::optional<double> rate)>;

/// Makes the call report the rate that its response states. A malformed value
/// is ignored. Does nothing without a hook.
void
reportStatedRate(net::HttpCall& call, const RateHook& hook);

} // namespace lentilrack::backends
