#pragma once

#include <compare>
#include <map>
#include <string>

namespace lentilrack::core {

/// Servers of one service that are ordered together: one kind in one failure
/// domain.
struct ServerPool
{
  std::string failureDomain;
  bool isReclaimable = false;

  auto operator<=>(const ServerPool&) const = default;
};

/// Number of servers of a service in one failure domain, by kind.
struct ServerCounts
{
  int ordinary = 0;
  int reclaimable = 0;

  int total() const { return ordinary + reclaimable; }
  int& ofKind(bool isReclaimable)
  {
    return isReclaimable ? reclaimable : ordinary;
  }
  int ofKind(bool isReclaimable) const
  {
    return isReclaimable ? reclaimable : ordinary;
  }

  bool operator==(const ServerCounts&) const = default;
};

/// Numbers of servers of a service, by failure domain.
using CountsByDomain = std::map<std::string, ServerCounts>;

/// Returns the number of servers over all failure domains.
inline int
totalServers(const CountsByDomain& counts)
{
  int total = 0;
  for (const auto& [domain, count] : counts) {
    total += count.total();
  }
  return total;
}

} // namespace lentilrack::core
