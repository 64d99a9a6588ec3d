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

/// A running request with the streams of its listeners: one for the original
/// request and one for each duplicate.
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
  /// Returns the time until the deadline, which is negative after it.
  core::Millis remaining() const;

  /// Adds a listener and returns its stream, which starts with the first chunk
  /// of the answer.
  std::shared_ptr<AnswerStream> addListener();
  /// Sends a chunk to all listeners and keeps it for those added later.
  void publish(const core::Chunk& chunk);
  /// Ends the streams of all listeners with the outcome.
  void end(const core::Outcome& outcome);
  const std::vector<core::Chunk>& published() const { return mPublishedChunks; }

  /// Returns a signal that fires when the last listener of an idempotent
  /// request disconnects. A non-idempotent request continues without
  /// listeners, because its caller may repeat the request with the same
  /// identifier and must then get the answer.
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
  std::vector<core::Chunk> mPublishedChunks;
  std::vector<std::shared_ptr<AnswerStream>> mListeners;
  std::shared_ptr<net::CancelSignal> mAbandonSignal =
    std::make_shared<net::CancelSignal>();
};

} // namespace lentilrack::entry
