#pragma once

#include "core/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace lentilrack::core {

/// The properties of a batch from which computeModelDemand() computes the
/// demand.
struct BatchDemand
{
  std::string model;
  /// Expected number of tokens of the batch.
  double expectedTokens = 0;
  /// Unix time of the submission.
  Millis submittedAt{ 0 };
};

/// A batch of the recent past, as its record in the store shows it.
struct RecentBatch
{
  std::string id;
  std::string model;
  /// Expected number of tokens of the batch.
  double expectedTokens = 0;
  /// Unix time of the submission.
  Millis submittedAt{ 0 };
  /// Whether its trainer still waits for results.
  bool isOpen = true;
};

/// Returns the demand for each model in expected tokens per second, as it would
/// be if its trainer never had to wait. A trainer that waits for slow steps
/// submits batches less often. Its model would then seem to be in less demand
/// and would lose servers, which would slow the steps further. The demand is
/// therefore computed from the shortest recent interval between batches for the
/// model.
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
