#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::gateway {

/// Time bounds that the deployment sets.
struct DeploymentBounds
{
  /// From SIGTERM until the process is killed.
  core::Millis shutdownGrace{ 8'000 };
  /// Pause between orders of two holders to one server.
  core::Millis leaderHandoverDelay{ 3'000 };
  /// How long the results of a batch are kept after its submission.
  core::Millis resultRetention{ 120'000 };
  /// Longest lifetime of an address answer.
  core::Millis maxAddressTtl{ 5'000 };
};

/// What a process is told at its start, and again on SIGHUP.
struct ProcessSettings
{
  /// Name of the instance; unique.
  std::string instance;
  std::string failureDomain;
  /// Address of the machine, without a port.
  std::string address;
  /// Where the process shows its metrics; 0: nowhere.
  std::uint16_t metricsPort = 0;
  /// Absent addresses are not served by this process.
  std::optional<core::Endpoint> callerAddress;
  std::optional<core::Endpoint> readinessAddress;
  std::optional<core::Endpoint> peerAddress;
  std::optional<core::Endpoint> addressServiceAddress;
  /// Peers that may be asked before any other is known.
  std::vector<core::Endpoint> seeds;
  core::Endpoint store;
  /// Calls a second that all processes together may make.
  double storeWritesPerSecond = 400;
  double storeReadsPerSecond = 2'000;
  /// Largest value of one key.
  std::size_t storeValueBytes = 1024 * 1024;
  core::Millis minLeaseTtl{ 1'000 };
  std::size_t memoryLimitBytes = 110UL * 1024 * 1024;
  DeploymentBounds bounds;
};

} // namespace lentilrack::gateway
