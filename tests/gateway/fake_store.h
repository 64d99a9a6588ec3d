#pragma once

#include "gateway/coordination_store.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lentilrack::gateway {

/// What all fake stores of a test share: keys, leases and the history.
struct FakeStoreTable
{
  struct Entry
  {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t lease = 0;
  };

  std::int64_t revision = 1;
  std::int64_t lastLease = 0;
  std::map<std::string, Entry> entries;
  std::map<std::int64_t, core::TimePoint> leases;
  std::vector<StoreChange> history;
  /// Revision below which the history was dropped.
  std::int64_t historyStart = 0;

  void put(const std::string& key, std::string value, std::int64_t lease = 0);
  void remove(const std::string& key);
  /// Ends a lease at once, with its keys.
  void revoke(std::int64_t lease);
  void revokeAll();
  void expireLeases(core::TimePoint now);
  void compactHistory() { historyStart = revision; }
};

/// One process' way to the store, with faults of its own.
class FakeStore : public CoordinationStore
{
public:
  explicit FakeStore(std::shared_ptr<FakeStoreTable> table);

  /// Calls are turned away.
  bool isUnreachable = false;
  /// Watches see nothing.
  bool isWatchSilent = false;
  /// Commits that are done without an answer.
  int unansweredCommits = 0;
  std::function<void(const std::string&)> beforeList;
  std::function<void(const StoreTransaction&)> beforeCommit;
  int commits = 0;

  net::Awaitable<core::Result<std::optional<StoreItem>>> read(
    std::string key) override;
  net::Awaitable<core::Result<StoreListing>> list(std::string prefix) override;
  net::Awaitable<core::Result<StoreChanges>> watch(std::string prefix,
                                                   std::int64_t after,
                                                   core::Millis wait) override;
  net::Awaitable<StoreCommit> commit(StoreTransaction transaction) override;
  net::Awaitable<core::Result<std::int64_t>> grantLease(
    core::Millis timeToLive) override;
  net::Awaitable<std::error_code> renewLease(std::int64_t lease) override;

private:
  StoreCommit apply(const StoreTransaction& transaction);

  std::shared_ptr<FakeStoreTable> mTable;
  std::map<std::int64_t, core::Millis> mTimeToLive;
};

} // namespace lentilrack::gateway
