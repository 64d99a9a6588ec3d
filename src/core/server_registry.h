#pragma once

#include "core/concurrency_window.h"
#include "core/endpoint.h"
#include "core/request_rate.h"
#include "core/scheduling/first_event_bound.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilrack::core {

/// Directory entry of a backend server, registered by the server itself.
struct ServerEntry
{
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string failureDomain;
  int slots = 1;
  bool draining = false;
  /// Whether the provider may take the server back, all of a failure domain at
  /// once.
  bool isReclaimable = false;
  /// Start time of the server process in Unix milliseconds. A different value
  /// means that the server was restarted, so that what was observed of it
  /// before the restart no longer holds.
  std::int64_t startedAt = 0;
  /// Weight version by model.
  std::map<std::string, std::int64_t> versions;

  bool operator==(const ServerEntry&) const = default;
};

/// A backend server and what this process has observed of it.
struct RegisteredServer
{
  ServerEntry entry;
  /// Number of orders that the server has accepted since its start; unset until
  /// the server has reported this number.
  std::optional<std::int64_t> orderCount;
  /// Requests of this process that are in progress at the server.
  int running = 0;
  /// Moving average of the time per unit of work, in milliseconds; 0 before the
  /// first observation. A unit is one event of a batch item's stream, or one
  /// forwarded request from its start to its response.
  double millisPerUnit = 0;
  /// Number of consecutive failures.
  int failures = 0;
  /// Until this time the server is avoided: it gets a request only if no other
  /// server can serve it, and never one that requires a free slot.
  TimePoint avoidUntil{};
  /// Whether the server has answered that it is leaving, or another server has
  /// answered at its address. The server then gets no new requests.
  bool leaving = false;
  /// Until this time the server is expected to be loading weights.
  TimePoint loadingUntil{};
  /// Requests per second that the server takes from all instances together;
  /// empty if it states no limit.
  std::optional<double> statedRate;
  /// When the newest response that determined `statedRate` arrived.
  TimePoint rateStatedAt{};
  /// When this process may ask for the next permit, if the server states a
  /// rate, for each priority.
  TimePoint nextInteractivePermitAt{};
  TimePoint nextBackgroundPermitAt{};

  /// Limits the deferrable requests of this process to the server.
  ConcurrencyWindow deferrable;

  TimePoint& nextPermitAt(PermitPriority priority)
  {
    return priority == PermitPriority::Interactive ? nextInteractivePermitAt
                                                   : nextBackgroundPermitAt;
  }
  TimePoint nextPermitAt(PermitPriority priority) const
  {
    return priority == PermitPriority::Interactive ? nextInteractivePermitAt
                                                   : nextBackgroundPermitAt;
  }
};

/// What a request requires and prefers of its server.
struct ServerRequirements
{
  std::string service;
  /// Model whose weights the server must have; empty if any server will do.
  std::string model;
  std::int64_t minVersion = 0;
  std::set<std::string> exclude;
  std::string preferredDomain;
  /// Whether only servers with a free slot are accepted.
  bool freeSlotOnly = false;
  /// Whether the request is of little use, so that it leaves a part of each
  /// server's slots free. Has an effect only with `freeSlotOnly`.
  bool leavesSlotsFree = false;
  /// Server that has the prompt in its cache. It is chosen whenever it meets
  /// the requirements and is not being avoided.
  std::string preferredServer;
  PermitPriority permitPriority = PermitPriority::Interactive;
  /// Whether servers that state a request rate are excluded. Set for requests
  /// that are not needed, such as hedges.
  bool excludesRateLimited = false;
  /// Whether the request can wait. Such requests leave a server alone for a
  /// while after it has refused one of them, so that they do not take the slots
  /// of requests that cannot wait.
  bool isDeferrable = false;
  /// If set, the server with the lowest cost is chosen. Takes the server and
  /// the median time per unit of work of its service; 0 without observations.
  std::function<double(const RegisteredServer&, double medianMillisPerUnit)>
    cost;
  /// Whether the request needs a new connection, so that idle connections are
  /// of no use to it.
  bool needsNewConnection = false;
};

/// The backend servers listed in the directory, together with this process's
/// own observations. Chooses the server for each request.
class ServerRegistry
{
public:
  /// Entries that are missing after the directory was unreachable are kept for
  /// this long, since servers that are still running register again.
  static constexpr Millis kDirectoryRecoveryGrace{ 2'000 };

  /// Applies a complete list of the directory's entries. Returns a line of text
  /// for each server that was added, removed or started to drain.
  std::vector<std::string> apply(std::vector<ServerEntry> entries,
                                 TimePoint now);
  /// Records that the directory could not be read.
  void recordDirectoryFailure(TimePoint now) { mLastFailure = now; }

  /// Sets the test whether this process has an idle connection to an endpoint.
  /// Of servers that are nearly equally good, one with an idle connection is
  /// chosen, since new connections have a price.
  void setIdleConnectionTest(std::function<bool(const Endpoint&)> test)
  {
    mHasIdleConnection = std::move(test);
  }

  /// Returns the best server for the request, or null if there is none.
  /// `random` is in [0, 1) and selects among equally good servers. A server
  /// that states a request rate needs a permit; it is chosen only if no other
  /// server has a free slot. Until the answer to the question for the permit
  /// is recorded, further requests of this priority choose other servers.
  RegisteredServer* choose(const ServerRequirements& requirements,
                           TimePoint now,
                           double random);
  /// Returns when the next permit for a server that could serve the request is
  /// expected, or nothing if no server states a request rate.
  std::optional<TimePoint> nextPermitTime(
    const ServerRequirements& requirements,
    TimePoint now) const;
  /// Records the answer to a question for a permit.
  void recordPermitDecision(const ServerEntry& server,
                            const PermitDecision& decision,
                            TimePoint now);
  /// Returns the server process that started at `startedAt` (Unix
  /// milliseconds), or null if it is unknown or was replaced by a restart.
  RegisteredServer* find(const std::string& id, std::int64_t startedAt);
  /// Returns the servers of the service that accept new requests.
  std::vector<const RegisteredServer*> serving(
    const std::string& service) const;
  /// Returns all servers, including those that are draining or leaving.
  std::vector<const RegisteredServer*> all() const;
  bool empty() const { return mServers.empty(); }

  /// Counts a request of this process as in progress at the server.
  void requestStarted(const ServerEntry& server);
  /// Ends the count that requestStarted() began.
  void requestEnded(const ServerEntry& server);
  /// Records that the server has processed one unit of work (an event of a
  /// stream, or a forwarded request) in `millisPerUnit` milliseconds.
  void succeeded(const ServerEntry& server, double millisPerUnit);
  /// Records that a request was cancelled after the server had worked on it for
  /// this long, in milliseconds. Changes the average only if it is lower.
  void cancelled(const ServerEntry& server, double elapsedMillis);
  /// Records that the server did not answer properly. It is avoided for a time
  /// that grows with repeated failures.
  void failed(const ServerEntry& server, TimePoint now);
  /// Records that the server refused a request because it is busy. It is
  /// avoided for a short time.
  void refused(const ServerEntry& server, TimePoint now);
  /// Excludes the server from new requests.
  void markLeaving(const ServerEntry& server);
  /// Records a version that the server has loaded. Older versions are ignored,
  /// since a running server never returns to older weights.
  void recordVersion(const ServerEntry& server,
                     const std::string& model,
                     std::int64_t version);
  /// Records the request rate that a response of the server states, or that a
  /// response states none. Returns true if this changes what is known. Ignored
  /// if a newer response is known.
  bool recordStatedRate(const std::string& id,
                        std::int64_t startedAt,
                        std::optional<double> rate,
                        TimePoint respondedAt);
  /// Records that the server is loading weights until the given time.
  void markLoading(const std::string& id,
                   std::int64_t startedAt,
                   TimePoint until);
  /// Returns the median of RegisteredServer::millisPerUnit over the servers of
  /// a service; 0 if none has an observation.
  double medianMillisPerUnit(const std::string& service) const;
  /// Returns the bound on the time until the first event of a run, by service.
  FirstEventBound& firstEventBound(const std::string& service)
  {
    return mFirstEventBounds[service];
  }

private:
  bool canServe(const RegisteredServer& server,
                const ServerRequirements& requirements,
                TimePoint now) const;
  /// Returns true if the server has a free slot and states no request rate, or
  /// stated it too long ago.
  static bool isFirstChoice(const RegisteredServer& server, TimePoint now);
  /// Returns the best of the candidates.
  RegisteredServer* chooseCandidate(std::vector<RegisteredServer*> candidates,
                                    const ServerRequirements& requirements,
                                    TimePoint now,
                                    double random) const;
  double cost(const RegisteredServer& server,
              const ServerRequirements& requirements,
              double medianMillisPerUnit) const;

  std::function<bool(const Endpoint&)> mHasIdleConnection;
  /// Servers by id.
  std::map<std::string, RegisteredServer> mServers;
  /// When servers that are missing in the directory were first missed, by id.
  std::map<std::string, TimePoint> mMissingSince;
  std::map<std::string, FirstEventBound> mFirstEventBounds;
  /// Time of the last failed read of the directory.
  std::optional<TimePoint> mLastFailure;
};

} // namespace lentilrack::core
