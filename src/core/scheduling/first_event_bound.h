#pragma once

#include "core/time.h"

#include <cstddef>
#include <vector>

namespace lentilrack::core {

/// Bound on the time until the first event of a run, after which its server
/// counts as silent. Follows the times that the service takes at present, so
/// that a service under load does not lose runs that it would serve.
class FirstEventBound
{
public:
  /// The bound is never lower or higher than this. Servers that are gone must
  /// be found while there is time to run their items elsewhere.
  static constexpr Millis kFloor{ 1'500 };
  static constexpr Millis kCeiling{ 5'000 };

  /// Records the time until the first event of a run, or until the run was
  /// given up without one.
  void record(Millis time);
  Millis bound() const;

private:
  /// The most recent times, overwritten in turn.
  std::vector<Millis> mRecent;
  std::size_t mNext = 0;
};

} // namespace lentilrack::core
