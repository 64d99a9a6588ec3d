#pragma once

#include "core/order_ledger.h"
#include "core/table.h"
#include "core/ticket.h"
#include "core/time.h"
#include "core/work.h"
#include "entry/answer_stream.h"
#include "net/cancel_signal.h"

#include <memory>
#include <string>
#include <vector>

namespace lentilrack::entry {

/// A request that runs, and those who listen to it: the caller and its
/// duplicates.
class OrderRun : public std::enable_shared_from_this<OrderRun>
{
public:
  OrderRun(net::asio::io_context& io,
           std::string id,
           core::Work work,
           core::Row row,
           core::TimePoint deadline);

  const std::string& id() const { return mId; }
  const core::Work& work() const { return mWork; }
  const core::Row& row() const { return mRow; }
  core::TimePoint startedAt() const { return mStartedAt; }
  core::TimePoint deadline() const { return mDeadline; }
  core::Millis remaining() const;

  /// A new listener; gets all chunks from the first one on.
  std::shared_ptr<AnswerStream> addListener();
  void publish(const core::Chunk& chunk);
  void end(const core::Outcome& outcome);
  const std::vector<core::Chunk>& published() const { return mPublished; }

  /// Fires when every listener has left an idempotent request. A
  /// non-idempotent one runs on: its caller may come back with the same
  /// identifier, and must then get the answer.
  const std::shared_ptr<net::CancelSignal>& abandonSignal() const
  {
    return mAbandonSignal;
  }

private:
  void removeListener(const AnswerStream* stream);

  net::asio::io_context& mIo;
  std::string mId;
  core::Work mWork;
  core::Row mRow;
  core::TimePoint mStartedAt = core::Clock::now();
  core::TimePoint mDeadline;
  std::vector<core::Chunk> mPublished;
  std::vector<std::shared_ptr<AnswerStream>> mListeners;
  std::shared_ptr<net::CancelSignal> mAbandonSignal =
    std::make_shared<net::CancelSignal>();
};

} // namespace lentilrack::entry
