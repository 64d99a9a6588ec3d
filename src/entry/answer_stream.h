#pragma once

#include "core/work.h"
#include "net/asio.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace lentilrack::entry {

/// Chunks and outcome of a request on their way to one listener, who may come
/// late and may leave early.
class AnswerStream
{
public:
  explicit AnswerStream(net::asio::io_context& io);

  void push(core::Chunk chunk);
  void end(core::Outcome outcome);

  /// The listener is gone. Calls the hook once, unless the answer has ended.
  void close();
  void onClose(std::function<void()> hook) { mOnClose = std::move(hook); }
  bool isClosed() const { return mIsClosed; }

  /// The next chunk; nothing at the end of the answer or when closed. The
  /// caller keeps the stream alive. There is one waiter at a time.
  net::Awaitable<std::optional<core::Chunk>> next();
  /// Set once next() has given nothing, unless closed.
  const std::optional<core::Outcome>& outcome() const { return mOutcome; }

private:
  std::deque<core::Chunk> mChunks;
  std::optional<core::Outcome> mOutcome;
  bool mIsClosed = false;
  std::function<void()> mOnClose;
  net::asio::steady_timer mWake;
};

} // namespace lentilrack::entry
