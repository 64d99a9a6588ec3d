#pragma once

#include "core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace lentilrack::core {

/// Determines how long to wait before a second attempt is sent (hedging), from
/// the time that work of the same kind and size usually takes.
class HedgeDelay
{
public:
  /// Records the duration of completed work.
  void recordCompletion(const std::string& kind,
                        std::int64_t maxTokens,
                        Millis took);
  /// Returns the 95th percentile of the recent durations of work of this kind
  /// and size, or nothing if too few are recorded.
  std::optional<Millis> delayFor(const std::string& kind,
                                 std::int64_t maxTokens) const;

private:
  /// Kind, and the bit width of the maximum number of tokens.
  using Key = std::pair<std::string, int>;
  static Key keyOf(const std::string& kind, std::int64_t maxTokens);

  /// Recent durations by kind and size, oldest first.
  std::map<Key, std::deque<Millis>> mRecent;
};

} // namespace lentilrack::core
