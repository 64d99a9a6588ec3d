#pragma once

#include "core/endpoint.h"

#include <optional>
#include <string>
#include <vector>

namespace lentilrack::ctl {

/// Flags of lentilrackctl.
struct CtlSettings
{
  /// Entry instances, tried in this order.
  std::vector<core::Endpoint> entries;
  std::string token;
  std::string tokenFile;
  /// Applies changes without asking for confirmation.
  bool yes = false;
  /// Waits until a change is in force everywhere.
  bool wait = false;
  /// Only shows the changes that an import would make.
  bool dryRun = false;
  /// Only bootstrap uses `kv`, `tableFile` and `principalsFile`.
  std::vector<core::Endpoint> kv;
  std::string tableFile;
  std::string principalsFile;
  /// The command with its arguments.
  std::vector<std::string> arguments;
};

/// Reads the environment and the command line. Returns an exit code if the
/// program should exit, as SettingsBuilder::parse() does.
std::optional<int>
parseSettings(int argc, const char* const* argv, CtlSettings& settings);

} // namespace lentilrack::ctl
