#pragma once

#include "core/duties/usage_ledger.h"

#include <optional>
#include <string>
#include <vector>

namespace lentilrack::gateway {

/// Counts of one process for one window, as processes send them to each other.
struct UsageUpdate
{
  /// Identifies the process and its incarnation.
  std::string source;
  std::int64_t window = 0;
  core::UsageCounts counts;
};

std::string
encodeUsageUpdates(const std::vector<UsageUpdate>& updates);
/// Returns nothing if the text is malformed.
std::optional<std::vector<UsageUpdate>>
decodeUsageUpdates(const std::string& text);

/// Key of the record of the reports. It is outside the prefix of the keys that
/// every process mirrors, since only the holder of the duty reads it.
inline constexpr const char* kUsageReportsKey = "lentilrack-usage/reports";

/// Encodes the record of the reports for the store.
std::string
encodeStoredUsage(const core::StoredUsage& record);
/// Returns nothing if the text is malformed.
std::optional<core::StoredUsage>
decodeStoredUsage(const std::string& text);

} // namespace lentilrack::gateway
