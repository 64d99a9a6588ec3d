#include "gateway/gateway.h"
#include "platform/format.h"
#include "platform/store_client.h"

#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <popt.h>
#include <sodium.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <limits>
#include <optional>

namespace lentilrack::gateway {

namespace {

/// Environment variable with the path of the settings file. Used if the command
/// line names no file.
constexpr const char* kSettingsVariable = "LENTILRACK_NODE_FILE";
/// Share of the store's call limit that one process may use. The share does not
/// depend on the number of processes, because only the few processes that read
/// the store directly make many calls.
constexpr double kStoreCallShare = 1.0 / 16;
/// A store that is slowed down by a factor of 60 still responds within 0.3 s,
/// which is less than this timeout.
constexpr core::Millis kStoreTimeout{ 700 };
constexpr core::Millis kMinStoreBackoff{ 40 };
constexpr core::Millis kMaxStoreBackoff{ 400 };
constexpr double kMaxWaitingValue = 10'000;

struct CommandLine
{
  std::string settings;
  std::uint16_t metricsPort = 0;
  double waitingValue = ProcessSettings().waitingValue;
  bool isServerOrderDryRun = false;
  std::optional<double> hedgeLimitPercent;
};

/// Values as popt writes them.
struct OptionValues
{
  char* path = nullptr;
  int metricsPort = 0;
  int isDryRun = 0;
  double waitingValue = ProcessSettings().waitingValue;
  double hedgeLimit = 0;
  bool hasHedgeLimit = false;
};

/// Value that poptGetNextOpt() returns for --hedge-limit, which has no default.
constexpr int kHedgeLimitOption = 1;

std::array<poptOption, 7>
optionTable(OptionValues& values)
{
  return { poptOption{ "hedge-limit",
                       '\0',
                       POPT_ARG_DOUBLE,
                       &values.hedgeLimit,
                       kHedgeLimitOption,
                       "Extra work by second attempts, in percent of the work "
                       "of a service; 0 disables them (default: a fixed rule "
                       "without a limit). The key lentilrack/hedging in the "
                       "store takes precedence",
                       "PERCENT" },
           poptOption{ "metrics-port",
                       'm',
                       POPT_ARG_INT,
                       &values.metricsPort,
                       0,
                       "Port for GET /metrics (default: 0, not served)",
                       "PORT" },
           poptOption{ "settings",
                       's',
                       POPT_ARG_STRING,
                       &values.path,
                       0,
                       "Settings file (default: the path in "
                       "LENTILRACK_NODE_FILE)",
                       "FILE" },
           poptOption{ "waiting-value",
                       'w',
                       POPT_ARG_DOUBLE,
                       &values.waitingValue,
                       0,
                       "Value of a second of waiting of the work of one "
                       "backend server, relative to the price of a server for "
                       "a second (default: 16)",
                       "RATIO" },
           poptOption{ "dry-run-server-orders",
                       'n',
                       POPT_ARG_NONE,
                       &values.isDryRun,
                       0,
                       "Log orders for backend servers instead of sending them",
                       nullptr },
           POPT_AUTOHELP{ nullptr, 0, 0, nullptr, 0, nullptr, nullptr } };
}

/// Returns what is wrong with the values, or null.
const char*
problemIn(const OptionValues& values)
{
  if (values.metricsPort < 0 ||
      values.metricsPort > std::numeric_limits<std::uint16_t>::max()) {
    return "--metrics-port must be between 0 and 65535";
  }
  if (values.hasHedgeLimit && !core::HedgeLimit::isValid(values.hedgeLimit)) {
    return "--hedge-limit must be between 0 and 100";
  }
  if (values.waitingValue < 0 || values.waitingValue > kMaxWaitingValue) {
    return "--waiting-value must be between 0 and 10000";
  }
  return nullptr;
}

std::optional<CommandLine>
readCommandLine(int argc, const char** argv)
{
  OptionValues values;
  const auto options = optionTable(values);
  const auto context =
    poptGetContext("lentilrack-gateway", argc, argv, options.data(), 0);
  int parsed = poptGetNextOpt(context);
  while (parsed >= 0) {
    values.hasHedgeLimit = values.hasHedgeLimit || parsed == kHedgeLimitOption;
    parsed = poptGetNextOpt(context);
  }
  const char* problem = parsed < -1                      ? poptStrerror(parsed)
                        : poptGetArg(context) != nullptr ? "unexpected argument"
                                                         : problemIn(values);
  poptFreeContext(context);
  if (problem != nullptr) {
    fmt::print(stderr, "lentilrack-gateway: {}\n", problem);
    return std::nullopt;
  }
  CommandLine commandLine;
  commandLine.isServerOrderDryRun = values.isDryRun != 0;
  commandLine.metricsPort = static_cast<std::uint16_t>(values.metricsPort);
  commandLine.waitingValue = values.waitingValue;
  if (values.hasHedgeLimit) {
    commandLine.hedgeLimitPercent = values.hedgeLimit;
  }
  if (values.path != nullptr) {
    commandLine.settings = values.path;
    std::free(values.path);
    return commandLine;
  }
  const char* variable = std::getenv(kSettingsVariable);
  if (variable == nullptr) {
    fmt::print(
      stderr, "lentilrack-gateway: {} is not set\n", kSettingsVariable);
    return std::nullopt;
  }
  commandLine.settings = variable;
  return commandLine;
}

std::optional<ProcessSettings>
readSettings(const std::string& path, const WireFormat& format)
{
  std::ifstream file(path);
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  auto settings = format.decodeSettings(text);
  if (!settings) {
    fmt::print(stderr, "{}: {}\n", path, settings.error());
    return std::nullopt;
  }
  return std::move(settings).value();
}

/// Runs a storage machine: waits for the signal to terminate. A storage machine
/// has no addresses and nothing to serve, since all durable data is in the
/// coordination store.
int
waitForTermination(DecisionLog& log)
{
  net::asio::io_context io(1);
  net::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([](auto, int) {});
  io.run();
  log.info("stopped", { { "outcome", "clean" } });
  return EXIT_SUCCESS;
}

int
run(int argc, const char** argv)
{
  const auto commandLine = readCommandLine(argc, argv);
  const platform::Format format;
  auto settings = commandLine ? readSettings(commandLine->settings, format)
                              : std::optional<ProcessSettings>();
  if (!settings || sodium_init() < 0) {
    return EXIT_FAILURE;
  }
  settings->metricsPort = commandLine->metricsPort;
  settings->waitingValue = commandLine->waitingValue;
  settings->isServerOrderDryRun = commandLine->isServerOrderDryRun;
  settings->hedgeLimitPercent = commandLine->hedgeLimitPercent;
  std::signal(SIGPIPE, SIG_IGN);
  DecisionLog log;
  log.info("started",
           { { "instance", settings->instance },
             { "failure_domain", settings->failureDomain },
             { "version", LENTILRACK_VERSION } });
  if (!settings->callerAddress && !settings->addressServiceAddress) {
    std::signal(SIGHUP, SIG_IGN);
    return waitForTermination(log);
  }
  net::asio::io_context io(1);
  backends::KvClientOptions options;
  options.endpoints = { settings->store };
  options.timeout = kStoreTimeout;
  options.callsPerSecond = kStoreCallShare * (settings->storeReadsPerSecond +
                                              settings->storeWritesPerSecond);
  options.initialBackoff = kMinStoreBackoff;
  options.maxBackoff = kMaxStoreBackoff;
  options.readMemory = Context::makeReadMemory(*settings);
  platform::StoreClient store(io, options);
  Context context(io, *settings, format, store, log, options.readMemory);
  Gateway gateway(context);
  if (!gateway.start()) {
    return EXIT_FAILURE;
  }
  net::asio::signal_set terminationSignals(io, SIGTERM, SIGINT);
  terminationSignals.async_wait([&](boost::system::error_code error, int) {
    if (!error) {
      gateway.shutDown([&io] { io.stop(); });
    }
  });
  net::asio::signal_set reloadSignals(io, SIGHUP);
  std::function<void()> awaitReload = [&] {
    reloadSignals.async_wait([&](boost::system::error_code error, int) {
      if (error) {
        return;
      }
      const auto read = readSettings(commandLine->settings, format);
      if (read) {
        context.settings.seeds = read->seeds;
        context.settings.bounds = read->bounds;
      }
      log.info("reload",
               { { "outcome", read ? "taken" : "kept the old settings" } });
      awaitReload();
    });
  };
  awaitReload();
  io.run();
  return EXIT_SUCCESS;
}

} // namespace

} // namespace lentilrack::gateway

int
main(int argc, char** argv)
{
  return lentilrack::gateway::run(argc, const_cast<const char**>(argv));
}
