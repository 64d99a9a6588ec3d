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

/// A uniform number below `bound`, which is at least 1.
using RandomBelow = std::function<std::uint64_t(std::uint64_t bound)>;

/// Own requests at each dispatcher, kept to correct its reports, which lag.
class SentRequests
{
public:
  /// A request of estimated cost `tokens` goes to the dispatcher, whose newest
  /// known report has the number `report`. Returns a number for finished().
  std::uint64_t started(const ProcessId& dispatcher,
                        std::uint64_t report,
                        double tokens);
  void finished(std::uint64_t request);

  struct UnreportedLoad
  {
    std::int64_t requests = 0;
    double tokens = 0;
  };

  /// Requests in flight that were sent at or after the report with this number,
  /// so that the report cannot include them.
  UnreportedLoad unreportedSince(const ProcessId& dispatcher,
                                 std::uint64_t report) const;
  std::size_t inFlight() const { return mRequests.size(); }

private:
  struct Request
  {
    ProcessId dispatcher;
    std::uint64_t report = 0;
    double tokens = 0;
  };
  using Reports = std::map<std::uint64_t, UnreportedLoad>;

  std::uint64_t mLastRequest = 0;
  std::map<std::uint64_t, Request> mRequests;
  std::map<ProcessId, Reports> mByDispatcher;
};

/// A dispatcher that may run the request.
struct DispatcherCandidate
{
  ProcessId id;
  /// Its reported load for the model or service.
  TargetLoad load;
  SentRequests::UnreportedLoad unreportedLoad;

  /// Time until a slot is free, in seconds. Zero if one is free.
  double expectedWaitSeconds() const;
  /// Requests per slot, waiting ones included.
  double utilisation() const;
};

/// What an entry knows of the dispatchers' loads: the last heartbeat, or the
/// load in a later answer, corrected by the own requests sent since.
class DispatcherLoads
{
public:
  DispatcherCandidate candidate(const Member& dispatcher,
                                const std::string& target);
  /// A request of estimated cost `tokens` goes to the dispatcher. Returns a
  /// number for finished().
  std::uint64_t started(const Member& dispatcher, double tokens);
  void finished(std::uint64_t request) { mSentRequests.finished(request); }
  /// An answer of the dispatcher told its load.
  void recordAnsweredLoad(const ProcessId& dispatcher,
                const std::string& target,
                const TargetLoad& load);

private:
  struct View
  {
    std::uint64_t report = 0;
    /// Counts heartbeats and answers that told a load.
    std::uint64_t news = 1;
    /// Loads from answers after the last heartbeat.
    std::map<std::string, TargetLoad> answered;
  };

  View& viewOf(const Member& dispatcher);

  std::map<ProcessId, View> mViews;
  SentRequests mSentRequests;
};

/// Returns the index of the chosen candidate; `candidates` is not empty.
using DispatcherChooser =
  std::function<std::size_t(std::span<const DispatcherCandidate> candidates,
                            std::string_view prefix,
                            const RandomBelow& random)>;

/// Any candidate with free slots, each with a chance that grows with their
/// number, so that entries with the same view do not all choose the same one.
/// Without free slots the better of two by expected wait, sampled by their
/// slots. With a prefix, the first candidate in rendezvous order that is not
/// overloaded, so that requests with the same prefix meet the same caches.
std::size_t
chooseDispatcher(std::span<const DispatcherCandidate> candidates,
                 std::string_view prefix,
                 const RandomBelow& random);

/// Any candidate, for the baseline.
std::size_t
chooseRandomDispatcher(std::span<const DispatcherCandidate> candidates,
                       std::string_view prefix,
                       const RandomBelow& random);

} // namespace lentilrack::core
