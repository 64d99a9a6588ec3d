#pragma once

#include "core/backend_server.h"
#include "standins/lagged_value.h"
#include "standins/standin_server.h"

#include <functional>
#include <map>
#include <vector>

namespace lentilrack::standins {

/// Stand-in of the list of live and leaving instances, which shows every
/// change late.
class InstanceListStandin
{
public:
  struct Options
  {
    core::Millis lag{ 1000 };
    Microseconds delay{ 0 };
  };

  InstanceListStandin(net::asio::io_context& io, Options options);

  StandinServer& server() { return mServer; }
  const StandinServer& server() const { return mServer; }

  /// Lists an instance. `state` gives "live", "leaving" or, if it is not to be
  /// listed, an empty text; it is asked at each refresh().
  void add(core::BackendServer server, std::function<std::string()> state);
  /// To be called when all are added: they are visible at once.
  void start();
  /// Takes up the present states; they become visible after the lag.
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
  /// States that were set by control, by identifier.
  std::map<std::string, std::string> mStateOverrides;
  LaggedValue<wire::Json> mList;
};

} // namespace lentilrack::standins
