#include "core/scheduling/group_order.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lentilrack::core {

GroupOrder
orderGroups(const std::vector<GroupProgress>& groups, int desiredGroups)
{
  const bool needsAll =
    desiredGroups <= 0 || std::cmp_greater_equal(desiredGroups, groups.size());
  const auto desired =
    needsAll ? groups.size() : static_cast<std::size_t>(desiredGroups);
  // The first groups of the batch, which may have been submitted before.
  const auto protectedGroups = groups.size() - desired;
  GroupOrder order;
  std::size_t countedGroups = 0;
  for (std::size_t i = 0; i < groups.size(); ++i) {
    if (!groups[i].isComplete()) {
      order.groups.push_back(i);
    } else if (!groups[i].hasGivenUp) {
      ++countedGroups;
    }
  }
  std::ranges::stable_sort(order.groups, {}, [&](std::size_t i) {
    return i < protectedGroups ? std::tuple(0, 0.0)
                               : std::tuple(1, groups[i].longestItem);
  });
  for (const auto i : order.groups) {
    if (!needsAll && countedGroups >= desired) {
      break;
    }
    ++order.neededGroups;
    countedGroups += groups[i].hasGivenUp ? 0 : 1;
  }
  const auto bySize = [&](std::size_t i) {
    return std::pair(groups[i].unfinished, i);
  };
  const auto firstSpare =
    order.groups.begin() + static_cast<std::ptrdiff_t>(order.neededGroups);
  std::ranges::sort(order.groups.begin(), firstSpare, {}, bySize);
  std::ranges::sort(firstSpare, order.groups.end(), {}, bySize);
  return order;
}

} // namespace lentilrack::core
