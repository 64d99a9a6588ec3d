#pragma once

#include "core/time.h"

#include <optional>

namespace lentilrack::core {

/// Decides whether a process that shuts down may still begin a request. Callers
/// may use the address of the process for some seconds after it has announced
/// that it leaves. A request that it passes on and cannot complete in time is
/// lost to its caller, while one that it rejects at once may be sent elsewhere.
struct ShutdownAdmission
{
  /// Time that the caller and the route allow for the request.
  Millis allowed{ 0 };
  /// Time within which a response is usually expected.
  Millis targetLatency{ 0 };
  /// True if the caller may repeat the request whatever has become of it.
  bool isRepeatable = false;

  /// Returns the time that the request may take if the process ends after
  /// `timeLeft`. Returns nothing if the request must be rejected. A request
  /// that may not be repeated needs all of the time that it is allowed; another
  /// one may be given less, as long as it is likely to be answered.
  std::optional<Millis> timeFor(Millis timeLeft) const;
};

} // namespace lentilrack::core
