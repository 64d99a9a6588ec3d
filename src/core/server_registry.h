#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilrack::core {

/// What a backend server says of itself in the directory.
struct ServerEntry
{
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string failureDomain;
  int slots = 1;
  bool draining = false;
  /// Unix milliseconds of its start. Another value is another lifetime, of
  /// which nothing known before holds.
  std::int64_t startedAt = 0;
  /// Version of the weights, by model.
  std::map<std::string, std::int64_t> versions;

  bool operator==(const ServerEntry&) const = default;
};

/// A backend server and what this process has seen of it.
struct RegisteredServer
{
  ServerEntry entry;
  /// Orders that it has accepted in this lifetime, once it was asked.
  std::optional<std::int64_t> orderCount;
  /// Requests of this process in progress.
  int running = 0;
  /// Mean time per unit of work; 0 until the first observation.
  double millisPerUnit = 0;
  int failures = 0;
  TimePoint avoidUntil{};
  /// No new request: it answered that it is leaving or somebody else.
  bool leaving = false;
  /// A load of weights is known to be in progress until then.
  TimePoint loadingUntil{};
};

/// What a request needs of its server.
struct ServerRequirements
{
  std::string service;
  /// Empty if the weights do not matter.
  std::string model;
  std::int64_t minVersion = 0;
  std::set<std::string> exclude;
  std::string preferredDomain;
  /// Only servers with a free slot.
  bool freeSlotOnly = false;
  /// Server that holds the prompt; taken if it has a free slot.
  std::string preferredServer;
};

/// Backend servers as the directory lists them, with this process' own
/// observations, and the choice among them.
class ServerRegistry
{
public:
  /// Entries that vanish while the directory was unreachable are kept this
  /// long after its return, since living servers register again.
  static constexpr Millis kDirectoryRecoveryGrace{ 2'000 };

  /// Takes a complete list. Returns one line for each change of membership.
  std::vector<std::string> apply(std::vector<ServerEntry> entries,
                                 TimePoint now);
  /// Says that the directory could not be read.
  void recordDirectoryFailure(TimePoint now) { mLastFailure = now; }

  /// The best server, or nullptr.
  RegisteredServer* choose(const ServerRequirements& requirements,
                           TimePoint now,
                           double random);
  RegisteredServer* find(const std::string& id, std::int64_t startedAt);
  /// Every server of the service that takes requests.
  std::vector<const RegisteredServer*> serving(
    const std::string& service) const;
  std::vector<const RegisteredServer*> all() const;
  bool empty() const { return mServers.empty(); }

  void requestStarted(const ServerEntry& server);
  void requestEnded(const ServerEntry& server);
  /// `millisPerUnit` is the time per unit of work in milliseconds.
  void succeeded(const ServerEntry& server, double millisPerUnit);
  /// The server did not answer properly; it is avoided for a time that grows.
  void failed(const ServerEntry& server, TimePoint now);
  /// The server refused for the moment.
  void refused(const ServerEntry& server, TimePoint now);
  void markLeaving(const ServerEntry& server);
  /// Versions only grow within a lifetime.
  void recordVersion(const ServerEntry& server,
                     const std::string& model,
                     std::int64_t version);
  void markLoading(const std::string& id,
                   std::int64_t startedAt,
                   TimePoint until);
  /// Median time per unit in milliseconds of a service's servers; 0 if unknown.
  double medianMillisPerUnit(const std::string& service) const;

private:
  bool satisfies(const RegisteredServer& server,
                 const ServerRequirements& requirements,
                 TimePoint now) const;
  double cost(const RegisteredServer& server,
              const ServerRequirements& requirements,
              double medianMillisPerUnit) const;

  std::map<std::string, RegisteredServer> mServers;
  std::map<std::string, TimePoint> mMissingSince;
  std::optional<TimePoint> mLastFailure;
};

} // namespace lentilrack::core
