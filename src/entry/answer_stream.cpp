#include "entry/answer_stream.h"

namespace lentilrack::entry {

AnswerStream::AnswerStream(net::asio::io_context& io)
  : mWake(io)
{
}

void
AnswerStream::push(core::Chunk chunk)
{
  if (!mIsClosed && !mOutcome) {
    mChunks.push_back(std::move(chunk));
    mWake.cancel();
  }
}

void
AnswerStream::end(core::Outcome outcome)
{
  if (!mOutcome) {
    mOutcome = std::move(outcome);
    mOnClose = nullptr;
    mWake.cancel();
  }
}

void
AnswerStream::close()
{
  if (mIsClosed) {
    return;
  }
  mIsClosed = true;
  mChunks.clear();
  mWake.cancel();
  if (const auto hook = std::exchange(mOnClose, nullptr)) {
    hook();
  }
}

net::Awaitable<std::optional<core::Chunk>>
AnswerStream::next()
{
  while (mChunks.empty() && !mOutcome && !mIsClosed) {
    mWake.expires_at(net::asio::steady_timer::time_point::max());
    boost::system::error_code ignored;
    co_await mWake.async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, ignored));
  }
  if (mChunks.empty()) {
    co_return std::nullopt;
  }
  std::optional<core::Chunk> chunk = std::move(mChunks.front());
  mChunks.pop_front();
  co_return chunk;
}

} // namespace lentilrack::entry
