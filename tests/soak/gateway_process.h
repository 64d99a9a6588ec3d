#pragma once

#include "core/endpoint.h"

#include <nlohmann/json.hpp>

#include <string>
#include <sys/types.h>
#include <vector>

namespace lentilrack::soak {

/// What all gateway processes of a run have in common.
struct GatewayOptions
{
  std::string program;
  /// Folder for settings and logs.
  std::string folder;
  core::Endpoint provider;
  /// Memory limit of a process, as its settings state it.
  int memoryMegabytes = 260;
};

/// A lentilrack-gateway on a loopback address of its own.
class GatewayProcess
{
public:
  /// `store` is the address at which this process reaches the store.
  GatewayProcess(GatewayOptions options,
                 std::string instance,
                 const std::string& address,
                 core::Endpoint store);
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;
  ~GatewayProcess();

  const std::string& instance() const { return mInstance; }
  core::Endpoint callerEndpoint() const { return { mAddress, mPorts[0] }; }
  core::Endpoint readinessEndpoint() const { return { mAddress, mPorts[1] }; }
  core::Endpoint peerEndpoint() const { return { mAddress, mPorts[2] }; }
  core::Endpoint metricsEndpoint() const { return { mAddress, mPorts[4] }; }
  /// Number of times the process was started.
  int starts() const { return mStarts; }
  bool isRunning() const { return mPid > 0; }

  void start(const std::vector<core::Endpoint>& seeds);
  void signal(int number) const;
  /// Returns the most memory that the process has used, in bytes; 0 if it does
  /// not run.
  std::size_t peakMemory() const;
  /// Returns true if the process has ended. Must be called for the process to
  /// be released.
  bool hasEnded();
  /// Exit status of the last process that ended by itself, as waitpid() gives
  /// it.
  int exitStatus() const { return mExitStatus; }
  /// Kills the process and waits for its end.
  void kill();

private:
  nlohmann::json settings(const std::vector<core::Endpoint>& seeds) const;

  GatewayOptions mOptions;
  std::string mInstance;
  std::string mAddress;
  core::Endpoint mStore;
  std::vector<std::uint16_t> mPorts;
  pid_t mPid = 0;
  int mStarts = 0;
  int mExitStatus = 0;
};

} // namespace lentilrack::soak
