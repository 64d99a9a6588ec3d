#include "net/log.h"
#include "net/settings.h"
#include "standins/fleet.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace lentilrack::standins {

namespace {

struct Settings
{
  std::string config;
  std::string addressFile;
};

std::optional<FleetConfig>
readConfig(const std::string& path, const net::Logger& log)
{
  if (path.empty()) {
    return FleetConfig{};
  }
  std::ifstream file(path);
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  if (!file) {
    log.error("cannot read {}", path);
    return std::nullopt;
  }
  auto config = FleetConfig::parse(text);
  if (!config) {
    log.error("{}: {}", path, config.error().text());
    return std::nullopt;
  }
  return std::move(config).value();
}

/// Writes a temporary file and renames it, so that a reader never sees an
/// incomplete file. Returns false if that fails.
bool
writeAddresses(const std::string& path, const wire::Json& addresses)
{
  const auto temporary = path + ".tmp";
  std::ofstream file(temporary);
  file << addresses.dump(2) << "\n";
  file.close();
  std::error_code error;
  if (file) {
    std::filesystem::rename(temporary, path, error);
  }
  return file && !error;
}

int
run(const Settings& settings)
{
  const net::Logger log("standins");
  auto config = readConfig(settings.config, log);
  if (!config) {
    return 2;
  }
  net::asio::io_context io(1);
  net::asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
  Fleet fleet(io, std::move(*config));
  if (!writeAddresses(settings.addressFile, fleet.addresses())) {
    log.error("cannot write {}", settings.addressFile);
    return 1;
  }
  log.info("serving {} engines, {} services, {} scorers",
           fleet.engines().size(),
           fleet.services().size(),
           fleet.scorers().size());
  io.run();
  return 0;
}

} // namespace

} // namespace lentilrack::standins

int
main(int argc, char** argv)
{
  using namespace lentilrack;
  standins::Settings settings;
  net::SettingsBuilder builder(
    "lentilrack-standins",
    "Runs stand-ins of the outside systems on loopback addresses.");
  builder.text("config", &settings.config, "JSON file; all fields are optional")
    .requiredText("address-file",
                  &settings.addressFile,
                  "file to which the addresses are written");
  if (const auto code = builder.parse(argc, argv)) {
    return *code;
  }
  try {
    return standins::run(settings);
  } catch (const std::exception& exception) {
    net::Logger("standins").error("{}", exception.what());
    return 1;
  }
}
