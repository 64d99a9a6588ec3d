#include "fake_store.h"

#include <algorithm>

namespace lentilrack::gateway {

using core::Clock;
using core::Millis;

void
FakeStoreTable::put(const std::string& key,
                    std::string value,
                    std::int64_t lease)
{
  ++revision;
  history.push_back({ key, value, revision });
  entries[key] = { std::move(value), revision, lease };
}

void
FakeStoreTable::remove(const std::string& key)
{
  if (entries.erase(key) > 0) {
    ++revision;
    history.push_back({ key, std::nullopt, revision });
  }
}

void
FakeStoreTable::revoke(std::int64_t lease)
{
  leases.erase(lease);
  const auto before = entries;
  for (const auto& [key, entry] : before) {
    if (entry.lease == lease) {
      remove(key);
    }
  }
}

void
FakeStoreTable::revokeAll()
{
  const auto before = leases;
  for (const auto& [lease, end] : before) {
    revoke(lease);
  }
}

void
FakeStoreTable::expireLeases(core::TimePoint now)
{
  const auto before = leases;
  for (const auto& [lease, end] : before) {
    if (end <= now) {
      revoke(lease);
    }
  }
}

FakeStore::FakeStore(std::shared_ptr<FakeStoreTable> table)
  : mTable(std::move(table))
{
}

net::Awaitable<core::Result<std::optional<StoreItem>>>
FakeStore::read(std::string key)
{
  using Found = std::optional<StoreItem>;
  ++calls.reads;
  co_await net::sleepFor(Millis(1));
  mTable->expireLeases(Clock::now());
  if (isUnreachable) {
    co_return make_error_code(StoreError::Unavailable);
  }
  const auto found = mTable->entries.find(key);
  if (found == mTable->entries.end()) {
    co_return Found();
  }
  co_return Found(
    StoreItem{ key, found->second.value, found->second.revision });
}

net::Awaitable<core::Result<StoreListing>>
FakeStore::list(std::string prefix)
{
  ++calls.lists;
  co_await net::sleepFor(Millis(1));
  if (beforeList) {
    beforeList(prefix);
  }
  mTable->expireLeases(Clock::now());
  if (isUnreachable) {
    co_return make_error_code(StoreError::Unavailable);
  }
  StoreListing listing;
  listing.revision = mTable->revision;
  for (const auto& [key, entry] : mTable->entries) {
    if (key.starts_with(prefix)) {
      listing.items.push_back({ key, entry.value, entry.revision });
    }
  }
  co_return listing;
}

net::Awaitable<core::Result<StoreChanges>>
FakeStore::watch(std::string prefix, std::int64_t after, Millis wait)
{
  ++calls.watches;
  const auto end = Clock::now() + wait;
  StoreChanges changes;
  while (changes.changes.empty() && Clock::now() < end) {
    co_await net::sleepFor(Millis(2));
    mTable->expireLeases(Clock::now());
    if (isUnreachable) {
      co_return make_error_code(StoreError::Unavailable);
    }
    if (after < mTable->historyStart) {
      co_return make_error_code(StoreError::HistoryCompacted);
    }
    std::ranges::copy_if(mTable->history,
                         std::back_inserter(changes.changes),
                         [&](const StoreChange& change) {
                           return !isWatchSilent && change.revision > after &&
                                  change.key.starts_with(prefix);
                         });
  }
  changes.revision = mTable->revision;
  co_return changes;
}

StoreCommit
FakeStore::apply(const StoreTransaction& transaction)
{
  StoreCommit commit;
  mTable->expireLeases(Clock::now());
  const bool hasLeases =
    std::ranges::all_of(transaction.writes, [&](const auto& write) {
      return write.lease == 0 || mTable->leases.contains(write.lease);
    });
  if (!hasLeases) {
    commit.error = StoreError::LeaseNotFound;
    return commit;
  }
  for (const auto& [key, revision] : transaction.preconditions) {
    const auto found = mTable->entries.find(key);
    const auto current =
      found == mTable->entries.end() ? 0 : found->second.revision;
    if (current != revision) {
      commit.error = StoreError::Conflict;
    }
    if (current != 0) {
      commit.current.push_back({ key, found->second.value, current });
    }
  }
  if (commit.error) {
    return commit;
  }
  for (const auto& key : transaction.deletes) {
    mTable->remove(key);
  }
  ++mTable->revision;
  for (const auto& write : transaction.writes) {
    mTable->history.push_back({ write.key, write.value, mTable->revision });
    mTable->entries[write.key] = { write.value, mTable->revision, write.lease };
  }
  commit.revision = mTable->revision;
  return commit;
}

net::Awaitable<StoreCommit>
FakeStore::commit(StoreTransaction transaction)
{
  while (areCommitsSilent) {
    co_await net::sleepFor(core::Millis(10));
  }
  co_await net::sleepFor(Millis(1));
  if (beforeCommit) {
    beforeCommit(transaction);
  }
  ++calls.commits;
  StoreCommit commit;
  if (isUnreachable) {
    commit.error = StoreError::Unavailable;
    co_return commit;
  }
  commit = apply(transaction);
  if (unansweredCommits > 0) {
    --unansweredCommits;
    commit = StoreCommit();
    commit.error = StoreError::OutcomeUnknown;
  }
  co_return commit;
}

net::Awaitable<core::Result<std::int64_t>>
FakeStore::grantLease(Millis timeToLive)
{
  ++calls.grants;
  co_await net::sleepFor(Millis(1));
  if (isUnreachable) {
    co_return make_error_code(StoreError::Unavailable);
  }
  const auto lease = ++mTable->lastLease;
  mTable->leases[lease] = Clock::now() + timeToLive;
  mTimeToLive[lease] = timeToLive;
  co_return lease;
}

net::Awaitable<std::error_code>
FakeStore::renewLease(std::int64_t lease)
{
  ++calls.renewals;
  co_await net::sleepFor(Millis(1));
  mTable->expireLeases(Clock::now());
  if (isUnreachable) {
    co_return make_error_code(StoreError::Unavailable);
  }
  const auto found = mTable->leases.find(lease);
  if (found == mTable->leases.end()) {
    co_return make_error_code(StoreError::LeaseNotFound);
  }
  found->second = Clock::now() + mTimeToLive[lease];
  co_return std::error_code();
}

} // namespace lentilrack::gateway
