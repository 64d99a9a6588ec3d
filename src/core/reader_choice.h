#pragma once

#include "core/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::core {

/// Which processes read the store themselves, and from which of them the
/// others learn. Reads of the store are priced and limited for all processes
/// together, so that their number must not grow with the fleet as a whole.
class ReaderChoice
{
public:
  /// Two readers at least, so that the loss of one costs no time; one more for
  /// this many processes, which keeps a reader at 2% of a core.
  static constexpr std::size_t kProcessesPerReader = 30;
  static constexpr std::size_t kMinReaders = 2;
  /// A reader that failed is not asked again for this long.
  static constexpr Millis kFailureAvoidTime{ 1'500 };

  explicit ReaderChoice(std::string self)
    : mSelf(std::move(self))
  {
  }

  /// Names of the processes that are present and not about to leave.
  void setMembers(std::vector<std::string> members);
  /// The reader to ask; nothing if this process reads itself, because it is a
  /// reader or knows none that works.
  std::optional<std::string> source(TimePoint now) const;
  void recordFailure(const std::string& reader, TimePoint now)
  {
    mAvoidUntil[reader] = now + kFailureAvoidTime;
  }
  bool isReader() const;
  const std::vector<std::string>& readers() const { return mReaders; }

private:
  std::string mSelf;
  std::vector<std::string> mReaders;
  std::map<std::string, TimePoint> mAvoidUntil;
};

} // namespace lentilrack::core
