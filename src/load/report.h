#pragma once

#include "wire/object_reader.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lentilrack::load {

/// Exact quantiles of a run's samples.
class Samples
{
public:
  void add(double value) { mValues.push_back(value); }
  std::size_t size() const { return mValues.size(); }
  /// 0 if there is no sample.
  double quantile(double q) const;

private:
  std::vector<double> mValues;
};

/// What one scenario under one policy showed.
struct Report
{
  std::string scenario;
  std::string policy;
  std::int64_t seed = 0;
  std::int64_t requests = 0;
  std::int64_t done = 0;
  std::int64_t notRun = 0;
  std::int64_t unknown = 0;
  /// Broken promises; each is also a line on standard error.
  std::int64_t violations = 0;
  /// Milliseconds.
  Samples shortLatency;
  Samples longLatency;
  /// Tokens answered over tokens that the engines could have produced.
  double goodputRatio = 0;
  /// Runs at backend servers beyond one per request.
  double extraAttemptsRatio = 0;
  double trainerIdleRatio = 0;
  std::int64_t stalenessMax = 0;
  std::int64_t stalenessBound = 0;
  /// Reasons of verdicts other than done, counted.
  std::map<std::string, std::int64_t> reasons;
  /// Figures that only this scenario has.
  std::map<std::string, double> extra;

  /// Counts a broken promise and says which.
  void addViolation(const std::string& what);
  wire::Json json() const;
};

} // namespace lentilrack::load
