#include "load/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace lentilrack::load {

namespace {

double
rounded(double value)
{
  constexpr double kPrecision = 10'000;
  return std::round(value * kPrecision) / kPrecision;
}

} // namespace

double
Samples::quantile(double q) const
{
  if (mValues.empty()) {
    return 0;
  }
  auto values = mValues;
  const auto last = static_cast<double>(values.size() - 1);
  const auto index = static_cast<std::ptrdiff_t>(std::ceil(q * last));
  std::ranges::nth_element(values, values.begin() + index);
  return values[static_cast<std::size_t>(index)];
}

void
Report::addViolation(const std::string& what)
{
  ++violations;
  fmt::print(stderr, "violation: {}\n", what);
}

wire::Json
Report::json() const
{
  wire::Json json{ { "scenario", scenario },
                   { "policy", policy },
                   { "seed", seed },
                   { "requests", requests },
                   { "done", done },
                   { "not_run", notRun },
                   { "unknown", unknown },
                   { "violations", violations },
                   { "short_p50_ms", rounded(shortLatency.quantile(0.5)) },
                   { "short_p99_ms", rounded(shortLatency.quantile(0.99)) },
                   { "long_p99_ms", rounded(longLatency.quantile(0.99)) },
                   { "goodput_ratio", rounded(goodputRatio) },
                   { "extra_attempts_ratio", rounded(extraAttemptsRatio) },
                   { "trainer_idle_ratio", rounded(trainerIdleRatio) },
                   { "staleness_max", stalenessMax },
                   { "staleness_bound", stalenessBound },
                   { "reasons", reasons } };
  for (const auto& [name, value] : extra) {
    json[name] = rounded(value);
  }
  return json;
}

} // namespace lentilrack::load
