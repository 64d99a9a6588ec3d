#pragma once

#include "core/backend_server.h"
#include "core/time.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lentilrack::core {

/// What a backend server says of itself, with the time at which it was true.
struct ServerReport
{
  std::int64_t running = 0;
  std::int64_t queued = 0;
  /// Tokens per second.
  double tokenRate = 0;
  /// Weight version by model.
  std::map<std::string, std::int64_t> models;
  bool leaving = false;
  /// When the reported state was observed, on this process's clock.
  TimePoint observedAt;
};

/// State of one backend server at its dispatcher.
struct ServerState
{
  BackendServer server;
  /// Whether this dispatcher may start work on it. A server that is no longer
  /// owned stays until its running work has ended.
  bool owned = false;
  bool inList = true;
  bool reportedLeaving = false;
  /// No new work before this time, after the server refused work.
  TimePoint refusedUntil;
  /// Number of holds for weight swaps.
  int holds = 0;
  /// Current weight version by model, as far as known.
  std::map<std::string, std::int64_t> versions;
  /// When setVersion() was last called; older reports show older versions.
  TimePoint versionsSetAt;
  /// Work started by this dispatcher that has not ended.
  std::int64_t running = 0;
  std::int64_t runningLong = 0;
  /// Work that may run at a time; grows to the slots after a change of owner.
  double window = 1;
  TimePoint ownedSince;
  std::optional<ServerReport> report;

  std::int64_t limit() const;
  std::int64_t freeSlots() const { return limit() - running; }
  bool isLeaving(TimePoint now) const;
  /// Owned, not held and not leaving: may get new work.
  bool isOpen(TimePoint now) const;
  /// Runs work for this model or service.
  bool serves(const std::string& target) const;
};

/// The part of a server's state that a scan over all servers needs, kept
/// together so that the scan stays in the processor's cache.
struct SlotState
{
  TimePoint refusedUntil;
  std::int32_t limit = 0;
  std::int32_t running = 0;
  std::int32_t runningLong = 0;
  /// Owned, not held and without a lasting sign of leaving.
  bool usable = false;

  bool hasFreeSlot(TimePoint now) const
  {
    return usable && running < limit && refusedUntil <= now;
  }
};

struct ServerSetOptions
{
  /// A refusal stops new work until the next load report can confirm the cause.
  Millis refusalBackoff{ 3000 };
  /// Window of a server that this dispatcher just took over, as the previous
  /// owner may still have work there.
  double initialWindow = 1;
  /// After this time the window is the number of slots.
  Millis windowRampTime{ 5000 };
};

/// The backend servers that this dispatcher owns. The earliest sign that a
/// server leaves stops new work on it: the instance list, its own load report
/// or its refusal, whichever comes first.
class ServerSet
{
public:
  using Owned = std::function<bool(const BackendServer&)>;

  explicit ServerSet(ServerSetOptions options = {});

  /// Applies the instance list. `owned` decides which servers are this
  /// dispatcher's.
  void update(const std::vector<BackendServer>& list,
              const Owned& owned,
              TimePoint now);

  /// Ignores reports that are older than the last one.
  void report(const std::string& id, ServerReport report);
  /// The server refused work.
  void refused(const std::string& id, TimePoint now);
  void markLeaving(const std::string& id);
  /// The version that the server runs now. A version never goes back, except
  /// through a load report.
  void setVersion(const std::string& id,
                  const std::string& model,
                  std::int64_t version,
                  TimePoint now);

  /// Keeps new work off a server during a weight swap. Holds are counted.
  bool hold(const std::string& id);
  void release(const std::string& id);

  void started(const std::string& id, bool isLong);
  void markRunLong(const std::string& id);
  void finished(const std::string& id, bool wasLong, bool succeeded);
  /// Opens windows whose growth time has passed, and forgets servers that are
  /// gone and have no work.
  void advance(TimePoint now);

  const ServerState* find(const std::string& id) const;
  /// Indexes into at() of the servers for a model or service, in a fixed
  /// order. Valid until generation() changes.
  const std::vector<std::size_t>& serving(const std::string& target) const;
  const ServerState& at(std::size_t index) const { return mServers[index]; }
  const SlotState& slots(std::size_t index) const { return mSlots[index]; }
  std::optional<std::size_t> indexOf(const std::string& id) const;
  std::size_t size() const { return mServers.size(); }
  /// Changes whenever servers are added or removed.
  std::uint64_t generation() const { return mGeneration; }
  std::vector<const ServerState*> owned() const;
  /// Owned engines, for weight updates.
  std::vector<const ServerState*> ownedEngines() const;
  std::vector<std::string> targets() const;

private:
  ServerState* get(const std::string& id);
  void reindex();
  void refresh(const ServerState& state);

  ServerSetOptions mOptions;
  std::vector<ServerState> mServers;
  /// One for each element of mServers.
  std::vector<SlotState> mSlots;
  std::unordered_map<std::string, std::size_t> mIndex;
  std::map<std::string, std::vector<std::size_t>> mServing;
  std::uint64_t mGeneration = 0;
};

} // namespace lentilrack::core
