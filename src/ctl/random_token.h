#pragma once

#include <cstddef>
#include <string>

namespace lentilrack::ctl {

/// Bytes from the system's generator, base64url without padding. Fit for
/// tokens.
std::string
randomBase64Url(std::size_t bytes);

/// A bearer token of 256 bits.
std::string
generateToken();

} // namespace lentilrack::ctl
