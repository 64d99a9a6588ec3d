#include "core/hedge_delay.h"

#include <algorithm>
#include <bit>
#include <vector>

namespace lentilrack::core {

namespace {

constexpr std::size_t kKept = 128;
/// A 95th percentile of fewer than 20 values is only their maximum.
constexpr std::size_t kNeeded = 20;
/// Kinds are named by the table, so this bound is reached only if the table
/// changes its kinds again and again.
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
  if (recent.size() > kKept) {
    recent.pop_front();
  }
}

std::optional<Millis>
HedgeDelay::delayFor(const std::string& kind, std::int64_t maxTokens) const
{
  const auto found = mRecent.find(keyOf(kind, maxTokens));
  if (found == mRecent.end() || found->second.size() < kNeeded) {
    return std::nullopt;
  }
  std::vector<Millis> values(found->second.begin(), found->second.end());
  const auto at = static_cast<std::ptrdiff_t>(values.size() * 95 / 100);
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<std::size_t>(at)];
}

} // namespace lentilrack::core
