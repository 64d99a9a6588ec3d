#include "net/random.h"

#include <fmt/format.h>
#include <sodium.h>

#include <array>
#include <cstdint>

namespace lentilrack::net {

double
randomFraction()
{
  return static_cast<double>(randombytes_random()) / 4294967296.0;
}

std::string
randomHex()
{
  std::array<std::uint64_t, 2> bits{};
  randombytes_buf(bits.data(), sizeof bits);
  return fmt::format("{:016x}{:016x}", bits[0], bits[1]);
}

} // namespace lentilrack::net
