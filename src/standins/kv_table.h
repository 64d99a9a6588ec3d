#pragma once

#include "core/time.h"
#include "wire/object_reader.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::standins {

/// Key-value table with revisions, compare-and-swap and leases. One revision
/// counts the writes and removals of all keys, so that a key never has the same
/// revision twice.
class KvTable
{
public:
  struct Entry
  {
    wire::Json value;
    std::int64_t revision = 0;
    /// Identifier of the lease; empty if the key has none.
    std::string lease;
  };

  /// Returns null if there is no such key.
  const Entry* find(const std::string& key) const;
  std::vector<std::pair<std::string, Entry>> list(
    const std::string& prefix) const;
  std::int64_t revision() const { return mRevision; }

  /// Writes a value and returns its revision. Writes nothing and returns
  /// std::nullopt if the key has another revision than `expect`; a missing key
  /// has revision 0.
  std::optional<std::int64_t> put(const std::string& key,
                                  wire::Json value,
                                  std::optional<std::int64_t> expect,
                                  std::string lease);
  /// Returns false if there is no such key.
  bool remove(const std::string& key);

  /// Creates a lease and returns its identifier.
  std::string grant(core::Millis timeToLive, core::TimePoint now);
  /// Extends a lease. Returns false if it does not exist or has expired.
  bool renew(const std::string& lease, core::TimePoint now);
  bool hasLease(const std::string& lease) const;
  /// Deletes the leases that have expired by `now`, and their keys.
  void expireLeases(core::TimePoint now);

private:
  struct Lease
  {
    core::Millis timeToLive;
    core::TimePoint end;
  };

  void removeKeysOf(const std::string& lease);

  std::map<std::string, Entry> mEntries;
  std::map<std::string, Lease> mLeases;
  std::int64_t mRevision = 0;
  std::int64_t mLastLease = 0;
};

} // namespace lentilrack::standins
