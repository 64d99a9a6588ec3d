#include "standins/instance_list_standin.h"

namespace lentilrack::standins {

namespace {

const char*
roleName(core::ServerRole role)
{
  switch (role) {
    case core::ServerRole::Engine:
      return "engine";
    case core::ServerRole::Service:
      return "service";
    case core::ServerRole::Scorer:
      return "scorer";
    case core::ServerRole::WeightStore:
      return "weights";
  }
  return "";
}

} // namespace

InstanceListStandin::InstanceListStandin(net::asio::io_context& io,
                                         Options options)
  : mServer(io, "instance_list", options.networkDelay)
  , mLag(options.lag)
  , mList(options.lag, snapshot())
{
  mServer.route("GET", "/instances", [this](net::HttpExchange& exchange) {
    return instances(exchange);
  });
  mServer.onControl(
    [this](wire::ObjectReader& reader) { return readControl(reader); });
  mServer.onLedger([this] {
    return wire::Json{ { "calls", mServer.requests() } };
  });
}

void
InstanceListStandin::add(core::BackendServer server,
                         std::function<std::string()> state)
{
  mServers.push_back({ std::move(server), std::move(state) });
}

void
InstanceListStandin::start()
{
  mList = LaggedValue<wire::Json>(mLag, snapshot());
}

void
InstanceListStandin::refresh()
{
  mList.set(core::Clock::now(), snapshot());
}

net::Awaitable<void>
InstanceListStandin::instances(net::HttpExchange& exchange)
{
  auto list = mList.at(core::Clock::now());
  co_await mServer.replyJson(exchange, 200, std::move(list));
}

wire::Json
InstanceListStandin::snapshot() const
{
  auto instances = wire::Json::array();
  for (const auto& item : mServers) {
    const auto stateOverride = mStateOverrides.find(item.server.id);
    const auto state = stateOverride == mStateOverrides.end()
                         ? item.state()
                         : stateOverride->second;
    if (state.empty() || state == "gone") {
      continue;
    }
    const auto& server = item.server;
    instances.push_back({ { "id", server.id },
                          { "role", roleName(server.role) },
                          { "endpoint", server.endpoint.text() },
                          { "failure_domain", server.failureDomain },
                          { "state", state },
                          { "models", server.models },
                          { "service", server.service },
                          { "slots", server.slots },
                          { "checks_fencing", server.checksFencing } });
  }
  return { { "instances", std::move(instances) } };
}

StandinServer::Action
InstanceListStandin::readControl(wire::ObjectReader& reader)
{
  const auto states =
    reader.optional<std::map<std::string, std::string>>("states", {});
  for (const auto& [id, state] : states) {
    const bool isKnown = state == "live" || state == "leaving" ||
                         state == "gone" || state == "auto";
    if (!isKnown) {
      reader.fail("states", "must be live, leaving, gone or auto");
    }
  }
  return [this, states] {
    for (const auto& [id, state] : states) {
      if (state == "auto") {
        mStateOverrides.erase(id);
      } else {
        mStateOverrides[id] = state;
      }
    }
    refresh();
  };
}

} // namespace lentilrack::standins
