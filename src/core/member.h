#pragma once

#include "core/endpoint.h"
#include "core/identity.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <string>

namespace lentilrack::core {

enum class MemberRole
{
  Entry,
  Dispatch,
};

/// States from best to worst. The order of the values matters: of two reports
/// with the same number, the one with the worse state is used.
enum class MemberState
{
  Alive,
  Suspect,
  /// The member is draining and accepts no new work.
  Leaving,
  Dead,
};

/// Load of one model or service at a dispatcher, as reported in heartbeats.
struct TargetLoad
{
  /// Number of the dispatcher's backend servers for this target that may get
  /// new work.
  std::int64_t servers = 0;
  /// How many jobs may run on these servers at a time.
  std::int64_t slots = 0;
  /// Jobs of the dispatcher that are running on these servers.
  std::int64_t running = 0;
  /// Estimated cost of the queued work, in tokens.
  double queuedTokens = 0;
  /// Estimated tokens per second of all these servers together while all slots
  /// are in use, from the observed rate of single requests; 0 if unknown.
  double tokenRate = 0;
};

/// What a process knows of another process, or of itself.
struct Member
{
  ProcessId id;
  MemberRole role = MemberRole::Entry;
  std::string failureDomain;
  /// HTTP address, at which entries serve callers and dispatchers serve cached
  /// weights.
  std::optional<Endpoint> http;
  /// Address of the link server, for the other processes.
  Endpoint link;
  MemberState state = MemberState::Alive;
  /// Revision of the table that the process applies.
  std::int64_t tableRevision = 0;
  /// Counts the reports of the member about itself, so that an older report
  /// never replaces a newer one of the same incarnation.
  std::uint64_t reportNumber = 0;
  /// Whether a dispatcher serves cached weights over its HTTP address.
  bool hasWeightCache = false;
  /// Number of requests in flight at an entry, which determines its share of
  /// the callers' requests.
  std::int64_t inFlight = 0;
  std::map<std::string, TargetLoad> load;
  /// When this process last received a heartbeat of the member, on its own
  /// clock. Not transmitted.
  TimePoint lastHeard;
};

} // namespace lentilrack::core
