#include "ctl/command.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace lentilrack::ctl {

namespace {

constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

struct CommandSyntax
{
  CommandType type;
  std::vector<std::string> words;
  std::string arguments;
  std::size_t minArguments;
  std::size_t maxArguments;
  std::string help;

  std::string usage() const
  {
    return fmt::format(
      "{}{}{}", fmt::join(words, " "), arguments.empty() ? "" : " ", arguments);
  }
};

const std::vector<CommandSyntax>&
commandSyntaxes()
{
  static const std::vector<CommandSyntax> kSyntaxes{
    { CommandType::TableShow,
      { "table", "show" },
      "",
      0,
      0,
      "shows the table" },
    { CommandType::TableSet,
      { "table", "set" },
      "PRINCIPAL/KIND FIELD=VALUE...",
      2,
      kUnlimited,
      "creates or changes a row" },
    { CommandType::TableRemove,
      { "table", "remove" },
      "PRINCIPAL/KIND",
      1,
      1,
      "removes a row" },
    { CommandType::TableExport,
      { "table", "export" },
      "",
      0,
      0,
      "writes the rows as CSV" },
    { CommandType::TableImport,
      { "table", "import" },
      "FILE",
      1,
      1,
      "replaces all rows by those of a CSV file" },
    { CommandType::TableHistory,
      { "table", "history" },
      "",
      0,
      0,
      "shows the last revisions" },
    { CommandType::TableRestore,
      { "table", "restore" },
      "REVISION",
      1,
      1,
      "goes back to rows and principals of a revision" },
    { CommandType::PrincipalSet,
      { "principal", "set" },
      "NAME ROLE",
      2,
      2,
      "creates or changes a principal and shows its new token once" },
    { CommandType::PrincipalRemove,
      { "principal", "remove" },
      "NAME",
      1,
      1,
      "removes a principal" },
    { CommandType::Members, { "members" }, "", 0, 0, "shows all processes" },
    { CommandType::State,
      { "state" },
      "",
      0,
      0,
      "shows the state dump of an entry" },
    { CommandType::Status, { "status" }, "", 0, 0, "shows a health summary" },
    { CommandType::Bootstrap,
      { "bootstrap" },
      "--kv ADDR --table FILE --principals FILE",
      0,
      0,
      "writes the first table to the key-value service" },
  };
  return kSyntaxes;
}

bool
startsWith(const std::vector<std::string>& words,
           const std::vector<std::string>& start)
{
  return words.size() >= start.size() &&
         std::equal(start.begin(), start.end(), words.begin());
}

} // namespace

core::Result<Command, std::string>
parseCommand(const std::vector<std::string>& words)
{
  const auto found =
    std::ranges::find_if(commandSyntaxes(), [&](const auto& syntax) {
      return startsWith(words, syntax.words);
    });
  if (found == commandSyntaxes().end()) {
    return fmt::format("\"{}\" is no command; allowed:\n{}",
                       fmt::join(words, " "),
                       commandHelp());
  }
  Command command{ found->type,
                   { words.begin() +
                       static_cast<std::ptrdiff_t>(found->words.size()),
                     words.end() } };
  const auto count = command.arguments.size();
  if (count < found->minArguments || count > found->maxArguments) {
    return "wrong number of arguments; allowed: " + found->usage();
  }
  return command;
}

std::string
commandHelp()
{
  std::string text;
  for (const auto& syntax : commandSyntaxes()) {
    text += fmt::format("  {:<43} {}\n", syntax.usage(), syntax.help);
  }
  return text;
}

} // namespace lentilrack::ctl
