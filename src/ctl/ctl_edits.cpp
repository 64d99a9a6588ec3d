#include "core/row_fields.h"
#include "core/table_diff.h"
#include "ctl/ctl_app.h"
#include "ctl/random_token.h"
#include "ctl/row_assignment.h"
#include "wire/table_codec.h"

#include <fmt/format.h>

#include <chrono>
#include <set>
#include <utility>

namespace lentilrack::ctl {

namespace {

constexpr core::Millis kWaitLimit{ 60'000 };
constexpr core::Millis kWaitPeriod{ 100 };

std::string
badRowName(const std::string& name)
{
  return fmt::format("\"{}\" names no row; allowed: PRINCIPAL/KIND, each with "
                     "{}",
                     name,
                     core::kNameRequirements);
}

} // namespace

net::Awaitable<std::optional<core::Table>>
CtlApp::fetchTable(std::string target)
{
  const auto answer = co_await mClient.get(std::move(target));
  if (!answer.isSuccess()) {
    fail(answer.errorText());
    co_return std::nullopt;
  }
  auto table = wire::decodeTable(answer.json);
  if (!table) {
    fail("the answer is malformed: " + table.error().text());
    co_return std::nullopt;
  }
  co_return std::move(table.value());
}

bool
CtlApp::confirmChanges(const std::vector<std::string>& changes) const
{
  for (const auto& line : changes) {
    mConsole.out(line + "\n");
  }
  return mSettings.yes || mConsole.confirm("Apply?");
}

net::Awaitable<int>
CtlApp::change(core::Table seen, core::Command command)
{
  const auto result = core::applyEdit(seen, { "preview", command });
  if (const auto* invalid = std::get_if<core::EditInvalid>(&result)) {
    co_return fail("invalid: " + invalid->reason);
  }
  const auto* applied = std::get_if<core::Applied>(&result);
  const auto changes = applied == nullptr
                         ? std::vector<std::string>()
                         : core::tableDiff(seen, applied->table);
  if (changes.empty()) {
    mConsole.out("Nothing to change.\n");
    co_return kExitSuccess;
  }
  if (!confirmChanges(changes)) {
    co_return fail("not applied");
  }
  auto answer = co_await mClient.edit(std::move(command));
  co_return co_await finish(std::move(answer));
}

net::Awaitable<int>
CtlApp::finish(AdminResponse answer)
{
  if (!answer.isSuccess()) {
    const bool isRowConflict = answer.json.is_object() &&
                               answer.json.contains("current") &&
                               answer.json.at("current").is_object();
    co_return fail(answer.errorText() +
                   (isRowConflict
                      ? "\nit is now: " + answer.json.at("current").dump()
                      : ""));
  }
  const auto revision = answer.json.at("revision").get<std::int64_t>();
  mConsole.out(fmt::format("Accepted as revision {}.\n", revision));
  if (!mNewToken.empty()) {
    mConsole.out("Token, shown only now: " + mNewToken + "\n");
  }
  int code = kExitSuccess;
  if (mSettings.wait) {
    code = co_await waitUntilInForce(revision);
  }
  co_return code;
}

net::Awaitable<int>
CtlApp::waitUntilInForce(std::int64_t revision)
{
  const auto start = core::Clock::now();
  const auto target = "/admin/force?revision=" + std::to_string(revision);
  std::set<std::string> shown;
  AdminResponse answer;
  while (core::Clock::now() - start < kWaitLimit) {
    answer = co_await mClient.get(target);
    // The edit may have replaced the token of the operator who made it. The old
    // token is then rejected, and the wait continues with the new one.
    const bool isTokenReplaced =
      answer.errorCode() == "unauthorized" && !mNewToken.empty();
    if (isTokenReplaced) {
      mClient.setToken(std::exchange(mNewToken, ""));
      continue;
    }
    if (!answer.isSuccess()) {
      co_return fail(answer.errorText());
    }
    const std::chrono::duration<double> elapsed = core::Clock::now() - start;
    for (const auto& member : answer.json.at("members")) {
      const auto name = member.at("name").get<std::string>();
      if (member.at("in_force").get<bool>() && shown.insert(name).second) {
        mConsole.out(fmt::format(
          "{} has applied it after {:.1f} s.\n", name, elapsed.count()));
      }
    }
    if (answer.json.at("in_force").get<bool>()) {
      mConsole.out(
        fmt::format("Revision {} is in force everywhere.\n", revision));
      co_return kExitSuccess;
    }
    co_await net::sleepFor(kWaitPeriod);
  }
  std::vector<std::string> missing;
  for (const auto& member : answer.json.at("members")) {
    if (!member.at("in_force").get<bool>()) {
      missing.push_back(member.at("name").get<std::string>());
    }
  }
  co_return fail(fmt::format("accepted, but after {} s not in force at {}",
                             kWaitLimit.count() / 1000,
                             fmt::join(missing, ", ")));
}

net::Awaitable<int>
CtlApp::setRow(std::vector<std::string> arguments)
{
  const auto key = core::parseRowName(arguments.at(0));
  if (!key) {
    co_return failUsage(badRowName(arguments.at(0)));
  }
  arguments.erase(arguments.begin());
  core::Row scratch;
  if (const auto errorText = assignFields(scratch, arguments)) {
    co_return failUsage(*errorText);
  }
  auto table = co_await fetchTable("/admin/table");
  if (!table) {
    co_return kExitFailure;
  }
  core::Row row;
  row.principal = key->first;
  row.kind = key->second;
  const auto found = table->rows.find(*key);
  if (found != table->rows.end()) {
    row = found->second;
  }
  assignFields(row, arguments);
  core::SetRow command{ row, row.version };
  co_return co_await change(std::move(*table), std::move(command));
}

net::Awaitable<int>
CtlApp::removeRow(std::string name)
{
  const auto key = core::parseRowName(name);
  if (!key) {
    co_return failUsage(badRowName(name));
  }
  auto table = co_await fetchTable("/admin/table");
  if (!table) {
    co_return kExitFailure;
  }
  const auto found = table->rows.find(*key);
  const std::int64_t seen =
    found == table->rows.end() ? 0 : found->second.version;
  core::RemoveRow command{ *key, seen };
  co_return co_await change(std::move(*table), std::move(command));
}

net::Awaitable<int>
CtlApp::importRows(std::string file)
{
  const auto text = readFile(file);
  if (!text) {
    co_return failUsage("file \"" + file + "\" cannot be read");
  }
  const auto preview = co_await mClient.post("/admin/import?dry_run=1", *text);
  if (!preview.isSuccess()) {
    co_return fail(preview.errorText());
  }
  const auto changes =
    preview.json.at("changes").get<std::vector<std::string>>();
  if (changes.empty()) {
    mConsole.out("Nothing to change.\n");
    co_return kExitSuccess;
  }
  if (mSettings.dryRun) {
    for (const auto& line : changes) {
      mConsole.out(line + "\n");
    }
    co_return kExitSuccess;
  }
  if (!confirmChanges(changes)) {
    co_return fail("not applied");
  }
  const auto target =
    fmt::format("/admin/import?revision={}&edit_id={}",
                preview.json.at("revision").get<std::int64_t>(),
                generateEditId());
  auto answer = co_await mClient.post(target, *text);
  co_return co_await finish(std::move(answer));
}

net::Awaitable<int>
CtlApp::restore(std::string revision)
{
  if (revision.empty() ||
      revision.find_first_not_of("0123456789") != std::string::npos) {
    co_return failUsage("\"" + revision +
                        "\" is no revision; allowed: an integer, see table "
                        "history");
  }
  const auto wanted =
    co_await fetchTable("/admin/history?revision=" + revision);
  if (!wanted) {
    co_return kExitFailure;
  }
  auto table = co_await fetchTable("/admin/table");
  if (!table) {
    co_return kExitFailure;
  }
  auto command = core::changesBetween(*table, *wanted);
  co_return co_await change(std::move(*table), std::move(command));
}

net::Awaitable<int>
CtlApp::setPrincipal(std::string name, std::string role)
{
  const auto parsedRole = core::parseRole(role);
  if (!parsedRole) {
    co_return failUsage("\"" + role +
                        "\" is no role; allowed: caller, trainer, operator");
  }
  if (!core::isValidName(name)) {
    co_return failUsage(fmt::format(
      "\"{}\" is no name; allowed: {}", name, core::kNameRequirements));
  }
  auto table = co_await fetchTable("/admin/table");
  if (!table) {
    co_return kExitFailure;
  }
  const auto token = generateToken();
  const auto found = table->principals.find(name);
  const std::int64_t seen =
    found == table->principals.end() ? 0 : found->second.version;
  core::SetPrincipal command{ { name, *parsedRole, core::hashToken(token), 0 },
                              seen };
  mNewToken = token;
  co_return co_await change(std::move(*table), std::move(command));
}

net::Awaitable<int>
CtlApp::removePrincipal(std::string name)
{
  auto table = co_await fetchTable("/admin/table");
  if (!table) {
    co_return kExitFailure;
  }
  const auto found = table->principals.find(name);
  const std::int64_t seen =
    found == table->principals.end() ? 0 : found->second.version;
  core::RemovePrincipal command{ name, seen };
  co_return co_await change(std::move(*table), std::move(command));
}

} // namespace lentilrack::ctl
