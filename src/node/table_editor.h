#pragma once

#include "backends/kv_client.h"
#include "core/edit_transaction.h"
#include "core/result.h"
#include "core/table_replica.h"
#include "net/asio.h"
#include "net/log.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lentilrack::node {

/// Key prefix of the table history; the revision follows.
inline constexpr const char* kHistoryPrefix = "config/history/";
inline constexpr std::int64_t kMaxHistoryLength = 50;

/// Applies edits of the table in the key-value service, stores the history, and
/// puts each accepted table in force in this process immediately.
class TableEditor
{
public:
  /// `seed` initialises the jitter of the delay between attempts. All
  /// references must outlive the editor.
  TableEditor(net::asio::io_context& io,
              backends::KvClient& kv,
              core::TableReplica& replica,
              net::Logger log,
              std::uint64_t seed);
  ~TableEditor();

  /// Applies an edit. Can be repeated safely with the same edit id, also at
  /// another instance.
  net::Awaitable<core::EditOutcome> run(core::Edit edit);

  /// Returns the latest tables, newest first, at most kMaxHistoryLength.
  /// Removes older ones that are still stored.
  net::Awaitable<core::Result<std::vector<core::Table>>> history();
  /// Returns the table of an earlier revision. Errors: NotFound and those of
  /// the key-value service.
  net::Awaitable<core::Result<core::Table>> historyEntry(std::int64_t revision);

private:
  struct State;
  net::asio::io_context& mIo;
  std::shared_ptr<State> mState;
};

} // namespace lentilrack::node
