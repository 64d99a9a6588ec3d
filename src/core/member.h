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

enum class MemberState
{
  Alive,
  Suspect,
  /// Drains; takes no new work.
  Leaving,
  Dead,
};

/// Load of one model or service at a dispatcher, reported in heartbeats.
struct TargetLoad
{
  /// Backend servers that the dispatcher owns for this target.
  std::int64_t servers = 0;
  std::int64_t slots = 0;
  std::int64_t running = 0;
  /// Cost of the queue in estimated tokens.
  double queuedTokens = 0;
  /// Tokens per second over all its servers, observed.
  double tokenRate = 0;
};

/// What a process knows of another one (or of itself).
struct Member
{
  ProcessId id;
  MemberRole role = MemberRole::Entry;
  std::string failureDomain;
  /// HTTP address for callers; only entries have one.
  std::optional<Endpoint> http;
  Endpoint link;
  MemberState state = MemberState::Alive;
  /// Table revision that the process has in force.
  std::int64_t tableRevision = 0;
  /// Counts the member's own reports, so that an older report never replaces
  /// a newer one of the same incarnation.
  std::uint64_t reportNumber = 0;
  /// Whether a dispatcher serves cached weights over its HTTP address.
  bool hasWeightCache = false;
  /// Requests in flight at an entry, for the shares in address answers.
  std::int64_t inFlight = 0;
  std::map<std::string, TargetLoad> load;
  /// When this process last heard of it, on its own clock; not transmitted.
  TimePoint lastHeard;
};

} // namespace lentilrack::core
