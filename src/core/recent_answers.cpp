#include "core/recent_answers.h"

#include <numeric>

namespace lentilrack::core {

void
RecentAnswers::store(const std::string& request, std::vector<Chunk> chunks)
{
  const auto bytes =
    std::accumulate(chunks.begin(),
                    chunks.end(),
                    request.size(),
                    [](std::size_t sum, const Chunk& chunk) {
                      return sum + sizeof(Chunk) + chunk.text.size();
                    });
  if (bytes > mLimits.totalBytes || mAnswers.contains(request)) {
    return;
  }
  mAnswers[request] = { std::move(chunks), bytes };
  mOldestFirst.push_back(request);
  mBytes += bytes;
  while (mBytes > mLimits.totalBytes || mOldestFirst.size() > mLimits.answers) {
    const auto oldest = mAnswers.find(mOldestFirst.front());
    mBytes -= oldest->second.bytes;
    mAnswers.erase(oldest);
    mOldestFirst.pop_front();
  }
}

const std::vector<Chunk>*
RecentAnswers::find(const std::string& request) const
{
  const auto found = mAnswers.find(request);
  return found == mAnswers.end() ? nullptr : &found->second.chunks;
}

} // namespace lentilrack::core
