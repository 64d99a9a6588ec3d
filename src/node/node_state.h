#pragma once

#include "node/heartbeat.h"
#include "node/node.h"
#include "node/table_sync.h"

namespace lentilrack::node {

/// Components of a node and the loops that keep them up to date.
struct Node::State
{
  State(net::asio::io_context& context, NodeSettings nodeSettings);

  void refreshSelf(core::Member& self);
  bool listen();
  bool writeAddressFile() const;
  net::Awaitable<void> joinVia(core::Endpoint endpoint);
  net::Awaitable<bool> discoverMembers();
  net::Awaitable<void> join();
  net::Awaitable<void> leaseLoop();
  /// Periodically fetches the list of backend servers into `servers`, and calls
  /// `serverCallbacks` after each change. Ends at once if no instance list is
  /// configured.
  net::Awaitable<void> pollInstanceListLoop();
  net::Awaitable<void> rejoinLoop();

  net::asio::io_context& io;
  NodeSettings settings;
  net::Logger log;
  core::Membership members;
  core::TableReplica table;
  net::Metrics metrics;
  net::HttpClient http;
  net::HttpRouter router;
  net::HttpServer httpServer;
  net::LinkServer linkServer;
  net::LinkPool links;
  backends::KvClient kv;
  TableSync sync;
  Heartbeat heartbeat;
  core::TimePoint startTime;
  std::vector<core::BackendServer> servers;
  std::vector<std::function<void()>> serverCallbacks;
  std::function<std::map<std::string, core::TargetLoad>()> loadProvider;
  std::function<std::int64_t()> inFlightProvider;
  std::map<std::string, DumpSection> dumpSections;
};

} // namespace lentilrack::node
