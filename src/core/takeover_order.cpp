#include "core/takeover_order.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>

namespace lentilrack::core {

std::uint64_t
takeoverWeight(const std::string& instance, const std::string& name)
{
  const auto text = instance + "|" + name;
  return XXH3_64bits(text.data(), text.size());
}

std::vector<std::string>
firstInTakeoverOrder(std::vector<std::string> instances,
                     const std::string& name,
                     std::size_t count)
{
  const auto kept = std::min(count, instances.size());
  std::ranges::partial_sort(
    instances,
    instances.begin() + static_cast<std::ptrdiff_t>(kept),
    std::greater<>(),
    [&](const auto& instance) { return takeoverWeight(instance, name); });
  instances.resize(kept);
  return instances;
}

} // namespace lentilrack::core
