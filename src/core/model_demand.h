#pragma once

#include "core/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace lentilrack::core {

/// A batch as it counts for the demand on its model.
struct BatchDemand
{
  std::string model;
  /// Tokens that the batch is expected to take.
  double expectedTokens = 0;
  /// Unix time of the submission.
  Millis submittedAt{ 0 };
};

/// Work a second that each model's trainer asks for when nothing holds it up.
/// A trainer that waits for slow steps submits less often; its shortest recent
/// interval counts, so that a model that falls behind does not lose servers
/// for it.
std::map<std::string, double>
computeModelDemand(std::vector<BatchDemand> batches, Millis now);

/// How many of `servers` serve each model: in proportion to the demand, but
/// never under half of an equal share. Models without a known demand count as
/// the mean of the others.
std::map<std::string, std::size_t>
allocateServers(std::size_t servers,
                const std::vector<std::string>& models,
                const std::map<std::string, double>& demand);

} // namespace lentilrack::core
