#pragma once

#include "core/endpoint.h"
#include "wire/object_reader.h"

#include <map>
#include <string>
#include <vector>

namespace lentilrack::load {

/// A stand-in server that the load tool reads the ledger of and controls.
struct DeployedServer
{
  std::string id;
  std::string role;
  core::Endpoint endpoint;
  /// Model of an engine; empty otherwise.
  std::string model;
};

/// A running deployment, as scripts/stack.sh describes it.
struct Deployment
{
  std::vector<core::Endpoint> entries;
  /// Bearer tokens by principal.
  std::map<std::string, std::string> tokens;
  core::Endpoint kv;
  core::Endpoint weights;
  std::vector<DeployedServer> servers;
  /// Tokens per second of all engines by model, at full speed.
  std::map<std::string, double> capacity;
  /// Tokens per second of one request by model.
  std::map<std::string, double> tokenRate;

  std::vector<DeployedServer> engines(const std::string& model) const;
};

/// Reads the file. The error names the field or says that it cannot be read.
wire::Decoded<Deployment>
readDeployment(const std::string& path);

} // namespace lentilrack::load
