#include "gateway_process.h"

#include "net/asio.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lentilrack::soak {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kPorts = 5;

/// Returns free ports of the address.
std::vector<std::uint16_t>
freePorts(const std::string& address)
{
  using Tcp = boost::asio::ip::tcp;
  boost::asio::io_context io;
  std::vector<Tcp::acceptor> acceptors;
  std::vector<std::uint16_t> ports;
  for (std::size_t i = 0; i < kPorts; ++i) {
    acceptors.emplace_back(
      io, Tcp::endpoint(boost::asio::ip::make_address(address), 0));
    ports.push_back(acceptors.back().local_endpoint().port());
  }
  return ports;
}

} // namespace

GatewayProcess::GatewayProcess(GatewayOptions options,
                               std::string instance,
                               const std::string& address,
                               core::Endpoint store)
  : mOptions(std::move(options))
  , mInstance(std::move(instance))
  , mAddress(address)
  , mStore(std::move(store))
  , mPorts(freePorts(address))
{
}

GatewayProcess::~GatewayProcess()
{
  kill();
}

Json
GatewayProcess::settings(const std::vector<core::Endpoint>& seeds) const
{
  Json seedList = Json::array();
  for (const auto& seed : seeds) {
    seedList.push_back(seed.text());
  }
  const auto at = [this](std::size_t port) {
    return core::Endpoint{ mAddress, mPorts[port] }.text();
  };
  return { { "node", mInstance },
           { "zone", "domain-1" },
           { "ip", mAddress },
           { "listen",
             { { "front", at(0) },
               { "readiness", at(1) },
               { "control", at(2) },
               { "directory", at(3) } } },
           { "seeds", seedList },
           { "limits",
             { { "cpu_share", 0.25 },
               { "memory_mb", mOptions.memoryMegabytes } } },
           { "bounds",
             { { "grace_s", 4 },
               { "lease_ms", 3000 },
               { "config_ms", 3000 },
               { "drain_ms", 3000 },
               { "status_s", 120 },
               { "report_window_s", 2 },
               { "usage_late_s", 10 } } },
           { "platform",
             { { "address", mStore.text() },
               { "writes_per_s", 1200 },
               { "reads_per_s", 6000 } } },
           { "cloud",
             { { "address", mOptions.provider.text() },
               { "duty_per_s", 50 },
               { "duties", { "usage" } } } } };
}

void
GatewayProcess::start(const std::vector<core::Endpoint>& seeds)
{
  const auto file = mOptions.folder + "/" + mInstance + ".json";
  const auto logFile = mOptions.folder + "/" + mInstance + ".log";
  std::ofstream(file) << settings(seeds).dump(2);
  const auto port = std::to_string(mPorts[4]);
  const std::array<const char*, 6> arguments{
    mOptions.program.c_str(), "--settings", file.c_str(),
    "--metrics-port",         port.c_str(), nullptr
  };
  ++mStarts;
  mPid = ::fork();
  if (mPid != 0) {
    return;
  }
  // The process also ends if the soak test is killed.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log =
    ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  // Sockets of the soak test must not stay open in the new process.
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::execv(arguments[0], const_cast<char* const*>(arguments.data()));
  std::_Exit(EXIT_FAILURE);
}

void
GatewayProcess::signal(int number) const
{
  if (mPid > 0) {
    ::kill(mPid, number);
  }
}

std::size_t
GatewayProcess::peakMemory() const
{
  constexpr std::size_t kBytesPerKilobyte = 1024;
  std::ifstream status("/proc/" + std::to_string(mPid) + "/status");
  for (std::string word; status >> word;) {
    std::size_t kilobytes = 0;
    if (word == "VmHWM:" && status >> kilobytes) {
      return kilobytes * kBytesPerKilobyte;
    }
  }
  return 0;
}

bool
GatewayProcess::hasEnded()
{
  if (mPid > 0 && ::waitpid(mPid, &mExitStatus, WNOHANG) == mPid) {
    mPid = 0;
  }
  return mPid == 0;
}

void
GatewayProcess::kill()
{
  if (mPid > 0) {
    ::kill(mPid, SIGKILL);
    ::waitpid(mPid, nullptr, 0);
    mPid = 0;
  }
}

} // namespace lentilrack::soak
