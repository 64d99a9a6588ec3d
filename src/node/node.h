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

/// Settings that entry and dispatch share.
struct NodeSettings
{
  core::MemberRole role = core::MemberRole::Entry;
  std::string name;
  std::string failureDomain;
  core::Endpoint http{ "127.0.0.1", 0 };
  core::Endpoint link{ "127.0.0.1", 0 };
  std::vector<core::Endpoint> kv;
  /// Instance list service; port 0 for none.
  core::Endpoint instanceList;
  core::Endpoint weightStore;
  /// Links of other processes to join through; may be empty.
  std::vector<core::Endpoint> peers;
  std::string linkSecret;
  /// Empty on instances without a disk.
  std::string dataDirectory;
  /// File that gets the bound addresses as JSON; empty for none.
  std::string addressFile;

  /// Adds the flags for all of these to `builder`.
  void addFlags(net::SettingsBuilder& builder);
};

/// What a process of either role needs to take part: membership, peer links,
/// the table in force, the list of backend servers and the state dump.
class Node
{
public:
  /// Returns the number of calls etc. that a part wants to show in the dump.
  using DumpSection = std::function<wire::Json()>;

  Node(net::asio::io_context& io, NodeSettings settings);
  ~Node();

  /// Binds the addresses, joins and loads the table. HTTP routes and link
  /// handlers must have been added before. An error is logged and gives false.
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

  /// Live members, itself included.
  core::Membership& members();
  /// The table in force.
  core::TableReplica& table();
  /// The backend servers of the last list that was fetched.
  const std::vector<core::BackendServer>& backendServers() const;
  /// Called after each change of the list of backend servers.
  void onBackendServersChanged(std::function<void()> hook);

  /// Asked before each heartbeat for the loads to report.
  void setLoadProvider(
    std::function<std::map<std::string, core::TargetLoad>()> hook);
  void setInFlightProvider(std::function<std::int64_t()> hook);

  /// Whether neither the key-value service nor any peer was heard for so long
  /// that an edit may be in force elsewhere without this process knowing.
  bool isIsolated() const;

  /// A part of the state dump at GET /state and on SIGUSR1.
  void addDumpSection(std::string part, DumpSection dump);
  wire::Json dump() const;

  /// Tells the others that this process is leaving.
  net::Awaitable<void> announceLeaving();

  struct State;

private:
  void addRoutes();

  std::unique_ptr<State> mState;
};

} // namespace lentilrack::node
