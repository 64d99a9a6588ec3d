#pragma once

#include <system_error>

namespace lentilrack::backends {

/// Errors of the backends layer, to which errors of the net layer and HTTP
/// statuses are converted.
enum class BackendError
{
  /// No response: the service is down, cannot be reached or is too slow.
  Unavailable = 1,
  /// The response does not follow the protocol.
  BadResponse,
  NotFound,
  /// A compare-and-swap found a revision other than the expected one.
  Conflict,
  /// The rate limit of the service or of this client is exceeded.
  RateLimited,
  /// The write may or may not have taken effect. Only a read can tell.
  OutcomeUnknown,
  /// The service refused the call.
  Refused,
};

const std::error_category&
backendCategory();

std::error_code
make_error_code(BackendError error); // NOLINT: name required by the library

} // namespace lentilrack::backends

template<>
struct std::is_error_code_enum<lentilrack::backends::BackendError>
  : std::true_type
{
};
