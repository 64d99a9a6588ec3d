#pragma once

#include "core/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::core {

/// Decides which processes read the store themselves (the readers), and from
/// which reader each other process gets the data. Reads of the store are
/// charged for, and limited over all processes together, so only a small part
/// of the processes may be readers.
class ReaderChoice
{
public:
  /// There is one reader for this many processes, so that serving them takes a
  /// reader 2% of a processor core. There are at least two readers, so that the
  /// other processes can ask the second one at once if one fails.
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
  /// Time before which a reader that has failed is not asked, by name.
  std::map<std::string, TimePoint> mAvoidUntil;
};

} // namespace lentilrack::core
