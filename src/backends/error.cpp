#include "backends/error.h"

#include <string>

namespace lentilrack::backends {

namespace {

class BackendCategory : public std::error_category
{
public:
  const char* name() const noexcept override { return "backends"; }

  std::string message(int value) const override
  {
    switch (static_cast<BackendError>(value)) {
      case BackendError::Unavailable:
        return "service unavailable";
      case BackendError::BadResponse:
        return "malformed response";
      case BackendError::NotFound:
        return "not found";
      case BackendError::Conflict:
        return "revision conflict";
      case BackendError::RateLimited:
        return "rate limit reached";
      case BackendError::OutcomeUnknown:
        return "outcome of the write is unknown";
      case BackendError::Refused:
        return "refused by the service";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category&
backendCategory()
{
  static const BackendCategory kCategory;
  return kCategory;
}

std::error_code
make_error_code(BackendError error) // NOLINT: name required by the library
{
  return { static_cast<int>(error), backendCategory() };
}

} // namespace lentilrack::backends
