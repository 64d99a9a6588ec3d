#pragma once

#include <optional>
#include <string>
#include <vector>

namespace lentilrack::core {

/// A customer of the deployment, as the desired state describes it. Each of its
/// API keys identifies the organisation.
struct Organisation
{
  std::string name;
  std::vector<std::string> apiKeys;
  /// Goes before the priority of the route if it is set; 0 is the most urgent.
  std::optional<int> priority;

  bool operator==(const Organisation&) const = default;
};

} // namespace lentilrack::core
