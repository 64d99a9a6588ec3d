#include "core/shutdown_admission.h"

namespace lentilrack::core {

std::optional<Millis>
ShutdownAdmission::timeFor(Millis timeLeft) const
{
  if (allowed <= timeLeft) {
    return allowed;
  }
  return isRepeatable && targetLatency <= timeLeft ? std::optional(timeLeft)
                                                   : std::nullopt;
}

} // namespace lentilrack::core
