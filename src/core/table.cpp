#include "core/table.h"

#include <sodium.h>

#include <array>

namespace lentilrack::core {

const Row*
Table::findRow(std::string_view principal, std::string_view kind) const
{
  for (const auto& wanted : { std::string(kind), std::string("*") }) {
    const auto found = rows.find({ std::string(principal), wanted });
    if (found != rows.end()) {
      return &found->second;
    }
  }
  return nullptr;
}

const Principal*
Table::authenticate(std::string_view token) const
{
  const auto hash = hashToken(token);
  const Principal* match = nullptr;
  for (const auto& [name, principal] : principals) {
    if (principal.tokenHash.size() == hash.size() &&
        sodium_memcmp(principal.tokenHash.data(), hash.data(), hash.size()) ==
          0) {
      match = &principal;
    }
  }
  return match;
}

std::string
hashToken(std::string_view token)
{
  std::array<unsigned char, crypto_generichash_BYTES> digest{};
  crypto_generichash(digest.data(),
                     digest.size(),
                     reinterpret_cast<const unsigned char*>(token.data()),
                     token.size(),
                     nullptr,
                     0);
  std::string hex(digest.size() * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
  hex.pop_back();
  return hex;
}

} // namespace lentilrack::core
