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
  /// The write may have been executed, or may still be as long as its
  /// preconditions hold.
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

/// A key with its value and the revision of its last change.
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
  /// Revision of the store when the first page was read.
  std::int64_t revision = 0;
};

/// A change of one key. Without a value the key was removed.
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

/// A set of writes and deletes that is executed only as a whole, and only if
/// all preconditions hold.
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

/// Result of a transaction.
struct StoreCommit
{
  /// Success or a StoreError.
  std::error_code error;
  /// Revision of the commit.
  std::int64_t revision = 0;
  /// After a conflict: those keys of the preconditions that exist.
  std::vector<StoreItem> current;
};

/// The store in which the processes coordinate and which outlives all of them.
/// It has conditional transactions, watches by prefix, and leases.
class CoordinationStore
{
public:
  virtual ~CoordinationStore() = default;

  /// Returns the item, or nothing if the key does not exist.
  virtual net::Awaitable<core::Result<std::optional<StoreItem>>> read(
    std::string key) = 0;
  /// Returns all items whose key has the prefix. The pages of a long listing
  /// are not a consistent snapshot.
  virtual net::Awaitable<core::Result<StoreListing>> list(
    std::string prefix) = 0;
  /// Returns the changes after a revision as soon as there is one, or none
  /// after `wait`.
  virtual net::Awaitable<core::Result<StoreChanges>>
  watch(std::string prefix, std::int64_t after, core::Millis wait) = 0;
  /// Executes the transaction.
  virtual net::Awaitable<StoreCommit> commit(StoreTransaction transaction) = 0;
  /// Returns the id of a new lease.
  virtual net::Awaitable<core::Result<std::int64_t>> grantLease(
    core::Millis timeToLive) = 0;
  /// Extends the lease by its time to live.
  virtual net::Awaitable<std::error_code> renewLease(std::int64_t lease) = 0;
};

} // namespace lentilrack::gateway

template<>
struct std::is_error_code_enum<lentilrack::gateway::StoreError> : std::true_type
{
};
