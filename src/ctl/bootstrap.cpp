#include "backends/error.h"
#include "core/row_fields.h"
#include "ctl/ctl_app.h"
#include "ctl/initial_table.h"
#include "node/table_editor.h"
#include "node/table_sync.h"
#include "wire/table_codec.h"

#include <fmt/format.h>

namespace lentilrack::ctl {

namespace {

using backends::BackendError;

constexpr int kMaxReads = 5;

/// Returns the highest revision in the history; 0 if there is none. The initial
/// table must have a higher one, because a process that still has an earlier
/// table in force ignores a table that is not newer.
net::Awaitable<core::Result<std::int64_t>>
highestRevision(backends::KvClient& kv)
{
  const auto entries = co_await kv.list(node::kHistoryPrefix);
  if (!entries) {
    co_return entries.error();
  }
  std::int64_t highest = 0;
  for (const auto& entry : entries.value()) {
    const auto table = wire::decodeTable(entry.value);
    highest = std::max(highest, table ? table.value().revision : 0);
  }
  co_return highest;
}

/// Returns true if the table in the key-value service has the same edit
/// identifier as `table` and was therefore written by this run. Returns an
/// error if the service cannot be read.
net::Awaitable<core::Result<bool>>
hasTable(backends::KvClient& kv, core::Table table)
{
  std::error_code error;
  for (int i = 0; i < kMaxReads; ++i) {
    const auto entry = co_await kv.read(node::kTableKey);
    if (entry) {
      const auto found = wire::decodeTable(entry.value().value);
      co_return found&& found.value().recentEdits == table.recentEdits;
    }
    error = entry.error();
  }
  co_return error;
}

} // namespace

net::Awaitable<int>
CtlApp::bootstrap()
{
  if (mSettings.kv.empty() || mSettings.tableFile.empty() ||
      mSettings.principalsFile.empty()) {
    co_return failUsage("bootstrap needs --kv ADDR, --table FILE and "
                        "--principals FILE");
  }
  const auto rows = readFile(mSettings.tableFile);
  const auto principals = readFile(mSettings.principalsFile);
  if (!rows || !principals) {
    co_return failUsage(
      fmt::format("file \"{}\" cannot be read",
                  rows ? mSettings.principalsFile : mSettings.tableFile));
  }
  auto first = makeInitialTable(*rows, *principals, generateEditId());
  if (!first) {
    co_return fail(first.error());
  }
  auto& table = first.value().table;
  backends::KvClientOptions options;
  options.endpoints = mSettings.kv;
  backends::KvClient kv(mIo, std::move(options));
  const auto highest = co_await highestRevision(kv);
  if (!highest) {
    co_return fail("the key-value service cannot be read: " +
                   highest.error().message());
  }
  setRevisionAndVersions(table, highest.value() + 1);
  backends::KvPut put;
  put.key = node::kTableKey;
  put.value = wire::encode(table);
  put.expectedRevision = 0;
  const auto written = co_await kv.put(std::move(put));
  if (!written && written.error() != BackendError::Conflict &&
      written.error() != BackendError::OutcomeUnknown) {
    co_return fail("the table cannot be written: " + written.error().message());
  }
  if (!written) {
    const auto isWritten = co_await hasTable(kv, table);
    if (!isWritten) {
      co_return fail("it is unknown whether the table was written: " +
                     isWritten.error().message() + "; run the command again");
    }
    if (!isWritten.value()) {
      co_return fail("there is a table already; use table import to change it");
    }
  }
  backends::KvPut history;
  history.key = node::kHistoryPrefix + std::to_string(table.revision);
  history.value = wire::encode(table);
  const auto stored = co_await kv.put(std::move(history));
  if (!stored) {
    mConsole.error("lentilrackctl: the first revision is missing in the "
                   "history: " +
                   stored.error().message() + "\n");
  }
  // The summary goes to standard error. Standard output contains only the new
  // tokens, so that it can be redirected to a file.
  mConsole.error(fmt::format("Wrote the first table as revision {}, {} rows, "
                             "{} principals.\n",
                             table.revision,
                             table.rows.size(),
                             table.principals.size()));
  for (const auto& made : first.value().tokens) {
    mConsole.out(fmt::format(
      "{} {} {}\n", made.name, core::roleText(made.role), made.token));
  }
  co_return kExitSuccess;
}

} // namespace lentilrack::ctl
