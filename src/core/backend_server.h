#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lentilrack::core {

/// What a backend server does.
enum class ServerRole
{
  Engine,
  Service,
  Scorer,
  WeightStore,
};

/// A backend server as described by the platform's instance list.
struct BackendServer
{
  std::string id;
  ServerRole role = ServerRole::Engine;
  Endpoint endpoint;
  std::string failureDomain;
  /// Whether the list marks the server as leaving, so that it must not get new
  /// work.
  bool leaving = false;
  /// Models that the engine can run.
  std::vector<std::string> models;
  /// Name of the service that a plain service provides.
  std::string service;
  /// Requests that the engine processes concurrently.
  std::int64_t slots = 1;
  /// Whether the server rejects orders with an outdated fencing number.
  bool checksFencing = false;

  bool operator==(const BackendServer&) const = default;
};

} // namespace lentilrack::core
