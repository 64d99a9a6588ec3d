#pragma once

#include "core/time.h"

#include <map>
#include <string>

namespace lentilrack::core {

/// Limits and prices for ordering backend servers of a service, as the desired
/// state sets them.
struct AutoscalingSpec
{
  /// Limits on the number of servers of one failure domain. Reclaimable servers
  /// count too.
  int minServers = 1;
  int maxServers = 1;
  /// Time from the order of a server until it serves.
  Millis bootTime{ 0 };
  /// Price of a reclaimable server as a fraction of the price of an ordinary
  /// one. 0 if the provider offers no reclaimable servers.
  double reclaimablePriceFactor = 0;
  /// Price of a server for each second, by failure domain.
  std::map<std::string, double> pricePerSecond{};

  bool operator==(const AutoscalingSpec&) const = default;
};

} // namespace lentilrack::core
