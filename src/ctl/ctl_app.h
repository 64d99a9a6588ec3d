#pragma once

#include "core/table_edit.h"
#include "ctl/admin_client.h"
#include "ctl/command.h"
#include "ctl/ctl_settings.h"

#include <functional>
#include <optional>
#include <string>

namespace lentilrack::ctl {

/// Exit codes of the program.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

/// Functions by which the program prints and asks for confirmation.
struct Console
{
  std::function<void(const std::string&)> out;
  std::function<void(const std::string&)> error;
  /// Asks the user a question. Returns true if the answer is yes.
  std::function<bool(const std::string&)> confirm;
};

/// Runs one command of lentilrackctl.
class CtlApp
{
public:
  CtlApp(net::asio::io_context& io, CtlSettings settings, Console console);

  /// Runs the command and returns the exit code.
  net::Awaitable<int> run();

private:
  net::Awaitable<int> dispatch(Command command);
  net::Awaitable<int> bootstrap();

  net::Awaitable<int> showTable();
  net::Awaitable<int> showHistory();
  net::Awaitable<int> showMembers();
  net::Awaitable<int> showStatus();
  net::Awaitable<int> showBody(std::string target);

  net::Awaitable<int> setRow(std::vector<std::string> arguments);
  net::Awaitable<int> removeRow(std::string name);
  net::Awaitable<int> importRows(std::string file);
  net::Awaitable<int> restore(std::string revision);
  net::Awaitable<int> setPrincipal(std::string name, std::string role);
  net::Awaitable<int> removePrincipal(std::string name);

  /// Fetches a table from the administration API. Prints an error and returns
  /// nothing if that fails.
  net::Awaitable<std::optional<core::Table>> fetchTable(std::string target);
  /// Shows what `command` changes in the table `seen`, asks for confirmation
  /// and sends the command.
  net::Awaitable<int> change(core::Table seen, core::Command command);
  /// Shows the changes and asks for confirmation. Returns true if it is given.
  bool confirmChanges(const std::vector<std::string>& changes) const;
  /// Shows the outcome of an edit. With --wait, waits until the edit is in
  /// force everywhere.
  net::Awaitable<int> finish(AdminResponse answer);
  net::Awaitable<int> waitUntilInForce(std::int64_t revision);

  int fail(const std::string& message) const;
  int failUsage(const std::string& message) const;

  net::asio::io_context& mIo;
  CtlSettings mSettings;
  Console mConsole;
  AdminClient mClient;
  /// New token of the principal that the command sets; shown once the edit is
  /// accepted.
  std::string mNewToken;
};

/// Returns the content of a file; nothing if it cannot be read.
std::optional<std::string>
readFile(const std::string& path);

/// Returns the token from the settings or from the token file, without line
/// ends; empty if there is none.
std::string
operatorToken(const CtlSettings& settings);

} // namespace lentilrack::ctl
