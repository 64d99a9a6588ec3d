#include "node/table_editor.h"

#include "backends/error.h"
#include "node/table_sync.h"
#include "wire/table_codec.h"

#include <pcg_random.hpp>

#include <algorithm>
#include <random>

namespace lentilrack::node {

namespace {

using backends::BackendError;

/// Delay after the first failed or lost call; doubled for each further one. The
/// delays of one edit add up to at most 5 s, so that the operator's client
/// receives a response before it times out.
constexpr core::Millis kInitialBackoff{ 50 };
constexpr core::Millis kMaxBackoff{ 1000 };

std::string
historyKey(std::int64_t revision)
{
  return kHistoryPrefix + std::to_string(revision);
}

core::Result<core::Table>
decoded(const wire::Json& value, const net::Logger& log)
{
  auto table = wire::decodeTable(value);
  if (!table) {
    log.error("Malformed table in the key-value service: {}",
              table.error().text());
    return make_error_code(BackendError::BadResponse);
  }
  return std::move(table.value());
}

} // namespace

struct TableEditor::State
{
  backends::KvClient& kv;
  core::TableReplica& replica;
  net::Logger log;
  pcg32 random;
  /// The highest table revision that any edit in this process has seen.
  std::int64_t revisionFloor = 0;

  /// Reads the table and stores it in `base`.
  net::Awaitable<void> read(core::EditTransaction& run, core::Table& base);
  net::Awaitable<void> write(core::EditTransaction& run);
  net::Awaitable<void> backOff(int attempt);
  net::Awaitable<void> storeRevision(core::Table table);
  net::Awaitable<void> storeHistory(core::Table base, core::Table table);
  net::Awaitable<void> prune(std::vector<std::int64_t> revisions);
};

net::Awaitable<void>
TableEditor::State::read(core::EditTransaction& run, core::Table& base)
{
  const auto entry = co_await kv.read(kTableKey);
  if (!entry) {
    if (entry.error() == BackendError::NotFound) {
      run.readMissing();
    } else {
      run.readFailed(entry.error().message());
    }
    co_return;
  }
  auto table = decoded(entry.value().value, log);
  if (table) {
    run.readDone(table.value(), entry.value().revision);
    base = std::move(table.value());
  } else {
    run.readFailed("the table in the key-value service is malformed");
  }
}

net::Awaitable<void>
TableEditor::State::write(core::EditTransaction& run)
{
  const auto& step = std::get<core::EditTransaction::Write>(run.nextAction());
  backends::KvPut put;
  put.key = kTableKey;
  put.value = wire::encode(step.table);
  put.expectedRevision = step.expectedKeyRevision;
  const auto written = co_await kv.put(std::move(put));
  if (written) {
    run.writeDone();
  } else if (written.error() == BackendError::Conflict) {
    run.writeConflict();
  } else if (written.error() == BackendError::OutcomeUnknown) {
    run.writeUnknown();
  } else {
    run.writeFailed(written.error().message());
  }
}

net::Awaitable<void>
TableEditor::State::backOff(int attempt)
{
  const auto longest =
    std::min(kMaxBackoff, kInitialBackoff * (1 << std::min(attempt, 10)));
  std::uniform_int_distribution<std::int64_t> milliseconds(longest.count() / 2,
                                                           longest.count());
  co_await net::sleepFor(core::Millis(milliseconds(random)));
}

net::Awaitable<void>
TableEditor::State::storeRevision(core::Table table)
{
  backends::KvPut put;
  put.key = historyKey(table.revision);
  put.value = wire::encode(table);
  put.expectedRevision = 0;
  const auto written = co_await kv.put(std::move(put));
  if (!written && written.error() != BackendError::Conflict) {
    log.warning("Revision {} may be missing in the history: {}",
                table.revision,
                written.error().message());
  }
}

net::Awaitable<void>
TableEditor::State::storeHistory(core::Table base, core::Table table)
{
  // The base is stored too if it is the previous revision. The instance that
  // accepted it may have crashed, or lost its connection to the service, before
  // it wrote that revision to the history.
  const bool isAfterBase = base.revision + 1 == table.revision;
  if (isAfterBase) {
    co_await storeRevision(std::move(base));
  }
  const auto oldest = table.revision - kMaxHistoryLength;
  co_await storeRevision(std::move(table));
  if (oldest > 0) {
    co_await kv.remove(historyKey(oldest));
  }
}

net::Awaitable<void>
TableEditor::State::prune(std::vector<std::int64_t> revisions)
{
  for (const auto revision : revisions) {
    co_await kv.remove(historyKey(revision));
  }
}

TableEditor::TableEditor(net::asio::io_context& io,
                         backends::KvClient& kv,
                         core::TableReplica& replica,
                         net::Logger log,
                         std::uint64_t seed)
  : mIo(io)
  , mState(std::make_shared<State>(
      State{ kv, replica, std::move(log), pcg32(seed), 0 }))
{
}

TableEditor::~TableEditor() = default;

net::Awaitable<core::EditOutcome>
TableEditor::run(core::Edit edit)
{
  const auto state = mState;
  core::EditTransaction run(
    std::move(edit), std::max(state->revisionFloor, state->replica.revision()));
  core::Table base;
  int attempt = 0;
  while (!run.isFinished()) {
    const bool isWrite =
      std::holds_alternative<core::EditTransaction::Write>(run.nextAction());
    if (isWrite) {
      co_await state->write(run);
    } else {
      co_await state->read(run, base);
    }
    // Another read is needed after a failed read and after a write that
    // conflicted with another edit or got no reply.
    const bool isRetry =
      std::holds_alternative<core::EditTransaction::Read>(run.nextAction());
    if (isRetry) {
      co_await state->backOff(attempt);
      ++attempt;
    }
  }
  state->revisionFloor = std::max(state->revisionFloor, run.minRevision());
  auto outcome = std::get<core::EditOutcome>(run.nextAction());
  if (const auto* accepted = std::get_if<core::EditAccepted>(&outcome)) {
    state->replica.applyIfNewer(accepted->table);
    if (accepted->revision == accepted->table.revision) {
      net::spawn(
        mIo, state->storeHistory(std::move(base), accepted->table), state);
    }
  }
  co_return outcome;
}

net::Awaitable<core::Result<std::vector<core::Table>>>
TableEditor::history()
{
  const auto state = mState;
  const auto entries = co_await state->kv.list(kHistoryPrefix);
  if (!entries) {
    co_return entries.error();
  }
  std::vector<core::Table> tables;
  for (const auto& entry : entries.value()) {
    auto table = decoded(entry.value, state->log);
    if (table) {
      tables.push_back(std::move(table.value()));
    }
  }
  std::ranges::sort(tables, std::greater(), &core::Table::revision);
  const auto length = static_cast<std::size_t>(kMaxHistoryLength);
  std::vector<std::int64_t> surplus;
  while (tables.size() > length) {
    surplus.push_back(tables.back().revision);
    tables.pop_back();
  }
  if (!surplus.empty()) {
    net::spawn(mIo, state->prune(std::move(surplus)), state);
  }
  co_return tables;
}

net::Awaitable<core::Result<core::Table>>
TableEditor::historyEntry(std::int64_t revision)
{
  const auto state = mState;
  const auto entry = co_await state->kv.read(historyKey(revision));
  if (!entry) {
    co_return entry.error();
  }
  co_return decoded(entry.value().value, state->log);
}

} // namespace lentilrack::node
