#pragma once

#include "core/result.h"

#include <string>
#include <vector>

namespace lentilrack::ctl {

enum class CommandType
{
  TableShow,
  TableSet,
  TableRemove,
  TableExport,
  TableImport,
  TableHistory,
  TableRestore,
  PrincipalSet,
  PrincipalRemove,
  Members,
  State,
  Status,
  Bootstrap,
};

struct Command
{
  CommandType type = CommandType::Status;
  /// The arguments that follow the name of the command. Their number has been
  /// checked.
  std::vector<std::string> arguments;
};

/// Parses a command line. The error is a message with the allowed commands or
/// arguments.
core::Result<Command, std::string>
parseCommand(const std::vector<std::string>& words);

/// Returns the help text, one line per command.
std::string
commandHelp();

} // namespace lentilrack::ctl
