#include "standins/kv_table.h"

namespace lentilrack::standins {

const KvTable::Entry*
KvTable::find(const std::string& key) const
{
  const auto found = mEntries.find(key);
  return found == mEntries.end() ? nullptr : &found->second;
}

std::vector<std::pair<std::string, KvTable::Entry>>
KvTable::list(const std::string& prefix) const
{
  std::vector<std::pair<std::string, Entry>> entries;
  for (auto it = mEntries.lower_bound(prefix);
       it != mEntries.end() && it->first.starts_with(prefix);
       ++it) {
    entries.emplace_back(it->first, it->second);
  }
  return entries;
}

std::optional<std::int64_t>
KvTable::put(const std::string& key,
             wire::Json value,
             std::optional<std::int64_t> expect,
             std::string lease)
{
  const auto* current = find(key);
  const auto revision = current == nullptr ? 0 : current->revision;
  if (expect && *expect != revision) {
    return std::nullopt;
  }
  mEntries[key] = { std::move(value), ++mRevision, std::move(lease) };
  return mRevision;
}

bool
KvTable::remove(const std::string& key)
{
  if (mEntries.erase(key) == 0) {
    return false;
  }
  ++mRevision;
  return true;
}

std::string
KvTable::grant(core::Millis timeToLive, core::TimePoint now)
{
  auto lease = "lease-" + std::to_string(++mLastLease);
  mLeases[lease] = { timeToLive, now + timeToLive };
  return lease;
}

bool
KvTable::renew(const std::string& lease, core::TimePoint now)
{
  const auto found = mLeases.find(lease);
  if (found == mLeases.end()) {
    return false;
  }
  found->second.end = now + found->second.timeToLive;
  return true;
}

bool
KvTable::hasLease(const std::string& lease) const
{
  return mLeases.contains(lease);
}

void
KvTable::expireLeases(core::TimePoint now)
{
  for (auto it = mLeases.begin(); it != mLeases.end();) {
    if (it->second.end > now) {
      ++it;
      continue;
    }
    removeKeysOf(it->first);
    it = mLeases.erase(it);
  }
}

void
KvTable::removeKeysOf(const std::string& lease)
{
  const auto count = std::erase_if(
    mEntries, [&](const auto& entry) { return entry.second.lease == lease; });
  mRevision += static_cast<std::int64_t>(count);
}

} // namespace lentilrack::standins
