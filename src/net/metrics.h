#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lentilrack::net {

/// Histogram of latencies with logarithmic bins from 0.05 ms to 10 minutes.
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  void add(double milliseconds);
  double count() const;
  /// Returns the upper edge, in milliseconds, of the bin that contains the
  /// quantile `q`, which is in [0, 1]; 0 if the histogram is empty.
  double quantile(double q) const;
  /// Returns (upper edge, cumulative count) of the bins that are not empty.
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
  /// Adds `amount` to a counter, which starts at 0.
  void increment(const std::string& name, double amount = 1);
  /// Registers a gauge; `value` is called whenever the metrics are exported.
  void addGauge(const std::string& name, std::function<double()> value);
  /// Adds a latency to a histogram, which is created if needed.
  void observe(const std::string& name, double milliseconds);

  /// Returns the value of a counter; 0 if it was never incremented.
  double counter(const std::string& name) const;
  /// Returns the metrics in the Prometheus text format; every name gets the
  /// prefix "lentilrack_".
  std::string text() const;

private:
  std::map<std::string, double> mCounters;
  std::map<std::string, std::function<double()>> mGauges;
  std::map<std::string, LatencyHistogram> mHistograms;
};

} // namespace lentilrack::net
