#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::gateway {

/// Time limits set by the deployment.
struct DeploymentBounds
{
  /// Time from SIGTERM until the process is killed.
  core::Millis shutdownGrace{ 8'000 };
  /// Minimum time between orders of two successive leaders to the same server.
  core::Millis leaderHandoverDelay{ 3'000 };
  /// How long the stored results of a batch are kept after its submission.
  core::Millis resultRetention{ 120'000 };
  /// Maximum time for which callers may cache a list of addresses.
  core::Millis maxAddressTtl{ 5'000 };
  /// Time within which a new desired state must be in force everywhere.
  core::Millis configPropagation{ 2'000 };
  /// Time after which a leaving server must get no more requests.
  core::Millis drainPropagation{ 2'000 };
  /// Length of the windows for which the usage of each organisation is
  /// reported.
  core::Millis usageWindow{ 5'000 };
  /// How long after its end a window may still be reported.
  core::Millis usageReportTime{ 10'000 };
};

/// Address of the provider, and the calls to it that are the duty of one
/// process at a time.
struct ProviderSettings
{
  core::Endpoint endpoint;
  /// Calls that the provider accepts from all processes together.
  double callsPerSecond = 50;
  /// Whether the provider wants reports of the usage of each organisation.
  bool wantsUsageReports = false;
  /// Whether the provider takes orders for the number of backend servers.
  bool takesServerOrders = false;
};

/// Settings that a process reads at its start. On SIGHUP, `seeds` and `bounds`
/// are read again.
struct ProcessSettings
{
  /// Unique name of the instance.
  std::string instance;
  std::string failureDomain;
  /// Address of the machine, without a port.
  std::string address;
  /// Port on which metrics are served; 0 for none.
  std::uint16_t metricsPort = 0;
  /// Addresses on which the process listens. Those that are not set are not
  /// served.
  std::optional<core::Endpoint> callerAddress;
  std::optional<core::Endpoint> readinessAddress;
  std::optional<core::Endpoint> peerAddress;
  std::optional<core::Endpoint> addressServiceAddress;
  /// Peers to contact before any other peer is known.
  std::vector<core::Endpoint> seeds;
  core::Endpoint store;
  /// Limits on the store calls of all processes together.
  double storeWritesPerSecond = 400;
  double storeReadsPerSecond = 2'000;
  /// Maximum size of a value in the store, in bytes.
  std::size_t storeValueBytes = 1024 * 1024;
  /// Minimum time to live of a lease that the store grants.
  core::Millis minLeaseTtl{ 1'000 };
  std::size_t memoryLimitBytes = 110UL * 1024 * 1024;
  /// Empty if no calls to a provider are due.
  std::optional<ProviderSettings> provider;
  /// Value of one second of waiting of the work of one backend server, relative
  /// to the price of an ordinary server for one second. The default is derived
  /// in core::ServerDemand::Limits.
  double waitingValue = 16;
  /// Whether orders for backend servers are only logged, not sent.
  bool isServerOrderDryRun = false;
  /// Share of a processor core that the process may use.
  double processorShare = 0;
  /// Extra work that second attempts (hedges) may cause, in percent of the work
  /// of a service. Without a limit, hedging follows a fixed rule. A limit in
  /// the store takes precedence.
  std::optional<double> hedgeLimitPercent;
  DeploymentBounds bounds;
};

} // namespace lentilrack::gateway
