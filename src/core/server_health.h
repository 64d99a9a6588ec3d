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
  /// Time constant of the exponential decay of the observed token rate. Servers
  /// are slow for about ten seconds at a time, so the rate must react within a
  /// fraction of this time.
  Millis rateTimeConstant{ 1500 };
  /// A server counts as slow below this fraction of its peers' median rate, and
  /// as normal again above `recoveredThreshold`. The gap keeps ordinary
  /// variation from moving a server back and forth.
  double slowThreshold = 0.6;
  double recoveredThreshold = 0.8;
  /// Lower bound for the share of a slow server.
  double minSlowShare = 0.05;
  /// A server below this share gets only probes. Using a fixed fraction of its
  /// slots would run several percent of all short work on slow servers, which
  /// would raise the 99th percentile of the latency.
  double probeOnlyShare = 0.5;
  /// A server that gets only probes is probed after it was idle for this time.
  Millis probeInterval{ 1000 };
  /// Largest fraction of a target's servers that may be ejected. A slow server
  /// is ejected by reducing its share. Servers that are down count as ejected,
  /// so that enough servers with a full share remain.
  double maxEjectedFraction = 0.3;
  /// Consecutive failures after which a server counts as down.
  int failuresUntilDown = 2;
  /// Wait before a server that is down is probed; doubles with each failure.
  Millis initialBackoff{ 500 };
  Millis maxBackoff{ 15'000 };
  /// A server's rate is used only after its requests have been running for this
  /// time in total.
  double minSlotSeconds = 0.2;
};

/// Detects slow and failing backend servers by comparing the speed of each with
/// its peers. The speeds are observed on the dispatcher's own work, so they are
/// always current.
///
/// The caller reports every run with started(), progress() and finished(),
/// whatever its result; the token rate is computed from these. If the result
/// shows that the server works or fails, the caller also calls succeeded() or
/// failed(), which count consecutive failures.
class ServerHealth
{
public:
  explicit ServerHealth(ServerHealthOptions options = {});

  /// Records that the server has begun to run a request. finished() must follow
  /// when the run ends.
  void started(const std::string& server, TimePoint now);
  /// Records tokens that a run has produced. The answer of a call, which has no
  /// tokens, counts as one token.
  void progress(const std::string& server, double tokens, TimePoint now);
  /// Records the end of a run, whatever its result.
  void finished(const std::string& server, TimePoint now);
  /// Records that the server answered properly. Resets the number of
  /// consecutive failures.
  void succeeded(const std::string& server);
  /// Records a refused connection, an invalid answer or a timeout. Ignored for
  /// a server that is down and whose next probe is not due yet.
  void failed(const std::string& server, TimePoint now);
  /// Removes everything known of the server.
  void removeServer(const std::string& server);

  /// Compares the servers of one target. Updates their median rate and, if
  /// `adjustShares` is set, their shares. To be called a few times per second.
  void compare(const std::vector<std::string>& peers,
               TimePoint now,
               bool adjustShares = true);

  /// Returns 1 for a normal server; for a slow one, its rate as a fraction of
  /// the median.
  double share(const std::string& server) const;
  /// Returns how many of `limit` slots may be used now.
  std::int64_t usableSlots(const std::string& server,
                           std::int64_t limit,
                           TimePoint now) const;
  /// Whether the server may get work. A server that is down may get work only
  /// when its next probe is due and no probe is running.
  bool isAvailable(const std::string& server, TimePoint now) const;
  /// Whether the server has failed too many times in a row.
  bool isDown(const std::string& server) const;
  /// Returns the tokens per second of one running request; 0 if not known.
  double streamRate(const std::string& server, TimePoint now) const;
  /// Returns the median rate, in tokens per second of one request, of the peers
  /// that the server was last compared with; 0 if not known.
  double peerRate(const std::string& server) const;

private:
  struct Server
  {
    /// Tokens produced, and seconds during which requests were running, summed
    /// over the requests. Both sums decay exponentially; the values are those
    /// at `decayedAt`.
    double tokens = 0;
    double slotSeconds = 0;
    TimePoint decayedAt;
    /// Number of requests that are running now.
    std::int64_t running = 0;
    bool isSlow = false;
    /// See ServerHealth::share().
    double share = 1;
    /// See ServerHealth::peerRate().
    double peerRate = 0;
    /// Number of consecutive failures.
    int failures = 0;
    /// Earliest time of the next probe of a server that is down.
    TimePoint retryAt;
    /// Number of requests that were started while the server was down.
    std::int64_t activeProbes = 0;
    /// When a run last started or ended.
    TimePoint lastActiveAt;
  };

  /// Updates the decayed sums to the time `now`.
  void decaySums(Server& server, TimePoint now) const;
  /// Returns the tokens per second of one running request; 0 if the server was
  /// observed for less than `minSlotSeconds`.
  double rateOf(const Server& server, TimePoint now) const;
  const Server* find(const std::string& server) const;

  ServerHealthOptions mOptions;
  std::unordered_map<std::string, Server> mServers;
};

} // namespace lentilrack::core
