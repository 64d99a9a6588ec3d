#pragma once

#include "core/endpoint.h"
#include "wire/object_reader.h"

#include <map>
#include <string>
#include <vector>

namespace lentilrack::load {

/// A stand-in server that the load tool controls. Its ledger, which the load
/// tool reads, records what it ran.
struct DeployedServer
{
  std::string id;
  std::string role;
  core::Endpoint endpoint;
  /// Model of an engine; empty for other roles.
  std::string model;
};

/// A running deployment, as described by the file that scripts/stack.sh writes.
struct Deployment
{
  std::vector<core::Endpoint> entries;
  /// Bearer tokens by principal.
  std::map<std::string, std::string> tokens;
  core::Endpoint kv;
  core::Endpoint weights;
  std::vector<DeployedServer> servers;
  /// Tokens per second that the engines of a model generate together at full
  /// speed, by model.
  std::map<std::string, double> capacity;
  /// Tokens per second that an engine generates for one request, by model.
  std::map<std::string, double> tokenRate;

  /// Returns the engines that serve the model.
  std::vector<DeployedServer> engines(const std::string& model) const;
};

/// Reads the description of a deployment. The error names the field, or the
/// path if the file cannot be read.
wire::Decoded<Deployment>
readDeployment(const std::string& path);

} // namespace lentilrack::load
