#pragma once

#include "core/member.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace lentilrack::core {

/// Returns a uniformly distributed number below `bound`, which is at least 1.
using RandomBelow = std::function<std::uint64_t(std::uint64_t bound)>;

/// Counts the requests that this process has sent to each dispatcher and that
/// have not ended, to correct the dispatchers' outdated load reports.
class SentRequests
{
public:
  /// Counts a request of estimated cost `tokens` that is sent to the
  /// dispatcher. `report` is the number of the dispatcher's newest known
  /// report. Returns an identifier for finished().
  std::uint64_t started(const ProcessId& dispatcher,
                        std::uint64_t report,
                        double tokens);
  /// Records that the request has ended.
  void finished(std::uint64_t request);

  /// Load caused by requests that a report cannot include.
  struct UnreportedLoad
  {
    std::int64_t requests = 0;
    double tokens = 0;
  };

  /// Returns the load caused by those requests in flight that were sent after
  /// the report with this number was received. The report cannot include them.
  UnreportedLoad unreportedSince(const ProcessId& dispatcher,
                                 std::uint64_t report) const;
  /// Returns the number of requests in flight.
  std::size_t inFlight() const { return mRequests.size(); }

private:
  struct Request
  {
    ProcessId dispatcher;
    std::uint64_t report = 0;
    double tokens = 0;
  };
  /// Load of the requests in flight, by the number of the report that was the
  /// newest when they were sent.
  using LoadByReport = std::map<std::uint64_t, UnreportedLoad>;

  std::uint64_t mLastRequest = 0;
  /// Requests in flight, by the identifier that started() returned.
  std::map<std::uint64_t, Request> mRequests;
  std::map<ProcessId, LoadByReport> mByDispatcher;
};

/// A dispatcher to which a request could be sent.
struct DispatcherCandidate
{
  ProcessId id;
  /// The dispatcher's reported load for the model or service.
  TargetLoad load;
  /// Load caused by requests of this process that `load` does not include.
  SentRequests::UnreportedLoad unreportedLoad;

  /// Estimates the seconds until a slot is free; zero if one is free now.
  double expectedWaitSeconds() const;
  /// Returns the requests per slot, including queued ones.
  double utilisation() const;
};

/// The loads of the dispatchers as known to an entry instance. Each load comes
/// from the dispatcher's last heartbeat or from a later answer, and is
/// corrected by the requests that this process has sent since.
class DispatcherLoads
{
public:
  /// Returns the dispatcher as a candidate, with its latest known load for the
  /// target.
  DispatcherCandidate candidate(const Member& dispatcher,
                                const std::string& target);
  /// Counts a request of estimated cost `tokens` that is sent to the
  /// dispatcher. Returns an identifier for finished().
  std::uint64_t started(const Member& dispatcher, double tokens);
  /// Records that the request has ended.
  void finished(std::uint64_t request) { mSentRequests.finished(request); }
  /// Records the load that the dispatcher reported in an answer.
  void recordAnsweredLoad(const ProcessId& dispatcher,
                          const std::string& target,
                          const TargetLoad& load);

private:
  struct LoadView
  {
    /// Number of the last heartbeat report.
    std::uint64_t report = 0;
    /// Counts the heartbeats and answers that reported a load.
    std::uint64_t loadUpdates = 1;
    /// Loads from answers since the last heartbeat, by target.
    std::map<std::string, TargetLoad> answeredLoads;
  };

  /// Returns what is known of the dispatcher, after applying its last
  /// heartbeat.
  LoadView& updatedView(const Member& dispatcher);

  std::map<ProcessId, LoadView> mLoadViews;
  SentRequests mSentRequests;
};

/// Chooses a dispatcher. Returns the index of the chosen candidate;
/// `candidates` must not be empty.
using DispatcherChooser =
  std::function<std::size_t(std::span<const DispatcherCandidate> candidates,
                            std::string_view prefix,
                            const RandomBelow& random)>;

/// Chooses the dispatcher for a request:
/// - With a prefix, the first candidate in rendezvous hashing order that is not
///   overloaded, so that requests with the same prefix use the same caches.
/// - Otherwise a random candidate, weighted by free slots, so that entries with
///   the same load reports do not all choose the same dispatcher.
/// - Without free slots, the one with the shorter expected wait of two random
///   candidates, weighted by slots.
std::size_t
chooseDispatcher(std::span<const DispatcherCandidate> candidates,
                 std::string_view prefix,
                 const RandomBelow& random);

/// Chooses a random candidate. Used by the baseline policy.
std::size_t
chooseRandomDispatcher(std::span<const DispatcherCandidate> candidates,
                       std::string_view prefix,
                       const RandomBelow& random);

} // namespace lentilrack::core
