#pragma once

#include "core/work.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace lentilrack::core {

/// The latest whole answers of non-idempotent requests at a dispatcher, so that
/// an answer whose link was lost on the way can still be delivered. Bounded;
/// the oldest answers go first.
class RecentAnswers
{
public:
  struct Limits
  {
    std::size_t answers = 4096;
    std::size_t totalBytes = 8UL * 1024 * 1024;
  };

  RecentAnswers()
    : RecentAnswers(Limits{})
  {
  }
  explicit RecentAnswers(Limits limits)
    : mLimits(limits)
  {
  }

  /// An answer larger than all limits is not kept.
  void store(const std::string& request, std::vector<Chunk> chunks);
  /// Null if the answer is not kept.
  const std::vector<Chunk>* find(const std::string& request) const;

private:
  struct Answer
  {
    std::vector<Chunk> chunks;
    std::size_t bytes = 0;
  };

  Limits mLimits;
  std::map<std::string, Answer> mAnswers;
  std::deque<std::string> mOrder;
  std::size_t mBytes = 0;
};

} // namespace lentilrack::core
