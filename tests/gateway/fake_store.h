#pragma once

#include "gateway/coordination_store.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lentilrack::gateway {

/// Data shared by all fake stores of a test: keys, leases and the history of
/// changes.
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
  /// When each lease expires, by lease id.
  std::map<std::int64_t, core::TimePoint> leases;
  std::vector<StoreChange> history;
  /// Changes before this revision are no longer available.
  std::int64_t historyStart = 0;

  void put(const std::string& key, std::string value, std::int64_t lease = 0);
  void remove(const std::string& key);
  /// Ends a lease at once and removes its keys.
  void revoke(std::int64_t lease);
  void revokeAll();
  /// Ends all leases whose time has passed.
  void expireLeases(core::TimePoint now);
  void compactHistory() { historyStart = revision; }
};

/// Calls to a store by kind.
struct FakeStoreCalls
{
  int reads = 0;
  int lists = 0;
  int watches = 0;
  int commits = 0;
  int grants = 0;
  int renewals = 0;

  /// Returns the price of the calls. A renewal costs a tenth of another call.
  double price() const
  {
    constexpr double kRenewalPrice = 0.1;
    return reads + lists + watches + commits + grants +
           kRenewalPrice * renewals;
  }
};

/// A coordination store in memory, as one process sees it. Faults can be set
/// for each process separately.
class FakeStore : public CoordinationStore
{
public:
  explicit FakeStore(std::shared_ptr<FakeStoreTable> table);

  /// True if every call fails with StoreError::Unavailable.
  bool isUnreachable = false;
  /// True if commits get no response while it is set.
  bool areCommitsSilent = false;
  /// True if watches succeed but return no changes.
  bool isWatchSilent = false;
  /// Number of following commits that are executed but whose response is lost.
  int unansweredCommits = 0;
  /// Hooks that are called before each listing and each commit, if set.
  std::function<void(const std::string&)> beforeList;
  std::function<void(const StoreTransaction&)> beforeCommit;
  /// Calls so far, including those that failed.
  FakeStoreCalls calls;

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
  /// Time to live of each granted lease, by lease id.
  std::map<std::int64_t, core::Millis> mTimeToLive;
};

} // namespace lentilrack::gateway
