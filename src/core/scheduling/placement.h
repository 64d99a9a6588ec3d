#pragma once

#include "core/server_registry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace lentilrack::core {

/// Which servers hold the prompts of the groups of a batch, as far as this
/// process has sent items of the group there. A server loses the prompts when
/// it restarts or loads another version of the model.
class PromptLocations
{
public:
  explicit PromptLocations(std::string model)
    : mModel(std::move(model))
  {
  }

  /// Records that an item of the group was sent to the server.
  void recordStart(const std::string& group, const ServerEntry& server);
  /// Records that a run at the server has failed, so that nothing is known of
  /// its prompts.
  void recordFailure(const std::string& group, const ServerEntry& server);
  /// Whether the server holds the prompt of the group.
  bool holdsPrompt(const std::string& group, const ServerEntry& server) const;
  /// Returns the number of slots of all servers that were sent items of the
  /// group.
  int slotsWithPrompt(const std::string& group) const;

private:
  struct Location
  {
    std::int64_t startedAt = 0;
    std::int64_t version = 0;
    int slots = 0;
  };
  std::int64_t versionOf(const ServerEntry& server) const;

  std::string mModel;
  /// By group and id of the server.
  std::map<std::string, std::map<std::string, Location>> mLocations;
};

/// An item to be placed on a server.
struct PlacedItem
{
  std::string group;
  /// Expected number of events that it will still produce.
  double expectedEvents = 0;
  /// Number of tokens of the group's prompt.
  double promptTokens = 0;
  /// Unfinished items of its group.
  std::size_t unfinishedOfGroup = 0;
  /// Whether the step is expected to wait for this item: it is long, or one of
  /// the last of its group. It then runs where it ends first; the others run
  /// where they add least to the work of a slot.
  bool isLate = false;
};

/// Returns the cost of running the item on the server, in milliseconds: its
/// work and that of the requests that run there, by slot, and the time to read
/// the prompt if the server does not hold it. `medianMillisPerUnit` is used for
/// a server without an observation.
double
placementCost(const PlacedItem& item,
              const RegisteredServer& server,
              const PromptLocations& prompts,
              const std::string& ownDomain,
              double medianMillisPerUnit);

/// Whether the item should start on the server, the best for it at present. If
/// not, the servers with the prompt of its group have enough slots for the rest
/// of the group, and another group should get this slot if one can use it
/// better.
bool
isGoodPlace(const PlacedItem& item,
            const RegisteredServer& server,
            const PromptLocations& prompts);

} // namespace lentilrack::core
