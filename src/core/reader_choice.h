#pragma once

#include "core/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::core {

/// Decides which processes read the store themselves (the readers), and which
/// reader the other processes get their copy from. Reads of the store have a
/// price and a common limit for all processes, so that their number must not
/// grow in proportion to the fleet.
class ReaderChoice
{
public:
  /// There is one reader for this many processes, which keeps the load of a
  /// reader at 2% of a core. There are at least two, so that no time is lost if
  /// one fails.
  static constexpr std::size_t kProcessesPerReader = 30;
  static constexpr std::size_t kMinReaders = 2;
  /// How long a reader that has failed is not asked again.
  static constexpr Millis kFailureAvoidTime{ 1'500 };

  explicit ReaderChoice(std::string self)
    : mSelf(std::move(self))
  {
  }

  /// Sets the names of the processes that are present and not leaving.
  void setMembers(std::vector<std::string> members);
  /// Returns the reader to ask, or nothing if this process must read the store
  /// itself, because it is a reader or every known reader has failed recently.
  std::optional<std::string> source(TimePoint now) const;
  /// Records that the reader did not answer; it is not asked for a while.
  void recordFailure(const std::string& reader, TimePoint now)
  {
    mAvoidUntil[reader] = now + kFailureAvoidTime;
  }
  /// Whether this process reads the store itself.
  bool isReader() const;
  /// Returns the names of all readers.
  const std::vector<std::string>& readers() const { return mReaders; }

private:
  std::string mSelf;
  std::vector<std::string> mReaders;
  std::map<std::string, TimePoint> mAvoidUntil;
};

} // namespace lentilrack::core
