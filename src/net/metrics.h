#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lentilrack::net {

/// Latencies in milliseconds in logarithmic bins from 0.05 ms to 10 minutes.
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  void add(double milliseconds);
  double count() const;
  /// Upper edge of the bin that holds the quantile, `q` in [0, 1]; 0 if empty.
  double quantile(double q) const;
  /// (upper edge, cumulative count) of the bins that are in use.
  std::vector<std::pair<double, double>> cumulative() const;

private:
  struct Bins;
  std::unique_ptr<Bins> mBins;
};

/// Counters, gauges and latency histograms of one process, by name. A name may
/// carry labels as in the Prometheus text format:
/// `orders_total{verdict="done"}`.
class Metrics
{
public:
  void increment(const std::string& name, double amount = 1);
  /// The value is asked for whenever the metrics are written.
  void addGauge(const std::string& name, std::function<double()> value);
  void observe(const std::string& name, double milliseconds);

  double counter(const std::string& name) const;
  /// Prometheus text format; every name gets the prefix "lentilrack_".
  std::string text() const;

private:
  std::map<std::string, double> mCounters;
  std::map<std::string, std::function<double()>> mGauges;
  std::map<std::string, LatencyHistogram> mHistograms;
};

} // namespace lentilrack::net
