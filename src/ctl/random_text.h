#pragma once

#include <cstddef>
#include <string>

namespace lentilrack::ctl {

/// Bytes from the system's generator, base64url without padding. Fit for
/// tokens.
std::string
randomText(std::size_t bytes);

/// A bearer token of 256 bits.
std::string
newToken();

} // namespace lentilrack::ctl
