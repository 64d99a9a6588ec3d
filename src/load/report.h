#pragma once

#include "wire/object_reader.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lentilrack::load {

/// Keeps all samples of a run to compute exact quantiles.
class Samples
{
public:
  void add(double value) { mValues.push_back(value); }
  std::size_t size() const { return mValues.size(); }
  /// Returns the quantile `q`, from 0 to 1; 0 if there are no samples.
  double quantile(double q) const;

private:
  std::vector<double> mValues;
};

/// Results of one scenario. `policy` names the policy that the deployment ran
/// with.
struct Report
{
  std::string scenario;
  std::string policy;
  std::int64_t seed = 0;
  std::int64_t requests = 0;
  std::int64_t done = 0;
  std::int64_t notRun = 0;
  std::int64_t unknown = 0;
  /// Number of violated guarantees. Each is also written to standard error.
  std::int64_t violations = 0;
  /// Latencies in milliseconds. In trainer scenarios, longLatency holds the
  /// durations of the steps.
  Samples shortLatency;
  Samples longLatency;
  /// Tokens answered, divided by the tokens that the engines could generate.
  double goodputRatio = 0;
  /// Runs at backend servers beyond one per completed request, divided by the
  /// completed requests.
  double extraAttemptsRatio = 0;
  double trainerIdleRatio = 0;
  std::int64_t stalenessMax = 0;
  std::int64_t stalenessBound = 0;
  /// Number of verdicts other than done, by verdict and reason.
  std::map<std::string, std::int64_t> reasons;
  /// Additional figures of the scenario, by name.
  std::map<std::string, double> extra;

  /// Counts a violated guarantee and writes it to standard error.
  void addViolation(const std::string& what);
  /// Returns the report as one JSON object.
  wire::Json json() const;
};

} // namespace lentilrack::load
