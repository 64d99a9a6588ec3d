#pragma once

#include "core/time.h"
#include "wire/object_reader.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::standins {

/// Keys with revisions, compare-and-swap and leases. Revisions count all
/// writes, so a key never has the same revision twice.
class KvTable
{
public:
  struct Entry
  {
    wire::Json value;
    std::int64_t revision = 0;
    /// Empty without a lease.
    std::string lease;
  };

  const Entry* find(const std::string& key) const;
  std::vector<std::pair<std::string, Entry>> list(
    const std::string& prefix) const;
  std::int64_t revision() const { return mRevision; }

  /// The new revision; nothing if the key has another revision than `expect`.
  std::optional<std::int64_t> put(const std::string& key,
                                  wire::Json value,
                                  std::optional<std::int64_t> expect,
                                  std::string lease);
  bool remove(const std::string& key);

  std::string grant(core::Millis timeToLive, core::TimePoint now);
  bool renew(const std::string& lease, core::TimePoint now);
  bool hasLease(const std::string& lease) const;
  /// Deletes the leases that have lapsed by `now`, and their keys.
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
