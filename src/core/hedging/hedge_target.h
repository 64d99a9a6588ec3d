#pragma once

#include "core/server_registry.h"

#include <set>
#include <string>
#include <vector>

namespace lentilrack::core {

/// Why there is no second attempt, or that there may be one.
enum class HedgeVerdict
{
  Allowed,
  /// The service is so busy that a second attempt would slow other requests.
  ServiceBusy,
  /// No server may take a second attempt.
  NoServer,
  /// The limit on extra work is reached.
  OverLimit,
};

/// Name of the verdict in logs and metrics.
const char*
nameOf(HedgeVerdict verdict);

/// The attempts of a request so far.
struct HedgeTargetRequest
{
  /// Ids of the servers that the request was sent to.
  std::set<std::string> tried;
  /// Failure domain of the first attempt's server.
  std::string firstDomain;
  /// Failure domain of this process.
  std::string ownDomain;
  /// Whether the request may wait; see ServerRequirements::isDeferrable.
  bool isDeferrable = false;
};

/// Returns the server for the second attempt, or null. Servers that are
/// leaving, avoided, full, loading or state a request rate are excluded. The
/// slowness of a server is often that of its failure domain, so a server in
/// another domain than the first attempt's is preferred unless it costs clearly
/// more. `random` is in [0, 1) and selects among equally good servers.
const RegisteredServer*
chooseHedgeTarget(const std::vector<const RegisteredServer*>& servers,
                  const HedgeTargetRequest& request,
                  TimePoint now,
                  double random);

} // namespace lentilrack::core
