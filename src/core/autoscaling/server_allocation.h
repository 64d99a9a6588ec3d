#pragma once

#include "core/autoscaling/autoscaling_spec.h"
#include "core/autoscaling/server_counts.h"

#include <map>
#include <set>
#include <string>

namespace lentilrack::core {

/// How a number of servers is distributed over failure domains and kinds.
struct AllocationRequest
{
  explicit AllocationRequest(const AutoscalingSpec& limitsAndPrices)
    : spec(limitsAndPrices)
  {
  }

  const AutoscalingSpec& spec;
  std::set<std::string> failureDomains;
  int servers = 0;
  /// Number of servers that must remain if any one failure domain loses its
  /// reclaimable servers.
  int requiredAfterLoss = 0;
  /// Maximum share of reclaimable servers, since several failure domains may
  /// lose theirs one after the other.
  double maxReclaimableShare = 0.4;
  /// Maximum numbers of pools in which no more servers are available.
  std::map<ServerPool, int> maximumByPool;
};

/// Distributes the servers. The failure domains get nearly equal numbers,
/// cheaper ones somewhat more. Servers are added one by one in a fixed order,
/// so that a small change of the number changes few pools. Returns fewer
/// servers if the limits do not allow more, and more if the minimum numbers
/// require them.
CountsByDomain
allocateToDomains(const AllocationRequest& request);

} // namespace lentilrack::core
