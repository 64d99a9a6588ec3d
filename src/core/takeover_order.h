#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lentilrack::core {

/// Returns the weight of an instance in the order in which instances take over
/// `name`, a batch id, a model or the leader key. The instance with the highest
/// weight is first. Each name has an order of its own, so that the work of a
/// lost instance is spread over the others.
std::uint64_t
takeoverWeight(const std::string& instance, const std::string& name);

/// Returns the first `count` of the instances in the order in which they take
/// over `name`, or all of them if there are fewer.
std::vector<std::string>
firstInTakeoverOrder(std::vector<std::string> instances,
                     const std::string& name,
                     std::size_t count);

} // namespace lentilrack::core
