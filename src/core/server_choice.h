#pragma once

#include "core/prefix_index.h"
#include "core/server_health.h"
#include "core/server_set.h"

#include <pcg_random.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilrack::core {

struct ServerChoiceOptions
{
  /// All servers of a target are compared if there are at most this many.
  std::size_t compareAllLimit = 16;
  /// Number of candidates sampled if there are more servers.
  std::size_t sampleSize = 8;
  /// Maximum number of servers with the prefix in their cache that are compared
  /// in addition to the sample.
  std::size_t maxPrefixHolders = 3;
  /// A server with a cached prefix is preferred only while its running requests
  /// are below this multiple of the average.
  double loadBoundFactor = 1.25;
  /// Prefill time per character of the prompt.
  double prefillSecondsPerChar = 10e-6;
  /// Fraction of the prefill time that remains if the prefix is cached.
  double cachedPrefillFraction = 0.2;
  /// Time constant with which the influence of a load report decays as the
  /// report ages.
  Millis reportDecayTime{ 1000 };
  /// Assumed tokens per second of a request while no rate is known.
  double defaultTokenRate = 100;
  /// Assumed slowdown of a request on a server with all slots in use, as a
  /// fraction of the request's run time. Makes the choice spread requests
  /// evenly over the servers.
  double fullLoadSlowdown = 0.2;
};

/// The work for which a server is to be chosen.
struct ChoiceRequest
{
  std::string target;
  /// Estimated cost in tokens.
  double tokens = 1;
  std::size_t promptChars = 0;
  std::string prefix;
  std::optional<std::int64_t> version;
  bool isLong = false;
  /// Servers that have refused or failed this work and must not be chosen.
  std::set<std::string> excludedServers;
};

/// The information on which the choice of a server is based.
struct ServerView
{
  const ServerSet& servers;
  const ServerHealth& health;
  const PrefixIndex& prefixes;
  /// Returns how many of a server's slots long work may hold.
  std::function<std::int64_t(std::int64_t)> maxLongSlots;
  TimePoint now;
};

/// Whether the server may start the work now.
bool
canPlace(const ChoiceRequest& request,
         const ServerView& view,
         std::size_t index);

/// Whether any server of the target may start the work now.
bool
canPlaceAnywhere(const ChoiceRequest& request, const ServerView& view);

/// Estimates the seconds until the work would be complete on the server. A
/// cached prefix is taken into account only if `usePrefix` is set.
double
expectedSeconds(const ChoiceRequest& request,
                const ServerView& view,
                std::size_t index,
                bool usePrefix,
                const ServerChoiceOptions& options);

/// Chooses the server with the earliest expected completion. If there are many
/// servers, only a sample of them and some servers with the prefix in their
/// cache are compared. Returns an index into the server set, or nothing if no
/// server may start the work now.
std::optional<std::size_t>
chooseBestServer(const ChoiceRequest& request,
                 const ServerView& view,
                 pcg32& random,
                 const ServerChoiceOptions& options = {});

/// Chooses at random among the servers that may start the work. Used by the
/// baseline policy.
std::optional<std::size_t>
chooseRandomServer(const ChoiceRequest& request,
                   const ServerView& view,
                   pcg32& random);

} // namespace lentilrack::core
