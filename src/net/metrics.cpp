#include "net/metrics.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>

namespace lentilrack::net {

namespace histogram = boost::histogram;

namespace {

constexpr int kBins = 240;
constexpr double kLowestMs = 0.05;
constexpr double kHighestMs = 600'000;

using LogAxis =
  histogram::axis::regular<double, histogram::axis::transform::log>;

auto
makeBins()
{
  return histogram::make_histogram(LogAxis(kBins, kLowestMs, kHighestMs));
}

} // namespace

struct LatencyHistogram::Bins
{
  decltype(makeBins()) values = makeBins();
  double count = 0;
};

LatencyHistogram::LatencyHistogram()
  : mBins(std::make_unique<Bins>())
{
}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram&
LatencyHistogram::operator=(LatencyHistogram&&) noexcept = default;

void
LatencyHistogram::add(double milliseconds)
{
  mBins->values(milliseconds);
  mBins->count += 1;
}

double
LatencyHistogram::count() const
{
  return mBins->count;
}

double
LatencyHistogram::quantile(double q) const
{
  for (const auto& [edge, cumulative] : cumulative()) {
    if (cumulative >= q * mBins->count) {
      return edge;
    }
  }
  return mBins->count > 0 ? kHighestMs : 0;
}

std::vector<std::pair<double, double>>
LatencyHistogram::cumulative() const
{
  std::vector<std::pair<double, double>> edges;
  double sum = 0;
  for (const auto& bin :
       histogram::indexed(mBins->values, histogram::coverage::all)) {
    const double content = *bin;
    sum += content;
    if (content > 0) {
      edges.emplace_back(bin.bin().upper(), sum);
    }
  }
  return edges;
}

void
Metrics::increment(const std::string& name, double amount)
{
  mCounters[name] += amount;
}

void
Metrics::addGauge(const std::string& name, std::function<double()> value)
{
  mGauges[name] = std::move(value);
}

void
Metrics::observe(const std::string& name, double milliseconds)
{
  mHistograms[name].add(milliseconds);
}

double
Metrics::counter(const std::string& name) const
{
  const auto found = mCounters.find(name);
  return found == mCounters.end() ? 0 : found->second;
}

std::string
Metrics::text() const
{
  std::string text;
  for (const auto& [name, value] : mCounters) {
    text += fmt::format("lentilrack_{} {}\n", name, value);
  }
  for (const auto& [name, value] : mGauges) {
    text += fmt::format("lentilrack_{} {}\n", name, value());
  }
  for (const auto& [name, bins] : mHistograms) {
    for (const auto& [edge, count] : bins.cumulative()) {
      text += fmt::format(
        "lentilrack_{}_bucket{{le=\"{:.3f}\"}} {}\n", name, edge, count);
    }
    text += fmt::format(
      "lentilrack_{}_bucket{{le=\"+Inf\"}} {}\n", name, bins.count());
    text += fmt::format("lentilrack_{}_count {}\n", name, bins.count());
  }
  return text;
}

} // namespace lentilrack::net
