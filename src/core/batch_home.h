#pragma once

#include <optional>
#include <string>
#include <vector>

namespace lentilrack::core {

/// A process that could run batches.
struct HomeCandidate
{
  std::string instance;
  /// Share of a processor core that the process may use.
  double processorShare = 0;
};

/// Returns the process that runs the batches of a model, or nothing if there
/// are no candidates. All processes choose the same one. It keeps connections
/// to the servers of the model and knows how many of their slots are in use; if
/// a different process ran each batch, each would connect to all these servers
/// and choose among them without knowing of the requests of the others.
/// Processes with much less processor time than others are not chosen if there
/// are enough others.
std::optional<std::string>
chooseBatchHome(std::vector<HomeCandidate> candidates,
                const std::string& model);

} // namespace lentilrack::core
