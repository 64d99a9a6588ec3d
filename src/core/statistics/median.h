#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace lentilrack::core {

/// Returns the median of the values, the upper one of an even number; a value
/// of zero if there are none.
template<typename T>
T
medianOf(std::vector<T> values)
{
  if (values.empty()) {
    return T{};
  }
  const auto middle =
    values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::ranges::nth_element(values, middle);
  return *middle;
}

} // namespace lentilrack::core
