#pragma once

#include <chrono>

namespace lentilrack::core {

/// Monotonic clock. Code in core does not read it; callers pass in the time.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Millis = std::chrono::milliseconds;

} // namespace lentilrack::core
