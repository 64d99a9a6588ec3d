#include "load/deployment.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>

namespace lentilrack::load {

using wire::Json;

namespace {

core::Endpoint
endpointOf(const Json& json)
{
  const auto endpoint = core::Endpoint::parse(json.get<std::string>());
  if (!endpoint) {
    throw wire::DecodeException({ "", "has a malformed address" });
  }
  return *endpoint;
}

void
readServers(const Json& standins, Deployment& deployment)
{
  deployment.kv = endpointOf(standins.at("kv"));
  deployment.weights = endpointOf(standins.at("weights"));
  for (const auto& item : standins.at("servers")) {
    deployment.servers.push_back({ item.at("id"),
                                   item.at("role"),
                                   endpointOf(item.at("endpoint")),
                                   item.value("model", "") });
  }
}

void
readCapacity(const Json& config, Deployment& deployment)
{
  for (const auto& item : config.at("engines")) {
    const std::string model = item.at("model");
    const double rate = item.at("token_rate");
    deployment.tokenRate[model] = rate;
    deployment.capacity[model] +=
      rate * item.at("count").get<double>() * item.at("slots").get<double>();
  }
}

} // namespace

std::vector<DeployedServer>
Deployment::engines(const std::string& model) const
{
  std::vector<DeployedServer> found;
  std::ranges::copy_if(
    servers, std::back_inserter(found), [&](const DeployedServer& server) {
      return server.role == "engine" && server.model == model;
    });
  return found;
}

wire::Decoded<Deployment>
readDeployment(const std::string& path)
{
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return wire::DecodeError{ path, "cannot be read" };
  }
  const auto json = wire::parseJson(text.str());
  if (!json) {
    return json.error();
  }
  return wire::decodeWith([&] {
    Deployment deployment;
    const auto& root = json.value();
    for (const auto& entry : root.at("entries")) {
      deployment.entries.push_back(endpointOf(entry));
    }
    deployment.tokens =
      root.at("tokens").get<std::map<std::string, std::string>>();
    readServers(root.at("standins"), deployment);
    readCapacity(root.at("config"), deployment);
    return deployment;
  });
}

} // namespace lentilrack::load
