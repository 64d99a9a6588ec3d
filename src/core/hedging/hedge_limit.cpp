#include "core/hedging/hedge_limit.h"

#include <nlohmann/json.hpp>

namespace lentilrack::core {

namespace {

constexpr double kMaxPercent = 100;

} // namespace

bool
HedgeLimit::isValid(double percent)
{
  return percent >= 0 && percent <= kMaxPercent;
}

bool
HedgeLimit::applyStored(const std::string& value)
{
  const auto json = nlohmann::json::parse(value, nullptr, false);
  const auto* found = json.is_object() && json.contains("limit_percent")
                        ? &json["limit_percent"]
                        : nullptr;
  if (found == nullptr || !found->is_number() ||
      !isValid(found->get<double>())) {
    return false;
  }
  mStored = found->get<double>();
  return true;
}

} // namespace lentilrack::core
