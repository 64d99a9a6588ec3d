#include "ctl/ctl_app.h"

#include "ctl/render.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

namespace lentilrack::ctl {

std::optional<std::string>
readFile(const std::string& path)
{
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::string
operatorToken(const CtlSettings& settings)
{
  if (!settings.token.empty() || settings.tokenFile.empty()) {
    return settings.token;
  }
  auto token = readFile(settings.tokenFile).value_or("");
  token.erase(token.find_last_not_of(" \r\n") + 1);
  return token;
}

CtlApp::CtlApp(net::asio::io_context& io, CtlSettings settings, Console console)
  : mIo(io)
  , mSettings(std::move(settings))
  , mConsole(std::move(console))
  , mClient(io, mSettings.entries, operatorToken(mSettings))
{
}

int
CtlApp::fail(const std::string& message) const
{
  mConsole.error("lentilrackctl: " + message + "\n");
  return kExitFailure;
}

int
CtlApp::failUsage(const std::string& message) const
{
  mConsole.error("lentilrackctl: " + message + "\n");
  return kExitUsage;
}

net::Awaitable<int>
CtlApp::run()
{
  auto command = parseCommand(mSettings.arguments);
  if (!command) {
    co_return failUsage(command.error());
  }
  if (command.value().type == CommandType::Bootstrap) {
    co_return co_await bootstrap();
  }
  if (mSettings.entries.empty()) {
    co_return failUsage("--entry ADDR[,ADDR] is missing; allowed: IP addresses "
                        "with ports");
  }
  if (operatorToken(mSettings).empty()) {
    co_return failUsage(
      "the token of an operator is missing; allowed: --token, "
      "LENTILRACK_TOKEN or --token-file with a readable file");
  }
  int code = kExitFailure;
  try {
    code = co_await dispatch(std::move(command.value()));
  } catch (const wire::Json::exception& exception) {
    code =
      fail(std::string(
             "the response of the entry instance has an unexpected format: ") +
           exception.what());
  }
  co_return code;
}

net::Awaitable<int>
CtlApp::dispatch(Command command)
{
  auto& arguments = command.arguments;
  switch (command.type) {
    case CommandType::TableShow:
      co_return co_await showTable();
    case CommandType::TableSet:
      co_return co_await setRow(std::move(arguments));
    case CommandType::TableRemove:
      co_return co_await removeRow(arguments.at(0));
    case CommandType::TableExport:
      co_return co_await showBody("/admin/export");
    case CommandType::TableImport:
      co_return co_await importRows(arguments.at(0));
    case CommandType::TableHistory:
      co_return co_await showHistory();
    case CommandType::TableRestore:
      co_return co_await restore(arguments.at(0));
    case CommandType::PrincipalSet:
      co_return co_await setPrincipal(arguments.at(0), arguments.at(1));
    case CommandType::PrincipalRemove:
      co_return co_await removePrincipal(arguments.at(0));
    case CommandType::Members:
      co_return co_await showMembers();
    case CommandType::State:
      co_return co_await showBody("/state");
    case CommandType::Status:
      co_return co_await showStatus();
    case CommandType::Bootstrap:
      break;
  }
  co_return co_await bootstrap();
}

net::Awaitable<int>
CtlApp::showTable()
{
  const auto table = co_await fetchTable("/admin/table");
  if (!table) {
    co_return kExitFailure;
  }
  mConsole.out(renderTable(*table));
  co_return kExitSuccess;
}

net::Awaitable<int>
CtlApp::showHistory()
{
  const auto answer = co_await mClient.get("/admin/history");
  if (!answer.isSuccess()) {
    co_return fail(answer.errorText());
  }
  mConsole.out(renderHistory(answer.json));
  co_return kExitSuccess;
}

net::Awaitable<int>
CtlApp::showMembers()
{
  const auto answer = co_await mClient.get("/admin/members");
  if (!answer.isSuccess()) {
    co_return fail(answer.errorText());
  }
  mConsole.out(renderMembers(answer.json));
  co_return kExitSuccess;
}

net::Awaitable<int>
CtlApp::showStatus()
{
  const auto answer = co_await mClient.get("/admin/status");
  if (!answer.isSuccess()) {
    co_return fail(answer.errorText());
  }
  mConsole.out(renderStatus(answer.json));
  co_return kExitSuccess;
}

net::Awaitable<int>
CtlApp::showBody(std::string target)
{
  const auto answer = co_await mClient.get(std::move(target));
  if (!answer.isSuccess()) {
    co_return fail(answer.errorText());
  }
  mConsole.out(answer.body);
  co_return kExitSuccess;
}

} // namespace lentilrack::ctl
