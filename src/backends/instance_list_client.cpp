#include "backends/instance_list_client.h"

#include "backends/http_json.h"

namespace lentilrack::backends {

namespace {

constexpr core::Millis kTimeout{ 2000 };
constexpr std::int64_t kMaxSlots = 1'000'000;

core::ServerRole
readRole(wire::ObjectReader& reader)
{
  const auto role = reader.required<std::string>("role");
  if (role == "engine") {
    return core::ServerRole::Engine;
  }
  if (role == "service") {
    return core::ServerRole::Service;
  }
  if (role == "scorer") {
    return core::ServerRole::Scorer;
  }
  if (role != "weights") {
    reader.fail("role", "is not known");
  }
  return core::ServerRole::WeightStore;
}

core::BackendServer
readServer(wire::ObjectReader& reader)
{
  core::BackendServer server;
  server.id = reader.required<std::string>("id");
  server.role = readRole(reader);
  const auto endpoint =
    core::Endpoint::parse(reader.required<std::string>("endpoint"));
  if (!endpoint) {
    reader.fail("endpoint", "must be ip:port");
  }
  server.endpoint = *endpoint;
  server.failureDomain = reader.required<std::string>("failure_domain");
  const auto state = reader.required<std::string>("state");
  if (state != "live" && state != "leaving") {
    reader.fail("state", "must be live or leaving");
  }
  server.leaving = state == "leaving";
  server.models = reader.optional<std::vector<std::string>>("models", {});
  server.service = reader.optional<std::string>("service", "");
  server.slots = reader.integerOr("slots", 1, kMaxSlots, 1);
  server.checksFencing = reader.optional<bool>("checks_fencing", false);
  return server;
}

std::vector<core::BackendServer>
readServers(wire::ObjectReader& reader)
{
  std::vector<core::BackendServer> servers;
  for (const auto& item :
       reader.required<std::vector<wire::Json>>("instances")) {
    wire::ObjectReader server(item, "instances");
    servers.push_back(readServer(server));
  }
  return servers;
}

} // namespace

InstanceListClient::InstanceListClient(net::HttpClient& http,
                                       core::Endpoint endpoint)
  : mHttp(http)
  , mEndpoint(std::move(endpoint))
{
}

net::Awaitable<core::Result<std::vector<core::BackendServer>>>
InstanceListClient::fetch()
{
  auto call = callWithoutBody(mEndpoint, "GET", "/instances", kTimeout);
  const auto result = co_await mHttp.call(std::move(call));
  if (const auto error = responseError(result)) {
    co_return error;
  }
  co_return decodeResponse(result.response.body, readServers);
}

} // namespace lentilrack::backends
