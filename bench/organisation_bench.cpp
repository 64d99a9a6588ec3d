#include "core/organisations/authentication.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

namespace lentilrack::core {

namespace {

/// Checks the key of one request, with `state.range(0)` known keys.
void
authenticateRequest(benchmark::State& state)
{
  std::vector<Organisation> organisations;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    organisations.push_back({ fmt::format("organisation-{}", i),
                              { fmt::format("key-of-twenty-char-{}", i) },
                              {} });
  }
  const OrganisationDirectory directory(organisations);
  const auto header =
    fmt::format("Bearer key-of-twenty-char-{}", state.range(0) / 2);
  const std::vector<std::string_view> credentials{ header };
  for (auto _ : state) {
    benchmark::DoNotOptimize(authenticate(&directory, credentials, false));
  }
}
BENCHMARK(authenticateRequest)->Arg(100)->Arg(10'000);

} // namespace

} // namespace lentilrack::core
BENCHMARK_MAIN();
