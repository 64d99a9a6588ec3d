#pragma once

#include "core/time.h"

#include <cstddef>
#include <vector>

namespace lentilrack::core {

/// Items of groups that the trainer does not wait for start only in batches
/// that are older than this. Without faults the needed groups are complete by
/// then, and there is time to run the others before a step is late, 7.5 s after
/// its submission in known deployments.
inline constexpr Millis kSpareGroupDelay{ 2'000 };

/// How far the items of one group of a batch are.
struct GroupProgress
{
  /// Items without a result, whether they wait or run.
  std::size_t unfinished = 0;
  /// Expected length of the longest unfinished item; 0 if unknown.
  double longestItem = 0;
  /// Whether an item of the group was given up. The trainer may not count the
  /// group then.
  bool hasGivenUp = false;

  bool isComplete() const { return unfinished == 0; }
};

/// Order in which the incomplete groups of a batch get free slots.
struct GroupOrder
{
  /// Indexes of the incomplete groups, most urgent first.
  std::vector<std::size_t> groups;
  /// Number of groups at the front of `groups` that the trainer waits for. The
  /// others are of use only if one of these is late.
  std::size_t neededGroups = 0;
};

/// Orders the groups of a batch. `desiredGroups` is the number of complete
/// groups that the trainer waits for; it waits for all of them if this is not
/// positive.
///
/// Groups with the longest unfinished items are not needed, as far as the
/// trainer can do without them, since the longest items determine when a step
/// is complete. As many groups as a step may leave incomplete are always needed
/// at the front of the batch: the trainer lists groups there that it has
/// submitted before, and they must not be left incomplete again. Needed groups
/// come first, the one with the fewest unfinished items in front, because only
/// complete groups count. A group with an item that was given up keeps its
/// place, but another group is needed in its stead.
GroupOrder
orderGroups(const std::vector<GroupProgress>& groups, int desiredGroups);

} // namespace lentilrack::core
