#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace lentilrack::core {

struct ServerHealthOptions
{
  /// Time constant of the observed token rate. Slow periods last about ten
  /// seconds, so the rate must follow within a small part of that.
  Millis rateWindow{ 1500 };
  /// A server is slow below this part of its peers' median rate, and normal
  /// again above `recoveredThreshold`. The gap keeps ordinary variation from
  /// moving a server back and forth.
  double slowThreshold = 0.6;
  double recoveredThreshold = 0.8;
  /// Smallest share of a slow server.
  double minSlowShare = 0.05;
  /// A server below this share gets only probes. A fixed part of its slots
  /// would put several percent of all short work on slow servers, which shows
  /// in the 99th percentile.
  double probeOnlyShare = 0.5;
  /// An idle slow server is probed after this time.
  Millis probeInterval{ 1000 };
  /// Largest part of the servers of a target that may count as slow or down.
  double maxEjectedFraction = 0.3;
  /// Failures in a row after which a server counts as down.
  int failuresUntilDown = 2;
  Millis initialBackoff{ 500 };
  Millis maxBackoff{ 15'000 };
  /// Slot-seconds of observation before a rate counts.
  double minSlotSeconds = 0.2;
};

/// Observed speed of each backend server compared with its peers. All
/// observations come from the dispatcher's own work, so they are never late.
class ServerHealth
{
public:
  explicit ServerHealth(ServerHealthOptions options = {});

  void started(const std::string& server, TimePoint now);
  /// The server produced tokens (1 for each answered call).
  void progress(const std::string& server, double tokens, TimePoint now);
  void finished(const std::string& server, TimePoint now);
  /// The server answered as it should.
  void succeeded(const std::string& server);
  /// Connection refused, broken answer or timeout.
  void failed(const std::string& server, TimePoint now);
  void removeServer(const std::string& server);

  /// Measures the servers of one target, updates their median rate and, unless
  /// `adjustShares` is false, their shares. Called a few times a second.
  void compare(const std::vector<std::string>& peers,
               TimePoint now,
               bool adjustShares = true);

  /// 1 for a normal server, its part of the median rate if it is slow.
  double share(const std::string& server) const;
  /// How many of `limit` slots may be used now.
  std::int64_t usableSlots(const std::string& server,
                           std::int64_t limit,
                           TimePoint now) const;
  /// False while a server that is down waits for its next probe, or while a
  /// probe runs.
  bool isAvailable(const std::string& server, TimePoint now) const;
  bool isDown(const std::string& server) const;
  /// Tokens per second of one running request; 0 if not known.
  double streamRate(const std::string& server, TimePoint now) const;
  /// Median of the last comparison over the servers with a known rate, of the
  /// peers that `server` was last compared with; 0 if not known.
  double peerRate(const std::string& server) const;

private:
  struct Server
  {
    /// Decayed sums.
    double tokens = 0;
    double slotSeconds = 0;
    TimePoint updated;
    std::int64_t running = 0;
    bool isSlow = false;
    double share = 1;
    double peerRate = 0;
    int failures = 0;
    TimePoint retryAt;
    std::int64_t probes = 0;
    /// When its last run started or ended.
    TimePoint active;
  };

  void settle(Server& server, TimePoint now) const;
  double rateOf(const Server& server, TimePoint now) const;
  const Server* find(const std::string& server) const;

  ServerHealthOptions mOptions;
  std::unordered_map<std::string, Server> mServers;
};

} // namespace lentilrack::core
