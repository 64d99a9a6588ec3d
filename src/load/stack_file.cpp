#include "load/stack_file.h"

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
readServers(const Json& standins, Stack& stack)
{
  stack.kv = endpointOf(standins.at("kv"));
  stack.weights = endpointOf(standins.at("weights"));
  for (const auto& item : standins.at("servers")) {
    stack.servers.push_back({ item.at("id"),
                              item.at("role"),
                              endpointOf(item.at("endpoint")),
                              item.value("model", "") });
  }
}

void
readCapacity(const Json& config, Stack& stack)
{
  for (const auto& item : config.at("engines")) {
    const std::string model = item.at("model");
    const double rate = item.at("token_rate");
    stack.tokenRate[model] = rate;
    stack.capacity[model] +=
      rate * item.at("count").get<double>() * item.at("slots").get<double>();
  }
}

} // namespace

std::vector<StandinServer>
Stack::engines(const std::string& model) const
{
  std::vector<StandinServer> found;
  std::ranges::copy_if(
    servers, std::back_inserter(found), [&](const StandinServer& server) {
      return server.role == "engine" && server.model == model;
    });
  return found;
}

wire::Decoded<Stack>
readStack(const std::string& path)
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
    Stack stack;
    const auto& root = json.value();
    for (const auto& entry : root.at("entries")) {
      stack.entries.push_back(endpointOf(entry));
    }
    stack.tokens = root.at("tokens").get<std::map<std::string, std::string>>();
    readServers(root.at("standins"), stack);
    readCapacity(root.at("config"), stack);
    return stack;
  });
}

} // namespace lentilrack::load
