#include "node/table_sync.h"

#include "backends/error.h"
#include "wire/messages.h"
#include "wire/table_codec.h"

#include <xxhash.h>

#include <algorithm>

namespace lentilrack::node {

using net::Awaitable;

namespace {

/// Number of processes per failure domain that watch the table. One would be
/// enough; the second takes over if it fails.
constexpr std::size_t kWatchers = 2;
constexpr core::Millis kWatchTimeout{ 10'000 };
/// Interval at which a process that does not watch the table checks whether it
/// still receives heartbeats.
constexpr core::Millis kCheckPeriod{ 1000 };
/// A process that has received no heartbeat for this time reads the service
/// itself, so that it sees an edit within the guaranteed 7 s.
constexpr core::Millis kPeerTimeout{ 3000 };
constexpr core::Millis kReadPeriod{ 60'000 };
constexpr core::Millis kRetry{ 500 };
constexpr core::Millis kFetchTimeout{ 1000 };

} // namespace

TableSync::TableSync(net::asio::io_context& io,
                     core::Membership& members,
                     core::TableReplica& replica,
                     net::LinkPool& links,
                     backends::KvClient& kv,
                     net::Logger log)
  : mIo(io)
  , mMembers(members)
  , mReplica(replica)
  , mLinks(links)
  , mKv(kv)
  , mLog(std::move(log))
{
}

void
TableSync::addHandlers(net::LinkServer& server)
{
  server.registerHandler(
    wire::TableFetch::kType,
    [this](std::shared_ptr<net::LinkRequest> request) -> Awaitable<void> {
      request->reply(wire::encode(mReplica.table()));
      co_return;
    });
}

bool
TableSync::applyDocument(const wire::Json& document, const std::string& source)
{
  auto table = wire::decodeTable(document);
  if (!table) {
    mLog.error("Table from {} is not valid: {}.", source, table.error().text());
    return false;
  }
  const auto revision = table.value().revision;
  const bool isNew = mReplica.applyIfNewer(std::move(table).value());
  if (isNew) {
    mLog.info("Table revision {} from {} is in force.", revision, source);
  }
  return isNew;
}

Awaitable<bool>
TableSync::readFromService()
{
  const auto entry = co_await mKv.read(kTableKey);
  if (!entry && entry.error() != backends::BackendError::NotFound) {
    co_return false;
  }
  mLastResponse = core::Clock::now();
  if (entry) {
    mServiceRevision = std::max(mServiceRevision, entry.value().revision);
    applyDocument(entry.value().value, "the key-value service");
  }
  co_return true;
}

Awaitable<bool>
TableSync::fetchFromPeer(core::Member peer)
{
  const auto link = mLinks.clientFor(peer.link);
  net::LinkCallOptions options;
  options.timeout = kFetchTimeout;
  const auto reply =
    co_await link->call(wire::TableFetch::kType, nullptr, std::move(options));
  co_return !reply.error && applyDocument(reply.body, peer.id.name);
}

void
TableSync::fetchIfNewer(const core::Member& peer)
{
  if (peer.tableRevision <= mReplica.revision() || mFetching) {
    return;
  }
  mFetching = true;
  const auto fetch = [](TableSync& sync,
                        core::Member member) -> Awaitable<void> {
    co_await sync.fetchFromPeer(std::move(member));
    sync.mFetching = false;
  };
  net::spawn(mIo, fetch(*this, peer));
}

bool
TableSync::isWatcher() const
{
  const auto& self = mMembers.self();
  auto members = mMembers.liveMembers(core::MemberRole::Entry);
  const auto dispatchers = mMembers.liveMembers(core::MemberRole::Dispatch);
  members.insert(members.end(), dispatchers.begin(), dispatchers.end());
  const auto score = [](const core::Member& member) {
    return XXH3_64bits(member.id.name.data(), member.id.name.size());
  };
  const auto higherRanked =
    std::ranges::count_if(members, [&](const auto& member) {
      return member.failureDomain == self.failureDomain &&
             score(member) > score(self);
    });
  return static_cast<std::size_t>(higherRanked) < kWatchers;
}

Awaitable<void>
TableSync::run()
{
  for (;;) {
    if (!isWatcher()) {
      co_await net::sleepFor(kCheckPeriod);
      const auto now = core::Clock::now();
      const auto heard =
        mMembers.lastHeardAmong([](const std::string&) { return true; });
      const bool isPeerTimeout = !heard || now - *heard > kPeerTimeout;
      if (isPeerTimeout || now - mLastResponse > kReadPeriod) {
        co_await readFromService();
      }
      continue;
    }
    const auto entry =
      co_await mKv.watch(kTableKey, mServiceRevision, kWatchTimeout);
    if (!entry) {
      co_await net::sleepFor(kRetry);
      continue;
    }
    mLastResponse = core::Clock::now();
    if (entry.value()) {
      mServiceRevision = entry.value()->revision;
      applyDocument(entry.value()->value, "the key-value service");
    }
  }
}

} // namespace lentilrack::node
