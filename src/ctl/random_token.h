#pragma once

#include <cstddef>
#include <string>

namespace lentilrack::ctl {

/// Returns `bytes` bytes of the system's random generator, encoded as base64url
/// without padding. Suitable for tokens.
std::string
randomBase64Url(std::size_t bytes);

/// Returns a new bearer token with 256 random bits.
std::string
generateToken();

} // namespace lentilrack::ctl
