#pragma once

#include "core/result.h"
#include "net/asio.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::gateway {

/// Errors of the coordination store.
enum class StoreError
{
  /// The call was not executed.
  Unavailable = 1,
  /// The write may have been executed, or may still be executed later as long
  /// as its preconditions hold.
  OutcomeUnknown,
  /// A precondition does not hold; nothing was written.
  Conflict,
  /// The lease does not exist; nothing was written.
  LeaseNotFound,
  /// The changes after the given revision are no longer kept.
  HistoryCompacted,
  /// The response does not follow the documented format.
  MalformedResponse,
};

const std::error_category&
storeCategory();

std::error_code
make_error_code(StoreError error); // NOLINT: name required by the library

/// A key with its value and the revision of the last change of the key.
struct StoreItem
{
  std::string key;
  std::string value;
  std::int64_t revision = 0;
};

/// Result of a listing.
struct StoreListing
{
  std::vector<StoreItem> items;
  /// Revision of the store when the first page of the listing was read.
  std::int64_t revision = 0;
};

/// A change of one key. If there is no value, the key was removed.
struct StoreChange
{
  std::string key;
  std::optional<std::string> value;
  std::int64_t revision = 0;
};

/// Result of a watch.
struct StoreChanges
{
  std::vector<StoreChange> changes;
  /// Revision from which the next watch continues.
  std::int64_t revision = 0;
};

/// A set of writes and deletes. The store executes either all of them or, if a
/// precondition does not hold, none.
struct StoreTransaction
{
  struct Precondition
  {
    std::string key;
    /// Required revision of the key; 0 if it must not exist.
    std::int64_t revision = 0;
  };
  struct Write
  {
    std::string key;
    std::string value;
    /// Lease that the key is bound to; 0 for none.
    std::int64_t lease = 0;
  };

  std::vector<Precondition> preconditions;
  std::vector<Write> writes;
  std::vector<std::string> deletes;
};

/// What is known of a write after the call that makes it has ended.
enum class WriteOutcome
{
  Done,
  /// Nothing was written, and nothing will be.
  NotDone,
  /// The write may have been executed, or may still be executed later.
  Unknown,
};

/// Result of a transaction.
struct StoreCommit
{
  /// Success or a StoreError.
  std::error_code error;
  /// Revision of the commit.
  std::int64_t revision = 0;
  /// After a conflict: the current items of those precondition keys that exist.
  std::vector<StoreItem> current;

  /// Returns NotDone only if the store has said so.
  WriteOutcome outcome() const;
};

/// The store through which the processes coordinate and which outlives all of
/// them. It offers conditional transactions, watches by key prefix, and leases.
class CoordinationStore
{
public:
  virtual ~CoordinationStore() = default;

  /// Returns the item, or nothing if the key does not exist.
  virtual net::Awaitable<core::Result<std::optional<StoreItem>>> read(
    std::string key) = 0;
  /// Returns all items whose key has the prefix. A long listing is read in
  /// pages at different times, so it is not a consistent snapshot.
  virtual net::Awaitable<core::Result<StoreListing>> list(
    std::string prefix) = 0;
  /// Returns the changes of keys with the prefix after the revision `after`.
  /// Waits for a change for up to `wait` and then returns no changes.
  virtual net::Awaitable<core::Result<StoreChanges>>
  watch(std::string prefix, std::int64_t after, core::Millis wait) = 0;
  virtual net::Awaitable<StoreCommit> commit(StoreTransaction transaction) = 0;
  /// Returns the id of a new lease.
  virtual net::Awaitable<core::Result<std::int64_t>> grantLease(
    core::Millis timeToLive) = 0;
  /// Restarts the time to live of the lease. Fails with LeaseNotFound if the
  /// lease has expired.
  virtual net::Awaitable<std::error_code> renewLease(std::int64_t lease) = 0;
};

} // namespace lentilrack::gateway

template<>
struct std::is_error_code_enum<lentilrack::gateway::StoreError> : std::true_type
{
};
