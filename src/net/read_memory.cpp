#include "net/read_memory.h"

#include <algorithm>
#include <utility>

namespace lentilrack::net {

ReadMemory::Share::Share(std::shared_ptr<ReadMemory> memory,
                         std::function<void()> onGiveUp)
  : mMemory(std::move(memory))
  , mOnGiveUp(std::move(onGiveUp))
{
  mMemory->mShares.insert(this);
}

ReadMemory::Share::~Share()
{
  mMemory->change(*this, 0);
  mMemory->mShares.erase(this);
}

void
ReadMemory::Share::resize(std::size_t bytes)
{
  mMemory->change(*this, bytes);
}

ReadMemory::ReadMemory(std::size_t limit)
  : mLimit(limit)
{
}

void
ReadMemory::change(Share& share, std::size_t bytes)
{
  mUsed += bytes;
  mUsed -= std::exchange(share.mBytes, bytes);
  mPeak = std::max(mPeak, mUsed);
  while (mUsed > mLimit) {
    const auto heldOf = [](const Share* other) {
      return other->mOnGiveUp ? other->mBytes : 0;
    };
    const auto largest = std::ranges::max_element(mShares, {}, heldOf);
    if (largest == mShares.end() || heldOf(*largest) == 0) {
      return;
    }
    mUsed -= std::exchange((*largest)->mBytes, 0);
    ++mGivenUp;
    std::exchange((*largest)->mOnGiveUp, nullptr)();
  }
}

} // namespace lentilrack::net
