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
  /// What follows the words of the command; its count has been checked.
  std::vector<std::string> arguments;
};

/// The error is a message that says what is allowed.
core::Result<Command, std::string>
parseCommand(const std::vector<std::string>& words);

/// One line for each command.
std::string
commandHelp();

} // namespace lentilrack::ctl
