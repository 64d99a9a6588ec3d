#include "entry/order_run.h"

namespace lentilrack::entry {

OrderRun::OrderRun(net::asio::io_context& io,
                   std::string id,
                   core::Work work,
                   core::Row row,
                   core::TimePoint deadline)
  : mIo(io)
  , mId(std::move(id))
  , mWork(std::move(work))
  , mRow(std::move(row))
  , mDeadline(deadline)
{
}

core::Millis
OrderRun::remaining() const
{
  return std::chrono::duration_cast<core::Millis>(mDeadline -
                                                  core::Clock::now());
}

std::shared_ptr<AnswerStream>
OrderRun::addListener()
{
  auto stream = std::make_shared<AnswerStream>(mIo);
  for (const auto& chunk : mPublishedChunks) {
    stream->push(chunk);
  }
  stream->onClose([weak = weak_from_this(), listener = stream.get()] {
    if (const auto run = weak.lock()) {
      run->removeListener(listener);
    }
  });
  mListeners.push_back(stream);
  return stream;
}

void
OrderRun::publish(const core::Chunk& chunk)
{
  mPublishedChunks.push_back(chunk);
  for (const auto& stream : mListeners) {
    stream->push(chunk);
  }
}

void
OrderRun::end(const core::Outcome& outcome)
{
  const auto listeners = std::move(mListeners);
  mListeners.clear();
  for (const auto& stream : listeners) {
    stream->end(outcome);
  }
}

void
OrderRun::removeListener(const AnswerStream* stream)
{
  std::erase_if(mListeners,
                [&](const auto& each) { return each.get() == stream; });
  if (mListeners.empty() && mWork.idempotent) {
    mAbandonSignal->cancel();
  }
}

} // namespace lentilrack::entry
