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
  /// Nothing was done.
  Unavailable = 1,
  /// The write may have been done, or may still be done while its condition
  /// holds.
  OutcomeUnknown,
  /// A condition does not hold; nothing was done.
  Conflict,
  /// No such lease; nothing was done.
  LeaseNotFound,
  /// The history after the given revision is no longer kept.
  HistoryCompacted,
  /// An answer that does not follow the published form.
  MalformedResponse,
};

const std::error_category&
storeCategory();

std::error_code
make_error_code(StoreError error); // NOLINT: name required by the library

/// The value of a key with the revision of its last change.
struct StoreItem
{
  std::string key;
  std::string value;
  std::int64_t revision = 0;
};

struct StoreListing
{
  std::vector<StoreItem> items;
  /// Revision of the store at the first page.
  std::int64_t revision = 0;
};

/// A change of one key; without a value it was removed.
struct StoreChange
{
  std::string key;
  std::optional<std::string> value;
  std::int64_t revision = 0;
};

struct StoreChanges
{
  std::vector<StoreChange> changes;
  /// Where the next watch goes on.
  std::int64_t revision = 0;
};

/// All or nothing.
struct StoreTransaction
{
  struct Precondition
  {
    std::string key;
    /// 0: the key does not exist.
    std::int64_t revision = 0;
  };
  struct Write
  {
    std::string key;
    std::string value;
    /// 0: none.
    std::int64_t lease = 0;
  };

  std::vector<Precondition> preconditions;
  std::vector<Write> writes;
  std::vector<std::string> deletes;
};

struct StoreCommit
{
  /// Success, or a StoreError.
  std::error_code error;
  /// Revision of the commit.
  std::int64_t revision = 0;
  /// After a conflict: the expected keys that exist.
  std::vector<StoreItem> current;
};

/// The small store that outlives every process: transactions under conditions,
/// watches by prefix, leases.
class CoordinationStore
{
public:
  virtual ~CoordinationStore() = default;

  virtual net::Awaitable<core::Result<std::optional<StoreItem>>> read(
    std::string key) = 0;
  /// All items below the prefix; pages are not a snapshot.
  virtual net::Awaitable<core::Result<StoreListing>> list(
    std::string prefix) = 0;
  /// Changes after a revision, as soon as there is one; none after `wait`.
  virtual net::Awaitable<core::Result<StoreChanges>>
  watch(std::string prefix, std::int64_t after, core::Millis wait) = 0;
  virtual net::Awaitable<StoreCommit> commit(StoreTransaction transaction) = 0;
  virtual net::Awaitable<core::Result<std::int64_t>> grantLease(
    core::Millis timeToLive) = 0;
  virtual net::Awaitable<std::error_code> renewLease(std::int64_t lease) = 0;
};

} // namespace lentilrack::gateway

template<>
struct std::is_error_code_enum<lentilrack::gateway::StoreError> : std::true_type
{
};
