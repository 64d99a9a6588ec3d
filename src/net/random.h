#pragma once

#include <string>

namespace lentilrack::net {

/// Returns a random number in [0, 1), for the jitter of backoff delays.
double
randomFraction();

/// Returns 32 random hexadecimal digits, for identifiers that must be unique
/// and hard to guess.
std::string
randomHex();

} // namespace lentilrack::net
