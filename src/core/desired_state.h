#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lentilrack::core {

/// What may be repeated of a request.
enum class RouteKind
{
  Repeatable,
  /// At most one run for each attempt of a caller.
  Single,
  /// Events that are passed on as they come; a single run unless resumable.
  Stream,
  /// Batches of rollouts.
  Batch,
};

/// One service that takes part of a route's requests.
struct RouteTarget
{
  std::string service;
  double weight = 1;
};

/// Requests of one host whose path begins with a prefix.
struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix;
  RouteKind kind = RouteKind::Single;
  /// A stream may go on at another server after the last whole event.
  bool resumable = false;
  /// All tokens of one result come from one version of the weights.
  bool singleVersion = false;
  int maxAttempts = 1;
  /// Longest time that a request may be kept waiting.
  Millis timeout{ 10'000 };
  Millis targetLatency{ 1'000 };
  /// An item of a batch may be given up this long after its submission.
  Millis itemLifetime{ 60'000 };
  /// 0 is the most urgent.
  int priority = 5;
  std::vector<RouteTarget> targets;

  /// The service that takes a request, for a number drawn from [0, 1).
  const std::string& pickService(double draw) const;
};

/// A group of backend servers that do the same work.
struct ServiceSpec
{
  std::string name;
  /// Models whose weights its servers hold; empty for a plain service.
  std::vector<std::string> models;
};

/// What a caller may send, and how long it may take.
struct CallerLimits
{
  std::uint64_t bodyBytes = 32UL * 1024 * 1024;
  std::uint32_t headerBytes = 16 * 1024;
  Millis headerTime{ 3'000 };
  Millis idleTime{ 15'000 };
};

/// Routes, services and limits that the operator wants in force. A state is
/// never changed; a newer version replaces it.
class DesiredState
{
public:
  DesiredState(std::int64_t version,
               std::vector<Route> routes,
               std::vector<ServiceSpec> services,
               CallerLimits limits);

  std::int64_t version() const { return mVersion; }
  const CallerLimits& limits() const { return mLimits; }
  const std::vector<ServiceSpec>& services() const { return mServices; }
  /// The route of the host with the longest prefix of the path; nullptr if
  /// there is none. The port of the host and a query do not count.
  const Route* findRoute(std::string_view host, std::string_view target) const;
  /// Whether batch routes ask for a single version of this model's service.
  bool requiresSingleVersion() const;

private:
  std::int64_t mVersion;
  CallerLimits mLimits;
  std::vector<ServiceSpec> mServices;
  /// By host, the longest prefix first.
  std::unordered_map<std::string, std::vector<Route>> mRoutes;
};

} // namespace lentilrack::core
