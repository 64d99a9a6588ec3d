#include "ctl/ctl_settings.h"

#include "ctl/command.h"
#include "net/settings.h"

namespace lentilrack::ctl {

std::optional<int>
parseSettings(int argc, const char* const* argv, CtlSettings& settings)
{
  net::SettingsBuilder builder("lentilrackctl", "tool for operators");
  builder
    .endpoints("entry", &settings.entries, "entry instances, tried in order")
    .text("token", &settings.token, "bearer token of an operator")
    .text("token-file", &settings.tokenFile, "file that holds the token")
    .toggle("yes", &settings.yes, "applies changes without a question")
    .toggle(
      "wait", &settings.wait, "waits until a change is in force everywhere")
    .toggle("dry-run", &settings.dryRun, "import: only shows the changes")
    .endpoints("kv", &settings.kv, "bootstrap: key-value service")
    .text("table", &settings.tableFile, "bootstrap: CSV file with the rows")
    .text("principals",
          &settings.principalsFile,
          "bootstrap: lines NAME ROLE, or CSV with name, role, token")
    .arguments(&settings.arguments, "COMMAND\n\nCommands:\n" + commandHelp());
  return builder.parse(argc, argv);
}

} // namespace lentilrack::ctl
