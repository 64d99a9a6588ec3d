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

/// A change of a server's prompt prefix cache.
struct PrefixChange
{
  std::int64_t sequence = 0;
  std::string prefix;
  bool added = true;
};

/// Which backend servers probably hold which prompt prefixes: from their cache
/// events and from the work that was sent to them. Wrong entries cost time and
/// nothing else.
class PrefixIndex
{
public:
  /// `maxPerServer` bounds the entries of one server; the oldest go first.
  explicit PrefixIndex(std::size_t maxPerServer = 64);

  /// Applies the events after the last ones, in order. After a gap, evictions
  /// may have been missed, so everything known of the server is dropped first.
  void apply(const std::string& server,
             const std::vector<PrefixChange>& changes);
  /// Work with this prefix was sent to the server.
  void recordAssignment(const std::string& server, const std::string& prefix);
  void removeServer(const std::string& server);

  bool holds(const std::string& server, const std::string& prefix) const;
  /// Servers that hold the prefix, in order of their names.
  const std::set<std::string>& holders(const std::string& prefix) const;
  /// Sequence number of the last event of a server; 0 before the first.
  std::int64_t lastSequence(const std::string& server) const;

private:
  struct Server
  {
    std::int64_t last = 0;
    /// Oldest first.
    std::deque<std::string> prefixes;
  };

  void add(const std::string& name, Server& server, const std::string& prefix);
  void remove(const std::string& name,
              Server& server,
              const std::string& prefix);
  void clear(const std::string& name, Server& server);

  std::size_t mMost;
  std::unordered_map<std::string, Server> mServers;
  std::unordered_map<std::string, std::set<std::string>> mHolders;
};

} // namespace lentilrack::core
