#include "core/ownership.h"

#include <xxhash.h>

namespace lentilrack::core {

namespace {

std::uint64_t
rendezvousHash(const std::string& server, const std::string& dispatcher)
{
  // Hashing with a seed combines both names without concatenating them.
  const auto seed = XXH3_64bits(dispatcher.data(), dispatcher.size());
  return XXH3_64bits_withSeed(server.data(), server.size(), seed);
}

const Member*
highestRanked(const BackendServer& server,
              const std::vector<Member>& dispatchers,
              bool sameDomainOnly)
{
  const Member* best = nullptr;
  std::uint64_t bestHash = 0;
  for (const auto& member : dispatchers) {
    if (sameDomainOnly && member.failureDomain != server.failureDomain) {
      continue;
    }
    const auto hash = rendezvousHash(server.id, member.id.name);
    if (best == nullptr || hash > bestHash ||
        (hash == bestHash && member.id.name < best->id.name)) {
      best = &member;
      bestHash = hash;
    }
  }
  return best;
}

} // namespace

std::string
ownerOf(const BackendServer& server, const std::vector<Member>& dispatchers)
{
  const auto* best = highestRanked(server, dispatchers, true);
  if (best == nullptr) {
    best = highestRanked(server, dispatchers, false);
  }
  return best == nullptr ? "" : best->id.name;
}

} // namespace lentilrack::core
