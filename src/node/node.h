#pragma once

#include "backends/instance_list_client.h"
#include "backends/kv_client.h"
#include "core/membership.h"
#include "core/table_replica.h"
#include "net/http_client.h"
#include "net/http_router.h"
#include "net/http_server.h"
#include "net/link.h"
#include "net/log.h"
#include "net/metrics.h"
#include "net/settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::node {

/// Settings of every process, whether entry or dispatch.
struct NodeSettings
{
  core::MemberRole role = core::MemberRole::Entry;
  std::string name;
  std::string failureDomain;
  core::Endpoint http{ "127.0.0.1", 0 };
  core::Endpoint link{ "127.0.0.1", 0 };
  std::vector<core::Endpoint> kv;
  /// Address of the instance list service; port 0 if there is none.
  core::Endpoint instanceList;
  core::Endpoint weightStore;
  /// Link addresses of processes that this process pings in order to join; may
  /// be empty.
  std::vector<core::Endpoint> peers;
  std::string linkSecret;
  /// Empty on instances without a disk.
  std::string dataDirectory;
  /// File to which the bound addresses are written as JSON; empty for none.
  std::string addressFile;

  /// Adds the flags of these settings to `builder`.
  void addFlags(net::SettingsBuilder& builder);
};

/// The parts common to processes of both roles: membership, peer links, the
/// table in force, the list of backend servers and the state dump.
class Node
{
public:
  /// Returns the content of a section of the state dump.
  using DumpSection = std::function<wire::Json()>;

  Node(net::asio::io_context& io, NodeSettings settings);
  ~Node();

  /// Binds the addresses, joins the other processes and loads the table. HTTP
  /// routes and link handlers must be added before this call. Logs an error and
  /// returns false if binding an address or writing `addressFile` fails.
  net::Awaitable<bool> start();

  const NodeSettings& settings() const;
  const core::ProcessId& self() const;
  net::asio::io_context& io();
  const net::Logger& log() const;
  net::Metrics& metrics();
  net::HttpClient& http();
  net::HttpRouter& router();
  net::HttpServer& httpServer();
  net::LinkServer& linkServer();
  net::LinkPool& links();
  backends::KvClient& kv();

  /// Returns the membership, which includes this process.
  core::Membership& members();
  /// Returns the replica of the table, which holds the table in force.
  core::TableReplica& table();
  /// Returns the backend servers of the last list that was fetched.
  const std::vector<core::BackendServer>& backendServers() const;
  /// Adds a callback that is called after each change of the list of backend
  /// servers.
  void onBackendServersChanged(std::function<void()> callback);

  /// Sets the function that returns the load of each target. It is called
  /// before each heartbeat.
  void setLoadProvider(
    std::function<std::map<std::string, core::TargetLoad>()> callback);
  /// Sets the function that returns the number of requests in flight. It is
  /// called before each heartbeat.
  void setInFlightProvider(std::function<std::int64_t()> callback);

  /// Returns true if, for 5 s, neither the key-value service nor any process of
  /// another instance has sent anything to this process. An edit may then be in
  /// force elsewhere without this process knowing. Always false while no
  /// process of another instance is known.
  bool isIsolated() const;

  /// Adds a section to the state dump, which is shown at GET /state and on
  /// SIGUSR1.
  void addDumpSection(std::string part, DumpSection dump);
  /// Returns the state dump: a JSON object with all sections and with the name,
  /// the incarnation and the failure domain of this process.
  wire::Json dump() const;

  /// Notifies the other members that this process is leaving.
  net::Awaitable<void> announceLeaving();

  struct State;

private:
  void addRoutes();

  std::unique_ptr<State> mState;
};

} // namespace lentilrack::node
