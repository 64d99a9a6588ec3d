#include "core/prefix_index.h"

#include <algorithm>

namespace lentilrack::core {

PrefixIndex::PrefixIndex(std::size_t maxPerServer)
  : mMaxPerServer(maxPerServer)
{
}

void
PrefixIndex::apply(const std::string& server,
                   const std::vector<PrefixChange>& changes)
{
  auto& state = mServers[server];
  for (const auto& change : changes) {
    if (change.sequence <= state.lastEvent) {
      continue;
    }
    if (change.sequence != state.lastEvent + 1) {
      clear(server, state);
    }
    state.lastEvent = change.sequence;
    if (change.added) {
      add(server, state, change.prefix);
    } else {
      remove(server, state, change.prefix);
    }
  }
}

void
PrefixIndex::recordAssignment(const std::string& server,
                              const std::string& prefix)
{
  if (!prefix.empty()) {
    add(server, mServers[server], prefix);
  }
}

void
PrefixIndex::removeServer(const std::string& server)
{
  const auto found = mServers.find(server);
  if (found != mServers.end()) {
    clear(server, found->second);
    mServers.erase(found);
  }
}

bool
PrefixIndex::holds(const std::string& server, const std::string& prefix) const
{
  return holders(prefix).contains(server);
}

const std::set<std::string>&
PrefixIndex::holders(const std::string& prefix) const
{
  static const std::set<std::string> kNone;
  const auto found = mHolders.find(prefix);
  return found == mHolders.end() ? kNone : found->second;
}

std::int64_t
PrefixIndex::lastSequence(const std::string& server) const
{
  const auto found = mServers.find(server);
  return found == mServers.end() ? 0 : found->second.lastEvent;
}

void
PrefixIndex::add(const std::string& name,
                 Server& server,
                 const std::string& prefix)
{
  if (!mHolders[prefix].insert(name).second) {
    return;
  }
  server.prefixes.push_back(prefix);
  if (server.prefixes.size() > mMaxPerServer) {
    const auto oldest = server.prefixes.front();
    remove(name, server, oldest);
  }
}

void
PrefixIndex::remove(const std::string& name,
                    Server& server,
                    const std::string& prefix)
{
  const auto found = mHolders.find(prefix);
  if (found == mHolders.end() || found->second.erase(name) == 0) {
    return;
  }
  std::erase(server.prefixes, prefix);
  if (found->second.empty()) {
    mHolders.erase(found);
  }
}

void
PrefixIndex::clear(const std::string& name, Server& server)
{
  const auto prefixes = server.prefixes;
  for (const auto& prefix : prefixes) {
    remove(name, server, prefix);
  }
}

} // namespace lentilrack::core
