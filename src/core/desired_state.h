#pragma once

#include "core/autoscaling/autoscaling_spec.h"
#include "core/organisations/organisation_directory.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lentilrack::core {

/// How often a request of a route may be run.
enum class RouteKind
{
  /// The request may be run again after a failure.
  Repeatable,
  /// At most one run for each attempt of a caller.
  Single,
  /// The response is a stream of events, passed on as they arrive. Run at most
  /// once, unless the route is resumable.
  Stream,
  /// Requests submit batches of rollouts.
  Batch,
};

/// A service that gets a share of a route's requests.
struct RouteTarget
{
  std::string service;
  /// Share of the requests, relative to the weights of the route's other
  /// targets.
  double weight = 1;
};

/// Requests of one host whose path begins with a prefix.
struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix;
  RouteKind kind = RouteKind::Single;
  /// Whether a stream may continue at another server after the last complete
  /// event.
  bool resumable = false;
  /// Whether all tokens of a result must come from one weight version.
  bool singleVersion = false;
  int maxAttempts = 1;
  /// Longest time until a request must be answered.
  Millis timeout{ 10'000 };
  Millis targetLatency{ 1'000 };
  /// Time after the submission of a batch from which its unfinished items may
  /// be given up.
  Millis itemLifetime{ 60'000 };
  /// 0 is the most urgent.
  int priority = 5;
  /// Whether requests need no API key.
  bool isPublic = false;
  std::vector<RouteTarget> targets;

  /// Returns the service for a request, chosen by weight with a random number
  /// `draw` in [0, 1). Returns an empty text if the route has no targets.
  const std::string& pickService(double draw) const;
};

/// A group of interchangeable backend servers.
struct ServiceSpec
{
  std::string name;
  /// Models that the servers of the group serve; empty for a plain service.
  std::vector<std::string> models;
  /// Tokens for which one server of the group has memory; 0 if unknown.
  std::int64_t memoryTokens = 0;
  /// Set if the number of servers is ordered from the provider.
  std::optional<AutoscalingSpec> autoscaling{};
};

/// Limits on the size and duration of a caller's requests.
struct CallerLimits
{
  /// A larger limit on headers counts as this one. A process holds the whole
  /// head of each request that it reads.
  static constexpr std::uint64_t kMaxHeaderBytes = 1024UL * 1024;

  std::uint64_t bodyBytes = 32UL * 1024 * 1024;
  std::uint64_t headerBytes = 16UL * 1024;
  /// Time to receive the headers.
  Millis headerTime{ 3'000 };
  /// Time without data after which a connection is closed.
  Millis idleTime{ 15'000 };
};

/// Routes, services and limits as configured by the operator. Immutable; a
/// newer version is a new object.
class DesiredState
{
public:
  /// `organisations` is empty if requests need no API key in this deployment.
  DesiredState(
    std::int64_t version,
    std::vector<Route> routes,
    std::vector<ServiceSpec> services,
    CallerLimits limits,
    std::optional<std::vector<Organisation>> organisations = std::nullopt);

  std::int64_t version() const { return mVersion; }
  const CallerLimits& limits() const { return mLimits; }
  const std::vector<ServiceSpec>& services() const { return mServices; }
  /// Returns the organisations whose requests are served, or null if requests
  /// need no API key.
  const OrganisationDirectory* organisations() const
  {
    return mOrganisations.get();
  }
  /// Returns the route of the host with the longest matching path prefix, or
  /// null if there is none. The port of the host and the query are ignored.
  const Route* findRoute(std::string_view host, std::string_view target) const;
  /// Whether batches can be submitted to the host without an API key.
  bool hasPublicBatchRoute(std::string_view host) const;
  /// Whether any route requires results of a single weight version.
  bool requiresSingleVersion() const;

private:
  std::int64_t mVersion;
  CallerLimits mLimits;
  std::vector<ServiceSpec> mServices;
  std::shared_ptr<const OrganisationDirectory> mOrganisations;
  /// Routes by host, the longest prefix first.
  std::unordered_map<std::string, std::vector<Route>> mRoutes;
};

} // namespace lentilrack::core
