#include "platform/error.h"

#include <string>

namespace lentilrack::platform {

namespace {

class PlatformCategory : public std::error_category
{
public:
  const char* name() const noexcept override { return "platform"; }

  std::string message(int value) const override
  {
    switch (static_cast<PlatformError>(value)) {
      case PlatformError::Unavailable:
        return "service unavailable";
      case PlatformError::BadAnswer:
        return "malformed answer";
      case PlatformError::NotFound:
        return "not found";
      case PlatformError::Conflict:
        return "revision conflict";
      case PlatformError::RateLimited:
        return "rate limit reached";
      case PlatformError::OutcomeUnknown:
        return "outcome of the write is unknown";
      case PlatformError::Refused:
        return "refused by the service";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category&
platformCategory()
{
  static const PlatformCategory kCategory;
  return kCategory;
}

std::error_code
make_error_code(PlatformError error) // NOLINT: name required by the library
{
  return { static_cast<int>(error), platformCategory() };
}

} // namespace lentilrack::platform
