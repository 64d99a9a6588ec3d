#pragma once

#include "standins/kv_table.h"
#include "standins/standin_server.h"

#include <list>
#include <memory>

namespace lentilrack::standins {

/// Stand-in of the key-value service. Its ledger counts the calls by type. A
/// watch is one call, however long it waits.
class KvStandin
{
public:
  struct Options
  {
    core::Millis latency{ 1 };
    Microseconds networkDelay{ 0 };
  };

  KvStandin(net::asio::io_context& io, Options options);

  StandinServer& server() { return mServer; }
  const StandinServer& server() const { return mServer; }
  const KvTable& table() const { return mTable; }
  std::size_t waitingWatches() const { return mWatches.size(); }

private:
  struct Watch;

  net::Awaitable<void> read(net::HttpExchange& exchange);
  net::Awaitable<void> list(net::HttpExchange& exchange);
  net::Awaitable<void> put(net::HttpExchange& exchange);
  net::Awaitable<void> remove(net::HttpExchange& exchange);
  net::Awaitable<void> watch(net::HttpExchange& exchange);
  net::Awaitable<void> grant(net::HttpExchange& exchange);
  net::Awaitable<void> renew(net::HttpExchange& exchange);

  /// Counts the call, waits for the simulated latency and expires old leases.
  net::Awaitable<void> beginCall(const char* callType);
  const KvTable::Entry* findNewerThan(const std::string& key,
                                      std::int64_t after);
  void notifyWatches(const std::string& key);
  void abortWatches();
  StandinServer::Action readControl(wire::ObjectReader& reader);
  wire::Json ledger() const;

  StandinServer mServer;
  core::Millis mLatency;
  KvTable mTable;
  std::list<std::shared_ptr<Watch>> mWatches;
  std::map<std::string, std::int64_t> mCallCounts;
};

} // namespace lentilrack::standins
