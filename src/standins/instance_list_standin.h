#pragma once

#include "core/backend_server.h"
#include "standins/lagged_value.h"
#include "standins/standin_server.h"

#include <functional>
#include <map>
#include <vector>

namespace lentilrack::standins {

/// Stand-in of the service that lists the live and leaving backend servers.
/// Changes become visible after a lag.
class InstanceListStandin
{
public:
  struct Options
  {
    core::Millis lag{ 1000 };
    Microseconds networkDelay{ 0 };
  };

  InstanceListStandin(net::asio::io_context& io, Options options);

  StandinServer& server() { return mServer; }
  const StandinServer& server() const { return mServer; }

  /// Adds a server. start() and refresh() call `state`, which returns "live",
  /// "leaving", or an empty string if the server is not to be listed.
  void add(core::BackendServer server, std::function<std::string()> state);
  /// Makes all servers that were added visible at once, without the lag.
  void start();
  /// Reads the current states; they become visible after the lag.
  void refresh();

private:
  struct ListedServer
  {
    core::BackendServer server;
    std::function<std::string()> state;
  };

  net::Awaitable<void> instances(net::HttpExchange& exchange);
  wire::Json snapshot() const;
  StandinServer::Action readControl(wire::ObjectReader& reader);

  StandinServer mServer;
  core::Millis mLag;
  std::vector<ListedServer> mServers;
  /// States set by control requests, by server identifier. They replace the
  /// result of the `state` function.
  std::map<std::string, std::string> mStateOverrides;
  LaggedValue<wire::Json> mList;
};

} // namespace lentilrack::standins
