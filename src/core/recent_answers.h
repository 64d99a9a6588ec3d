#pragma once

#include "core/work.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace lentilrack::core {

/// Stores the latest complete answers of non-idempotent requests at a
/// dispatcher, so that an answer can still be delivered if the link was lost
/// during its transmission. When a limit is exceeded, the oldest answers are
/// removed.
class RecentAnswers
{
public:
  struct Limits
  {
    /// Maximum number of answers.
    std::size_t answers = 4096;
    /// Maximum total size, in bytes.
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

  /// Stores the answer of a request. An answer that exceeds the total size is
  /// not stored, and neither is a second one of the same request.
  void store(const std::string& request, std::vector<Chunk> chunks);
  /// Returns the stored answer of a request, or null if there is none.
  const std::vector<Chunk>* find(const std::string& request) const;

private:
  struct Answer
  {
    std::vector<Chunk> chunks;
    std::size_t bytes = 0;
  };

  Limits mLimits;
  std::map<std::string, Answer> mAnswers;
  /// Requests of the stored answers, oldest first.
  std::deque<std::string> mOldestFirst;
  std::size_t mBytes = 0;
};

} // namespace lentilrack::core
