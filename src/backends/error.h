#pragma once

#include <system_error>

namespace lentilrack::backends {

/// Errors of the backends layer. Errors of the net layer and HTTP statuses are
/// turned into these.
enum class BackendError
{
  /// No answer: down, cut off or too slow.
  Unavailable = 1,
  /// An answer that does not follow the published form.
  BadResponse,
  NotFound,
  /// A compare-and-swap met another revision.
  Conflict,
  /// The rate limit of the service or of our own call budget is used up.
  RateLimited,
  /// The write may or may not have taken effect; read back to find out.
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
