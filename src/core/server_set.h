#pragma once

#include "core/backend_server.h"
#include "core/request_rate.h"
#include "core/time.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lentilrack::core {

/// A load report of a backend server, with the time at which it was accurate.
struct ServerReport
{
  std::int64_t running = 0;
  std::int64_t queued = 0;
  /// Tokens per second.
  double tokenRate = 0;
  /// Weight version by model.
  std::map<std::string, std::int64_t> models;
  bool leaving = false;
  /// When the server was in the reported state, on this process's clock.
  TimePoint observedAt;
};

/// What a dispatcher knows of one of its backend servers.
struct ServerState
{
  BackendServer server;
  /// Whether this dispatcher may start work on the server. A server that this
  /// dispatcher no longer owns is kept in the set until its running work has
  /// ended.
  bool owned = false;
  /// Whether the last instance list contained the server.
  bool inList = true;
  bool reportedLeaving = false;
  /// The server gets no new work before this time, because it refused work.
  TimePoint refusedUntil;
  TimePoint refusedAt;
  /// Number of refusals since the server last completed work.
  int refusals = 0;
  /// Number of calls of ServerSet::hold() that have not been released. New work
  /// is kept off the server unless this is 0.
  int holdCount = 0;
  /// Current weight version by model; unknown versions are absent.
  std::map<std::string, std::int64_t> versions;
  /// When setVersion() was last called. Versions in reports from before this
  /// time are ignored.
  TimePoint versionsSetAt;
  /// Jobs of this dispatcher that are running on the server.
  std::int64_t running = 0;
  std::int64_t runningLong = 0;
  /// Limit on concurrent jobs while the load is raised slowly after a change of
  /// owner. It starts small and grows at least to the number of slots.
  double slowStartLimit = 1;
  TimePoint ownedSince;
  std::optional<ServerReport> report;
  /// Requests per second that the server takes from all processes together, as
  /// its newest response states; empty if that one states none.
  std::optional<double> statedRate;
  /// When the response that stated the rate arrived.
  TimePoint rateStatedAt;
  /// When the server takes the next request, if it states a rate.
  TimePoint nextPermitAt;

  /// Returns how many jobs may run at a time: the number of slots or
  /// `slowStartLimit`, whichever is smaller.
  std::int64_t limit() const;
  std::int64_t freeSlots() const { return limit() - running; }
  /// Whether the instance list, a load report or a recent refusal indicates
  /// that the server is leaving.
  bool isLeaving(TimePoint now) const;
  /// Whether the server may get new work: it is owned, not held for a weight
  /// swap and not leaving.
  bool isOpen(TimePoint now) const;
  /// Whether the server runs work for this model or service.
  bool serves(const std::string& target) const;
};

/// The part of a server's state that is read when all servers are scanned for a
/// free slot. It is stored separately so that the scan stays in the processor
/// cache.
struct SlotState
{
  TimePoint refusedUntil;
  /// When the server takes the next request, if it states a rate.
  TimePoint nextPermitAt;
  std::int32_t limit = 0;
  std::int32_t running = 0;
  std::int32_t runningLong = 0;
  /// Whether the server is owned, not held, in the instance list and not
  /// leaving. Temporary refusals are not included.
  bool usable = false;

  /// Whether the server may get new work now and has a slot for it.
  bool hasFreeSlot(TimePoint now) const
  {
    return usable && running < limit && refusedUntil <= now &&
           nextPermitAt <= now;
  }
};

struct ServerSetOptions
{
  /// How long a server gets no new work after it refused work. This is long
  /// enough for its next load report to show the cause. If the report shows
  /// none, the first refusal concerned only the work that was refused, for
  /// example because it is larger than the server's memory, and the pause ends.
  Millis refusalBackoff{ 3000 };
  /// Initial ServerState::slowStartLimit of a server that this dispatcher has
  /// just taken over. It is small because the previous owner may still have
  /// work running there.
  double initialSlowStartLimit = 1;
  /// Time after which ServerState::slowStartLimit is at least the number of
  /// slots.
  Millis slowStartTime{ 5000 };
};

/// The backend servers that this dispatcher owns, and their state. A server
/// gets no new work as soon as the instance list, its own load report or a
/// refusal indicates that it is leaving, whichever comes first.
class ServerSet
{
public:
  /// Returns true if this dispatcher owns the server.
  using OwnershipTest = std::function<bool(const BackendServer&)>;

  explicit ServerSet(ServerSetOptions options = {});

  /// Applies the platform's list of backend servers.
  void update(const std::vector<BackendServer>& list,
              const OwnershipTest& owned,
              TimePoint now);

  /// Applies a load report, unless it is older than the last one.
  void applyReport(const std::string& id, ServerReport report);
  /// Records that the server refused work; it gets no new work for a while.
  void recordRefusal(const std::string& id, TimePoint now);
  /// Records that the server has announced that it is leaving.
  void markLeaving(const std::string& id);
  /// Records the weight version that the server runs now. A version below the
  /// known one is ignored: only a load report can lower the known version.
  void setVersion(const std::string& id,
                  const std::string& model,
                  std::int64_t version,
                  TimePoint now);

  /// Keeps new work off a server until release() is called, for example during
  /// a weight swap. After several calls, release() must be called as often.
  /// Returns false if the server is unknown.
  bool hold(const std::string& id);
  /// Undoes one call of hold(). The server may get new work again once all
  /// calls are undone.
  void release(const std::string& id);

  /// Records the request rate that a response from the endpoint states, or that
  /// it states none.
  void recordStatedRate(const Endpoint& endpoint,
                        std::optional<double> rate,
                        TimePoint now);
  /// Takes a permit for a request that is no job, such as one for a load
  /// report. Returns false if the server states a rate and takes no such
  /// request now.
  bool takePermit(const Endpoint& endpoint, TimePoint now);
  /// Returns the time until the servers of a model or service take `requests`
  /// further requests, if all that may get new work state rates; otherwise
  /// zero.
  Millis rateWait(const std::string& target,
                  std::size_t requests,
                  TimePoint now) const;

  /// Counts a started job.
  void started(const std::string& id, bool isLong, TimePoint now);
  /// Counts a running job as long although it was started as short.
  void markRunLong(const std::string& id);
  /// Records that a job has ended. A success also raises the slow-start limit
  /// by one.
  void finished(const std::string& id, bool wasLong, bool succeeded);
  /// Ends the slow start of servers that have been owned for
  /// ServerSetOptions::slowStartTime. Removes servers that are no longer owned
  /// and have no running jobs.
  void advance(TimePoint now);

  /// Returns the server, or null if it is unknown.
  const ServerState* find(const std::string& id) const;
  /// Returns the indexes, for at(), of the servers of a model or service in a
  /// fixed order. They are valid until generation() changes.
  const std::vector<std::size_t>& serving(const std::string& target) const;
  const ServerState& at(std::size_t index) const { return mServers[index]; }
  /// Returns the data of the server at `index` for a scan for free slots.
  const SlotState& slots(std::size_t index) const { return mSlots[index]; }
  /// Returns the server's index for at(), or nothing if it is unknown.
  std::optional<std::size_t> indexOf(const std::string& id) const;
  std::size_t size() const { return mServers.size(); }
  /// Returns a number that changes whenever servers are added or removed.
  std::uint64_t generation() const { return mGeneration; }
  /// Returns the servers that this dispatcher owns.
  std::vector<const ServerState*> owned() const;
  /// Returns the owned engines, for weight updates.
  std::vector<const ServerState*> ownedEngines() const;
  /// Returns all models and services that the servers provide.
  std::vector<std::string> targets() const;

private:
  ServerState* findMutable(const std::string& id);
  ServerState* findMutable(const Endpoint& endpoint);
  bool requestPermit(ServerState& state,
                     PermitPriority priority,
                     TimePoint now);
  void rebuildIndexes();
  void updateSlotState(const ServerState& state);

  ServerSetOptions mOptions;
  std::vector<ServerState> mServers;
  /// One for each element of mServers.
  std::vector<SlotState> mSlots;
  std::unordered_map<std::string, std::size_t> mIndex;
  /// Indexes of the servers of each model or service.
  std::map<std::string, std::vector<std::size_t>> mServing;
  std::uint64_t mGeneration = 0;
  /// This dispatcher alone sends requests to the servers that it owns, so that
  /// it also grants the permits.
  RateAllocator mRates;
};

} // namespace lentilrack::core
