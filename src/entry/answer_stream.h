#pragma once

#include "core/work.h"
#include "net/asio.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace lentilrack::entry {

/// Passes the answer's chunks and the outcome of a request to one listener,
/// which may start to read late and may close the stream early.
class AnswerStream
{
public:
  explicit AnswerStream(net::asio::io_context& io);

  /// Appends a chunk. Ignored if the stream is closed or has ended.
  void push(core::Chunk chunk);
  /// Sets the outcome, which ends the stream. Later calls are ignored.
  void end(core::Outcome outcome);

  /// Closes the stream; to be called when the listener disconnects. Calls the
  /// hook that was set with onClose(), unless the answer has ended.
  void close();
  void onClose(std::function<void()> hook) { mOnClose = std::move(hook); }
  bool isClosed() const { return mIsClosed; }

  /// Waits for the next chunk and returns it, or returns nothing at the end of
  /// the answer or if the stream is closed. The caller must keep the stream
  /// alive during the call. Only one call may wait at a time.
  net::Awaitable<std::optional<core::Chunk>> next();
  /// Returns the outcome. It is set once next() has returned nothing, unless
  /// the stream was closed.
  const std::optional<core::Outcome>& outcome() const { return mOutcome; }

private:
  std::deque<core::Chunk> mChunks;
  std::optional<core::Outcome> mOutcome;
  bool mIsClosed = false;
  std::function<void()> mOnClose;
  net::asio::steady_timer mWake;
};

} // namespace lentilrack::entry
