#include "node/table_sync.h"

#include "backends/error.h"
#include "wire/messages.h"
#include "wire/table_codec.h"

#include <xxhash.h>

#include <algorithm>

namespace lentilrack::node {

using net::Awaitable;

namespace {

/// Watchers of the table in each failure domain; one is a reserve.
constexpr std::size_t kWatchers = 2;
constexpr core::Millis kWatchTime{ 10'000 };
/// How often a process without a watch looks whether it still hears peers.
constexpr core::Millis kCheckPeriod{ 1000 };
/// Without a word from a peer for this long it reads the service itself, so
/// that an edit is seen within the promised 7 s.
constexpr core::Millis kPeerSilence{ 3000 };
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
TableSync::takeDocument(const wire::Json& document, const std::string& source)
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
  mLastAnswer = core::Clock::now();
  if (entry) {
    mServiceRevision = std::max(mServiceRevision, entry.value().revision);
    takeDocument(entry.value().value, "the key-value service");
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
  co_return !reply.error && takeDocument(reply.body, peer.id.name);
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
  const auto better = std::ranges::count_if(members, [&](const auto& member) {
    return member.failureDomain == self.failureDomain &&
           score(member) > score(self);
  });
  return static_cast<std::size_t>(better) < kWatchers;
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
      const bool isSilent = !heard || now - *heard > kPeerSilence;
      if (isSilent || now - mLastAnswer > kReadPeriod) {
        co_await readFromService();
      }
      continue;
    }
    const auto entry =
      co_await mKv.watch(kTableKey, mServiceRevision, kWatchTime);
    if (!entry) {
      co_await net::sleepFor(kRetry);
      continue;
    }
    mLastAnswer = core::Clock::now();
    if (entry.value()) {
      mServiceRevision = entry.value()->revision;
      takeDocument(entry.value()->value, "the key-value service");
    }
  }
}

} // namespace lentilrack::node
