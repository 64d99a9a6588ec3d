#pragma once

#include <string>

namespace lentilrack::net {

/// A random number in [0, 1), for backoff.
double
randomFraction();

/// 32 random hexadecimal digits, for identifiers that nobody can guess or draw
/// twice.
std::string
randomHex();

} // namespace lentilrack::net
