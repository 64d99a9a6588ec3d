#pragma once

#include "fault_proxy.h"
#include "gateway_process.h"
#include "net/http_client.h"
#include "promise_checker.h"
#include "soak_servers.h"
#include "store_server.h"
#include "support/flooding_server.h"

#include <pcg_random.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::soak {

struct SoakOptions
{
  std::uint64_t seed = 1;
  /// How long faults are injected. The run ends some seconds later.
  core::Millis duration{ 30'000 };
  int gateways = 4;
  /// Memory limit of a gateway, as its settings state it.
  int memoryMegabytes = 260;
  /// Number of servers that send without end.
  int floodingServers = 0;
  int callers = 12;
  /// Path of lentilrack-gateway.
  std::string program;
  /// Folder for settings and logs.
  std::string folder;
};

/// Runs gateway processes under load and faults that follow from the seed, and
/// checks the guarantees while they run. Faults come in series and overlap.
class SoakRun
{
public:
  SoakRun(net::asio::io_context& io, SoakOptions options);

  /// Runs to the end. PromiseChecker then holds what was found.
  net::Awaitable<void> run();
  /// Returns the most memory that a gateway has used, in bytes.
  std::size_t peakMemory() const { return mPeakMemory; }
  const PromiseChecker& checker() const { return mChecker; }
  const std::map<std::string, int>& faults() const { return mFaults; }

private:
  /// An API key over the time of the run.
  struct Key
  {
    std::string text;
    std::string organisation;
    bool isPermanent = false;
    /// Version of the desired state that removed the key; 0 if it is valid.
    std::int64_t removedIn = 0;
  };
  struct Machine
  {
    std::unique_ptr<FaultProxy> store;
    std::unique_ptr<GatewayProcess> process;
    /// Version of the desired state that this process was last seen with, in
    /// its present lifetime.
    std::int64_t seenVersion = 0;
    /// Until when calls of this process are excused because it was stopped or
    /// cut off.
    core::TimePoint excusedUntil{};
    bool isDisturbed = false;
  };

  void createServers();
  /// Creates servers that send without end, for the plain service.
  void createFloodingServers();
  void createMachines();
  void writeDesiredState();
  net::Awaitable<void> untilReady();
  net::Awaitable<void> watchVersions();
  net::Awaitable<void> watchExits();

  net::Awaitable<void> callRepeatedly(int caller);
  net::Awaitable<void> sendRequest(net::HttpClient& client, std::string id);
  net::Awaitable<void> trainRepeatedly(std::string organisation,
                                       std::string key);
  net::Awaitable<bool> submitBatch(std::string id, std::string key);
  net::Awaitable<void> readBatch(std::string id, std::string key);
  net::Awaitable<net::HttpResult> callBatch(std::string method,
                                            std::string target,
                                            std::string key);

  net::Awaitable<void> injectFaults();
  net::Awaitable<void> kill(Machine& machine);
  net::Awaitable<void> terminate(Machine& machine);
  net::Awaitable<void> stop(Machine& machine);
  net::Awaitable<void> cutFromStore(Machine& machine);
  net::Awaitable<void> disturbStore();
  void changeKeys();
  void announceVersion();
  void heal();
  net::Awaitable<void> checkRecovery();

  /// Returns a machine that no fault disturbs, or null if too many are
  /// disturbed.
  Machine* undisturbedMachine();
  Machine& anyMachine();
  std::vector<core::Endpoint> seeds() const;
  bool isExcused(const std::string& instance) const;
  void excuse(Machine& machine);
  double draw();
  core::Millis drawTime(core::Millis shortest, core::Millis longest);

  net::asio::io_context& mIo;
  SoakOptions mOptions;
  pcg64 mRandom;
  PromiseChecker mChecker;
  StoreServer mStore;
  SoakProvider mProvider;
  net::HttpClient mClient;
  std::vector<std::unique_ptr<SoakServer>> mServers;
  std::vector<std::unique_ptr<testing::FloodingServer>> mFloodingServers;
  std::vector<Machine> mMachines;
  std::vector<Key> mKeys;
  std::map<std::string, int> mFaults;
  std::int64_t mStateVersion = 0;
  std::int64_t mWeightVersion = 1;
  int mBatches = 0;
  std::size_t mPeakMemory = 0;
  bool mIsEnding = false;
};

} // namespace lentilrack::soak
