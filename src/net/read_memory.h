#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace lentilrack::net {

/// Limits the memory that all responses of a process hold together while they
/// are read and until they are passed on. If the limit is exceeded, the
/// response that holds the most is given up: a server that sends without end
/// then ends its own responses and not those of other servers.
class ReadMemory : public std::enable_shared_from_this<ReadMemory>
{
public:
  /// The memory of one response.
  class Share
  {
  public:
    /// `onGiveUp` is called, once at most, when the response is given up.
    Share(std::shared_ptr<ReadMemory> memory, std::function<void()> onGiveUp);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// Sets the number of bytes that the response holds. May give up responses,
    /// including this one.
    void resize(std::size_t bytes);
    /// Excludes the response from being given up, because it is complete.
    void markComplete() { mOnGiveUp = nullptr; }

  private:
    friend class ReadMemory;

    std::shared_ptr<ReadMemory> mMemory;
    std::function<void()> mOnGiveUp;
    std::size_t mBytes = 0;
  };

  /// `limit` is in bytes.
  explicit ReadMemory(std::size_t limit);

  std::size_t limit() const { return mLimit; }
  /// Returns the number of bytes held now, and the most held so far.
  std::size_t used() const { return mUsed; }
  std::size_t peak() const { return mPeak; }
  /// Number of responses given up so far.
  std::size_t givenUp() const { return mGivenUp; }

private:
  void change(Share& share, std::size_t bytes);

  std::size_t mLimit;
  std::size_t mUsed = 0;
  std::size_t mPeak = 0;
  std::size_t mGivenUp = 0;
  std::set<Share*> mShares;
};

} // namespace lentilrack::net
