#pragma once

#include "backends/kv_client.h"
#include "core/membership.h"
#include "core/table_replica.h"
#include "net/link.h"
#include "net/log.h"

namespace lentilrack::node {

/// Key of the table in the key-value service.
inline constexpr const char* kTableKey = "config/table";

/// Brings new revisions of the table into the replica: from the key-value
/// service, by a watch in a few processes of each failure domain and a slow
/// read in all, and from peers whose heartbeat names a newer one.
class TableSync
{
public:
  TableSync(net::asio::io_context& io,
            core::Membership& members,
            core::TableReplica& replica,
            net::LinkPool& links,
            backends::KvClient& kv,
            net::Logger log);

  /// Registers the link handler that gives the table to peers.
  void addHandlers(net::LinkServer& server);
  /// Reads the service once. True if it answered, also if it has no table.
  net::Awaitable<bool> readFromService();
  /// Fetches the table of a peer if it is newer.
  net::Awaitable<bool> fetchFromPeer(core::Member peer);
  /// Starts a fetch if the member's revision is newer than the replica's.
  void fetchIfNewer(const core::Member& peer);
  /// Watches and reads until the io_context ends.
  net::Awaitable<void> run();
  /// When the service last answered.
  core::TimePoint lastServiceResponse() const { return mLastAnswer; }

  /// Whether this process is one of the few of its failure domain that read
  /// the key-value service for the others.
  bool isWatcher() const;

private:
  bool takeDocument(const wire::Json& document, const std::string& source);

  net::asio::io_context& mIo;
  core::Membership& mMembers;
  core::TableReplica& mReplica;
  net::LinkPool& mLinks;
  backends::KvClient& mKv;
  net::Logger mLog;
  std::int64_t mServiceRevision = 0;
  core::TimePoint mLastAnswer;
  bool mFetching = false;
};

} // namespace lentilrack::node
