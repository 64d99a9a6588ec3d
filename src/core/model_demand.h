#pragma once

#include "core/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace lentilrack::core {

/// A batch as an input to the demand for its model.
struct BatchDemand
{
  std::string model;
  /// Expected number of tokens of the batch.
  double expectedTokens = 0;
  /// Unix time of the submission.
  Millis submittedAt{ 0 };
};

/// Returns the demand for each model in expected tokens per second, as it would
/// be if its trainer never had to wait. A trainer that waits for slow steps
/// submits batches less often. To keep such a model from losing servers, the
/// demand is computed from the trainer's shortest recent interval between
/// batches.
std::map<std::string, double>
computeModelDemand(std::vector<BatchDemand> batches, Millis now);

/// Returns how many of `servers` should serve each model: in proportion to the
/// demand, but at least half of an equal share. For models without a known
/// demand, the mean demand of the others is assumed.
std::map<std::string, std::size_t>
allocateServers(std::size_t servers,
                const std::vector<std::string>& models,
                const std::map<std::string, double>& demand);

} // namespace lentilrack::core
