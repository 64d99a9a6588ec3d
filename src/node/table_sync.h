#pragma once

#include "backends/kv_client.h"
#include "core/membership.h"
#include "core/table_replica.h"
#include "net/link.h"
#include "net/log.h"

namespace lentilrack::node {

/// Key of the table in the key-value service.
inline constexpr const char* kTableKey = "config/table";

/// Updates the table replica. A few processes of each failure domain watch the
/// table in the key-value service. The others read it once a minute, and also
/// when they receive no heartbeats. Every process fetches the table from a peer
/// whose heartbeat reports a newer revision.
class TableSync
{
public:
  TableSync(net::asio::io_context& io,
            core::Membership& members,
            core::TableReplica& replica,
            net::LinkPool& links,
            backends::KvClient& kv,
            net::Logger log);

  /// Registers the link handler that sends the table to peers.
  void addHandlers(net::LinkServer& server);
  /// Reads the table from the key-value service once. Returns true if the
  /// service responded, even if it has no table.
  net::Awaitable<bool> readFromService();
  /// Fetches the table of a peer. Returns true if the table was newer than the
  /// replica and was applied.
  net::Awaitable<bool> fetchFromPeer(core::Member peer);
  /// Starts a fetch if the peer's table is newer than the replica's and no
  /// fetch is running.
  void fetchIfNewer(const core::Member& peer);
  /// Watches or reads the key-value service until the io_context stops.
  net::Awaitable<void> run();
  /// Returns when the key-value service last responded.
  core::TimePoint lastServiceResponse() const { return mLastResponse; }

  /// Returns true if this process is one of the few of its failure domain that
  /// watch the key-value service on behalf of the others.
  bool isWatcher() const;

private:
  bool applyDocument(const wire::Json& document, const std::string& source);

  net::asio::io_context& mIo;
  core::Membership& mMembers;
  core::TableReplica& mReplica;
  net::LinkPool& mLinks;
  backends::KvClient& mKv;
  net::Logger mLog;
  std::int64_t mServiceRevision = 0;
  core::TimePoint mLastResponse;
  bool mFetching = false;
};

} // namespace lentilrack::node
