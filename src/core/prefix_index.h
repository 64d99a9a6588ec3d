#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lentilrack::core {

/// A change in a server's cache of prompt prefixes.
struct PrefixChange
{
  std::int64_t sequence = 0;
  std::string prefix;
  bool added = true;
};

/// Tracks which backend servers probably have which prompt prefixes cached,
/// from their cache events and from the work that was sent to them. A wrong
/// entry only makes a request slower, since its prompt is processed again.
class PrefixIndex
{
public:
  /// `maxPerServer` is the maximum number of prefixes per server. The oldest
  /// are removed first.
  explicit PrefixIndex(std::size_t maxPerServer = 64);

  /// Applies the events that follow the last applied event, in order. After a
  /// gap in the sequence, all prefixes recorded for the server are removed
  /// first, since evictions may have been missed.
  void apply(const std::string& server,
             const std::vector<PrefixChange>& changes);
  /// Records that work with this prefix was sent to the server.
  void recordAssignment(const std::string& server, const std::string& prefix);
  /// Removes the server with all prefixes recorded for it.
  void removeServer(const std::string& server);

  /// Whether the server probably has the prefix cached.
  bool holds(const std::string& server, const std::string& prefix) const;
  /// Returns the servers that probably have the prefix cached, by name.
  const std::set<std::string>& holders(const std::string& prefix) const;
  /// Returns the sequence number of the server's last applied event; 0 before
  /// the first.
  std::int64_t lastSequence(const std::string& server) const;

private:
  struct Server
  {
    /// Sequence number of the last applied event.
    std::int64_t lastEvent = 0;
    /// Cached prefixes, oldest first.
    std::deque<std::string> prefixes;
  };

  void add(const std::string& name, Server& server, const std::string& prefix);
  void remove(const std::string& name,
              Server& server,
              const std::string& prefix);
  void clear(const std::string& name, Server& server);

  std::size_t mMaxPerServer;
  /// Servers by id.
  std::unordered_map<std::string, Server> mServers;
  /// Ids of the servers that probably have a prefix cached, by prefix.
  std::unordered_map<std::string, std::set<std::string>> mHolders;
};

} // namespace lentilrack::core
