#include "load/scenarios.h"
#include "net/settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <optional>

namespace {

using namespace lentilrack;
using load::Context;
using load::Report;
using load::Scenario;

struct Options
{
  std::string scenario;
  std::string policy = "default";
  std::int64_t seed = 1;
  std::int64_t seconds = 10;
  std::string stack;
  std::string baselineStack;
  bool list = false;
};

std::optional<int>
parseOptions(int argc, const char* const* argv, Options& options)
{
  net::SettingsBuilder builder("lentilrack-load",
                               "runs load scenarios against a running "
                               "deployment and checks its guarantees");
  builder.text("scenario", &options.scenario, "name of the scenario")
    .choice("policy",
            &options.policy,
            { "default", "baseline", "both" },
            "policy of the deployment")
    .integer(
      "seed", &options.seed, 0, 1'000'000'000, "seed of all random choices")
    .integer("duration",
             &options.seconds,
             1,
             3600,
             "duration of each phase in seconds")
    .text("stack", &options.stack, "file that describes the deployment")
    .text("baseline-stack",
          &options.baselineStack,
          "file that describes the deployment with the baseline policy")
    .toggle("list", &options.list, "lists the scenarios");
  return builder.parse(argc, argv);
}

bool
runScenario(const Scenario& scenario,
            const std::string& policy,
            const std::string& path,
            const Options& options)
{
  auto deployment = load::readDeployment(path);
  if (!deployment) {
    fmt::print(stderr,
               "lentilrack-load: stack {}: {}\n",
               path,
               deployment.error().text());
    return false;
  }
  net::asio::io_context io;
  net::HttpClient http(io);
  Context context{ io,
                   http,
                   std::move(deployment).value(),
                   options.seed,
                   std::chrono::seconds(options.seconds),
                   pcg32(static_cast<std::uint64_t>(options.seed)),
                   fmt::format("{}-{}", scenario.name, options.seed) };
  Report report;
  report.scenario = scenario.name;
  report.policy = policy;
  report.seed = options.seed;
  fmt::print(stderr, "{} with policy {}: running.\n", scenario.name, policy);
  bool finished = false;
  net::asio::co_spawn(io,
                      scenario.run(context, report),
                      [&](const std::exception_ptr& exception) {
                        io.stop();
                        if (exception) {
                          std::rethrow_exception(exception);
                        }
                        finished = true;
                      });
  io.run();
  fmt::print("{}\n", report.json().dump());
  std::fflush(stdout);
  return finished;
}

} // namespace

int
main(int argc, char** argv)
{
  Options options;
  if (const auto code = parseOptions(argc, argv, options)) {
    return *code;
  }
  const auto& all = load::scenarios();
  if (options.list) {
    for (const auto& scenario : all) {
      fmt::print("{:<16}{}\n", scenario.name, scenario.summary);
    }
    return 0;
  }
  const auto found = std::ranges::find(all, options.scenario, &Scenario::name);
  if (found == all.end()) {
    fmt::print(
      stderr,
      "lentilrack-load: --scenario: \"{}\" is not allowed; see --list\n",
      options.scenario);
    return 2;
  }
  bool isFinished = true;
  if (options.policy != "baseline") {
    isFinished = runScenario(*found, "default", options.stack, options);
  }
  if (options.policy != "default") {
    const auto& path =
      options.baselineStack.empty() ? options.stack : options.baselineStack;
    isFinished = runScenario(*found, "baseline", path, options) && isFinished;
  }
  return isFinished ? 0 : 1;
}
