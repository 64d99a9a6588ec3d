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

/// The variable with the path of the settings file, unless an option names it.
constexpr const char* kSettingsVariable = "LENTILRACK_NODE_FILE";
/// The part of the store's calls a second that one process may take. Few
/// processes make most of the calls, since the others follow them.
constexpr double kStoreShare = 1.0 / 16;
/// A store that is slowed 60 times answers within 0.3 s.
constexpr core::Millis kStoreTimeout{ 700 };
constexpr core::Millis kFirstStorePause{ 40 };
constexpr core::Millis kLongestStorePause{ 400 };

struct CommandLine
{
  std::string settings;
  std::uint16_t metricsPort = 0;
};

std::optional<CommandLine>
readCommandLine(int argc, const char** argv)
{
  char* path = nullptr;
  int metricsPort = 0;
  const std::array<poptOption, 4> options{
    poptOption{ "metrics-port",
                'm',
                POPT_ARG_INT,
                &metricsPort,
                0,
                "Port for GET /metrics (default: 0, not served)",
                "PORT" },
    poptOption{ "settings",
                's',
                POPT_ARG_STRING,
                &path,
                0,
                "Settings file (default: the path in LENTILRACK_NODE_FILE)",
                "FILE" },
    POPT_AUTOHELP{ nullptr, 0, 0, nullptr, 0, nullptr, nullptr }
  };
  const auto context =
    poptGetContext("lentilrack-gateway", argc, argv, options.data(), 0);
  const int parsed = poptGetNextOpt(context);
  const char* extra = poptGetArg(context);
  const bool isPort = metricsPort >= 0 &&
                      metricsPort <= std::numeric_limits<std::uint16_t>::max();
  const bool isBad = parsed < -1 || extra != nullptr || !isPort;
  if (isBad) {
    fmt::print(stderr,
               "lentilrack-gateway: {}\n",
               parsed < -1 ? poptStrerror(parsed)
               : isPort    ? "unexpected argument"
                           : "--metrics-port is not a port");
  }
  poptFreeContext(context);
  if (isBad) {
    return std::nullopt;
  }
  CommandLine line;
  line.metricsPort = static_cast<std::uint16_t>(metricsPort);
  if (path != nullptr) {
    line.settings = path;
    std::free(path);
    return line;
  }
  const char* variable = std::getenv(kSettingsVariable);
  if (variable == nullptr) {
    fmt::print(
      stderr, "lentilrack-gateway: {} is not set\n", kSettingsVariable);
    return std::nullopt;
  }
  line.settings = variable;
  return line;
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

/// A process without addresses has nothing to serve: what must last is in the
/// store, so a storage machine only waits for its end.
int
waitForEnd(DecisionLog& log)
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
  const auto line = readCommandLine(argc, argv);
  const platform::Format format;
  auto settings = line ? readSettings(line->settings, format)
                       : std::optional<ProcessSettings>();
  if (!settings || sodium_init() < 0) {
    return EXIT_FAILURE;
  }
  settings->metricsPort = line->metricsPort;
  std::signal(SIGPIPE, SIG_IGN);
  DecisionLog log;
  log.info("started",
           { { "instance", settings->instance },
             { "failure_domain", settings->failureDomain },
             { "version", LENTILRACK_VERSION } });
  if (!settings->callerAddress && !settings->addressServiceAddress) {
    std::signal(SIGHUP, SIG_IGN);
    return waitForEnd(log);
  }
  net::asio::io_context io(1);
  backends::KvClientOptions options;
  options.endpoints = { settings->store };
  options.timeout = kStoreTimeout;
  options.callsPerSecond = kStoreShare * (settings->storeReadsPerSecond +
                                          settings->storeWritesPerSecond);
  options.initialBackoff = kFirstStorePause;
  options.maxBackoff = kLongestStorePause;
  platform::StoreClient store(io, options);
  Context context(io, *settings, format, store, log);
  Gateway gateway(context);
  if (!gateway.start()) {
    return EXIT_FAILURE;
  }
  net::asio::signal_set ends(io, SIGTERM, SIGINT);
  ends.async_wait([&](boost::system::error_code error, int) {
    if (!error) {
      gateway.leave([&io] { io.stop(); });
    }
  });
  net::asio::signal_set reloads(io, SIGHUP);
  std::function<void()> awaitReload = [&] {
    reloads.async_wait([&](boost::system::error_code error, int) {
      if (error) {
        return;
      }
      const auto read = readSettings(line->settings, format);
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
