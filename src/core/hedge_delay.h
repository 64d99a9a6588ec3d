#pragma once

#include "core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace lentilrack::core {

/// Learns how long work of a kind and size usually takes, which is the time to
/// wait before a second attempt is worth its cost.
class HedgeDelay
{
public:
  void recordCompletion(const std::string& kind,
                        std::int64_t maxTokens,
                        Millis took);
  /// The 95th percentile of recent work; nothing before enough was seen.
  std::optional<Millis> delayFor(const std::string& kind,
                                 std::int64_t maxTokens) const;

private:
  /// Kind and the logarithm of the size.
  using Key = std::pair<std::string, int>;
  static Key keyOf(const std::string& kind, std::int64_t maxTokens);

  std::map<Key, std::deque<Millis>> mRecent;
};

} // namespace lentilrack::core
