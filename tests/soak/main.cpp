#include "soak_run.h"

#include <fmt/format.h>
#include <popt.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>

namespace lentilrack::soak {

namespace {

constexpr int kUsageError = 2;

struct CommandLine
{
  long seed = 1;
  int seconds = 30;
  int gateways = 4;
  int callers = SoakOptions().callers;
  int memoryMegabytes = SoakOptions().memoryMegabytes;
  int floodingServers = 0;
  std::string program;
  /// Empty if settings and logs are not kept.
  std::string logs;
};

/// Returns the text that popt has allocated, and frees it.
std::string
takeText(char* text)
{
  std::string result = text != nullptr ? text : "";
  std::free(text);
  return result;
}

bool
readCommandLine(int argc, const char** argv, CommandLine& line)
{
  char* program = nullptr;
  char* logs = nullptr;
  const std::array<poptOption, 10> options{
    poptOption{ "seed", 's', POPT_ARG_LONG, &line.seed, 0, "Seed", "N" },
    poptOption{ "seconds",
                't',
                POPT_ARG_INT,
                &line.seconds,
                0,
                "How long faults are injected (default: 30)",
                "N" },
    poptOption{ "gateways",
                'n',
                POPT_ARG_INT,
                &line.gateways,
                0,
                "Number of gateway processes (default: 4)",
                "N" },
    poptOption{ "callers",
                'c',
                POPT_ARG_INT,
                &line.callers,
                0,
                "Number of callers (default: 12)",
                "N" },
    poptOption{ "memory-mb",
                'm',
                POPT_ARG_INT,
                &line.memoryMegabytes,
                0,
                "Memory limit of a gateway (default: 260)",
                "N" },
    poptOption{ "flooding-servers",
                'f',
                POPT_ARG_INT,
                &line.floodingServers,
                0,
                "Number of servers that send without end (default: 0)",
                "N" },
    poptOption{ "program",
                'p',
                POPT_ARG_STRING,
                &program,
                0,
                "Path of lentilrack-gateway",
                "FILE" },
    poptOption{ "logs",
                'l',
                POPT_ARG_STRING,
                &logs,
                0,
                "Folder in which settings and logs are kept",
                "FOLDER" },
    POPT_AUTOHELP{ nullptr, 0, 0, nullptr, 0, nullptr, nullptr }
  };
  const auto context =
    poptGetContext("lentilrack-soak", argc, argv, options.data(), 0);
  const int parsed = poptGetNextOpt(context);
  line.program = takeText(program);
  line.logs = takeText(logs);
  const bool isValid =
    parsed == -1 && !line.program.empty() && line.gateways >= 2;
  if (!isValid) {
    fmt::print(stderr,
               "lentilrack-soak: {}\n",
               parsed < -1 ? poptStrerror(parsed)
                           : "--program is missing, or --gateways is below 2");
  }
  poptFreeContext(context);
  return isValid;
}

int
run(int argc, const char** argv)
{
  CommandLine line;
  if (!readCommandLine(argc, argv, line)) {
    return kUsageError;
  }
  std::signal(SIGPIPE, SIG_IGN);
  auto folder =
    (std::filesystem::temp_directory_path() / "lentilrack-soak-XXXXXX")
      .string();
  if (!line.logs.empty()) {
    folder = line.logs;
    std::filesystem::create_directories(folder);
  } else if (::mkdtemp(folder.data()) == nullptr) {
    return kUsageError;
  }
  SoakOptions options;
  options.seed = static_cast<std::uint64_t>(line.seed);
  options.duration = std::chrono::seconds(line.seconds);
  options.gateways = line.gateways;
  options.floodingServers = line.floodingServers;
  options.callers = line.callers;
  options.memoryMegabytes = line.memoryMegabytes;
  options.program = line.program;
  options.folder = folder;
  net::asio::io_context io(1);
  SoakRun soak(io, options);
  bool isDone = false;
  net::asio::co_spawn(io, soak.run(), [&](const std::exception_ptr& error) {
    isDone = !error;
    io.stop();
  });
  io.run();
  const auto& checker = soak.checker();
  fmt::print("seed {}: {} requests, {} served; {} results; {} windows\n",
             line.seed,
             checker.sentRequests(),
             checker.servedRequests(),
             checker.readResults(),
             checker.reportedWindows());
  constexpr std::size_t kBytesPerMegabyte = 1024UL * 1024;
  fmt::print("peak memory of a gateway: {} MB\n",
             soak.peakMemory() / kBytesPerMegabyte);
  for (const auto& [name, count] : soak.faults()) {
    fmt::print("  {} x {}\n", count, name);
  }
  for (const auto& violation : checker.violations()) {
    fmt::print("VIOLATION: {}\n", violation);
  }
  const bool isClean = isDone && checker.violations().empty();
  if (!isClean) {
    fmt::print("replay: {} --seed {} --seconds {} --gateways {} --callers {} "
               "--memory-mb {} --flooding-servers {} --program {}\n",
               argv[0],
               line.seed,
               line.seconds,
               line.gateways,
               line.callers,
               line.memoryMegabytes,
               line.floodingServers,
               line.program);
  }
  if (isClean && line.logs.empty()) {
    std::filesystem::remove_all(folder);
  } else {
    fmt::print("settings and logs: {}\n", folder);
  }
  return isClean ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

} // namespace lentilrack::soak

int
main(int argc, char** argv)
{
  return lentilrack::soak::run(argc, const_cast<const char**>(argv));
}
