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
  /// Up to this many servers all are compared.
  std::size_t compareAllLimit = 16;
  /// Candidates sampled out of more servers.
  std::size_t sampleSize = 8;
  /// Servers that hold the prefix and are compared as well.
  std::size_t maxPrefixHolders = 3;
  /// A holder of the prefix is preferred only up to this multiple of the
  /// average number of running requests.
  double loadBoundFactor = 1.25;
  /// Time to read a character of the prompt, and the part of it that is left
  /// if the prefix is cached.
  double prefillSecondsPerChar = 10e-6;
  double cachedPrefillFraction = 0.2;
  /// Time constant with which a late load report loses its weight.
  Millis reportDecayTime{ 1000 };
  /// Tokens per second assumed while nothing is known.
  double defaultTokenRate = 100;
  /// Slowdown of a request on a server with all slots in use, as a part of its
  /// time; spreads load evenly.
  double fullLoadSlowdown = 0.2;
};

/// What is to be placed.
struct ChoiceRequest
{
  std::string target;
  double tokens = 1;
  std::size_t promptChars = 0;
  std::string prefix;
  std::optional<std::int64_t> version;
  bool isLong = false;
  /// Servers that just refused or failed this work.
  std::set<std::string> excludedServers;
};

/// What is known of the servers.
struct ServerView
{
  const ServerSet& servers;
  const ServerHealth& health;
  const PrefixIndex& prefixes;
  /// Slots that long work may hold out of a number of slots.
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

/// Seconds until the work would be complete on the server, by estimate.
double
expectedSeconds(const ChoiceRequest& request,
                const ServerView& view,
                std::size_t index,
                bool usePrefix,
                const ServerChoiceOptions& options);

/// The server with the earliest expected completion among all servers, or
/// among a few sampled ones and some holders of the prefix if there are many.
/// Returns an index into the server set; nothing if no server may start it.
std::optional<std::size_t>
chooseBestServer(const ChoiceRequest& request,
                 const ServerView& view,
                 pcg32& random,
                 const ServerChoiceOptions& options = {});

/// Any server that may start the work, each with the same chance (baseline).
std::optional<std::size_t>
chooseRandomServer(const ChoiceRequest& request,
                   const ServerView& view,
                   pcg32& random);

} // namespace lentilrack::core
