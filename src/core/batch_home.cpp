#include "core/batch_home.h"

#include "core/takeover_order.h"

#include <algorithm>

namespace lentilrack::core {

namespace {

/// Processes with less than this fraction of the largest processor share are
/// not chosen if at least kMinCandidates others remain.
constexpr double kMinShareFraction = 0.5;
constexpr std::size_t kMinCandidates = 3;

} // namespace

std::optional<std::string>
chooseBatchHome(std::vector<HomeCandidate> candidates, const std::string& model)
{
  if (candidates.empty()) {
    return std::nullopt;
  }
  const double threshold =
    kMinShareFraction *
    std::ranges::max(candidates, {}, &HomeCandidate::processorShare)
      .processorShare;
  const auto isSmall = [&](const HomeCandidate& candidate) {
    return candidate.processorShare < threshold;
  };
  const auto small =
    static_cast<std::size_t>(std::ranges::count_if(candidates, isSmall));
  if (candidates.size() - small >= kMinCandidates) {
    std::erase_if(candidates, isSmall);
  }
  return std::ranges::max(candidates,
                          {},
                          [&](const HomeCandidate& candidate) {
                            return takeoverWeight(candidate.instance,
                                                  "model/" + model);
                          })
    .instance;
}

} // namespace lentilrack::core
