#include "core/order_audience.h"

#include "core/takeover_order.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lentilrack::core {

OrderAudience::OrderAudience(std::string self, std::string leaderKey)
  : mSelf(std::move(self))
  , mLeaderKey(std::move(leaderKey))
{
}

std::vector<std::string>
OrderAudience::recipients(const std::vector<std::string>& members,
                          std::vector<std::string> batchOwners) const
{
  std::vector<std::string> others;
  std::ranges::copy_if(members,
                       std::back_inserter(others),
                       [this](const auto& name) { return name != mSelf; });
  auto result =
    firstInTakeoverOrder(std::move(others), mLeaderKey, kSuccessors);
  std::ranges::move(batchOwners, std::back_inserter(result));
  std::erase(result, mSelf);
  std::ranges::sort(result);
  const auto duplicates = std::ranges::unique(result);
  result.erase(duplicates.begin(), duplicates.end());
  return result;
}

} // namespace lentilrack::core
