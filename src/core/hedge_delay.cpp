#include "core/hedge_delay.h"

#include <algorithm>
#include <bit>
#include <vector>

namespace lentilrack::core {

namespace {

constexpr std::size_t kMaxSamples = 128;
/// A 95th percentile of fewer than 20 values is only their maximum.
constexpr std::size_t kMinSamples = 20;
/// Maximum number of pairs of kind and size for which durations are kept. Kinds
/// are defined in the table, so this limit is reached only if the table's kinds
/// change repeatedly.
constexpr std::size_t kMaxKeys = 4096;

} // namespace

HedgeDelay::Key
HedgeDelay::keyOf(const std::string& kind, std::int64_t maxTokens)
{
  const auto size =
    static_cast<std::uint64_t>(std::max<std::int64_t>(maxTokens, 0));
  return { kind, std::bit_width(size) };
}

void
HedgeDelay::recordCompletion(const std::string& kind,
                             std::int64_t maxTokens,
                             Millis took)
{
  if (mRecent.size() >= kMaxKeys) {
    mRecent.clear();
  }
  auto& recent = mRecent[keyOf(kind, maxTokens)];
  recent.push_back(took);
  if (recent.size() > kMaxSamples) {
    recent.pop_front();
  }
}

std::optional<Millis>
HedgeDelay::delayFor(const std::string& kind, std::int64_t maxTokens) const
{
  const auto found = mRecent.find(keyOf(kind, maxTokens));
  if (found == mRecent.end() || found->second.size() < kMinSamples) {
    return std::nullopt;
  }
  std::vector<Millis> values(found->second.begin(), found->second.end());
  const auto rank = static_cast<std::ptrdiff_t>(values.size() * 95 / 100);
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[static_cast<std::size_t>(rank)];
}

} // namespace lentilrack::core
