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

/// Followed by the revision: the tables of the past.
inline constexpr const char* kHistoryPrefix = "config/history/";
inline constexpr std::int64_t kMaxHistoryLength = 50;

/// Runs edits of the table against the key-value service, keeps the history,
/// and puts each accepted table in force here at once.
class TableEditor
{
public:
  /// `seed` feeds the jitter between attempts. All references must outlive
  /// the editor.
  TableEditor(net::asio::io_context& io,
              backends::KvClient& kv,
              core::TableReplica& replica,
              net::Logger log,
              std::uint64_t seed);
  ~TableEditor();

  /// Safe to repeat with the same edit id, here or at another instance.
  net::Awaitable<core::EditOutcome> run(core::Edit edit);

  /// The latest tables, newest first, at most kMaxHistoryLength. Older ones
  /// that are still stored are removed.
  net::Awaitable<core::Result<std::vector<core::Table>>> history();
  /// One table of the past. Errors: NotFound and those of the service.
  net::Awaitable<core::Result<core::Table>> historyEntry(std::int64_t revision);

private:
  struct State;
  net::asio::io_context& mIo;
  std::shared_ptr<State> mState;
};

} // namespace lentilrack::node
