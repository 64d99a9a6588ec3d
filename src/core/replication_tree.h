#pragma once

#include "core/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::core {

/// Decides from which process each process gets the contents of the store. A
/// few processes, the readers, read the store themselves. The others form
/// levels below them; each fetches the changes from a process of the level
/// above. Reads of the store are charged for and limited over all processes
/// together, so the number of readers does not grow with the fleet. The number
/// of processes that fetch from one process is bounded on average, and the
/// number of levels grows with the logarithm of the fleet size.
class ReplicationTree
{
public:
  /// At least two readers, so that the other processes can ask the second one
  /// at once if one fails.
  static constexpr std::size_t kMinReaders = 2;
  /// Number of readers of a fleet of more than kLargeFleet processes.
  static constexpr std::size_t kMaxReaders = 3;
  static constexpr std::size_t kLargeFleet = 100;
  /// A level has this many times the processes of the level above it. Serving
  /// this many followers takes a process about 1% of a processor core.
  static constexpr std::size_t kFanOut = 24;
  /// How long a source that has failed is not asked again.
  static constexpr Millis kFailureAvoidTime{ 1'500 };

  struct Member
  {
    std::string name;
    std::string failureDomain;
  };

  explicit ReplicationTree(std::string self)
    : mSelf(std::move(self))
  {
  }

  /// Sets the processes that are present and not leaving.
  void setMembers(std::vector<Member> members);
  /// Returns the process from which this one fetches the changes, preferably
  /// one of its own failure domain. Returns nothing if this process must read
  /// the store itself, because it is a reader or because every process of the
  /// levels above has failed recently.
  std::optional<std::string> source(TimePoint now) const;
  /// Returns the reader that reads the store for this one too, or nothing if
  /// this process is not a reader, is the first one, or if all readers before
  /// it have failed recently. Only the first reader reads the store as long as
  /// it works; the others stand by.
  std::optional<std::string> leadingReader(TimePoint now) const;
  /// Returns a process from which a reader that cannot reach the store fetches
  /// the changes, or nothing if there is none.
  std::optional<std::string> sourceForCutReader(TimePoint now) const;
  /// Records that the process did not answer, or that its data was too old.
  void recordFailure(const std::string& source, TimePoint now)
  {
    mAvoidUntil[source] = now + kFailureAvoidTime;
  }
  /// Whether this process reads the store itself.
  bool isReader() const { return mOwnLevel == 0; }
  /// Returns the level of this process. Readers have level 0.
  std::size_t level() const { return mOwnLevel; }
  /// Returns the names of the processes of a level; empty if there are none.
  std::vector<std::string> level(std::size_t index) const;

private:
  std::optional<std::string> chooseFrom(const std::vector<Member>& candidates,
                                        TimePoint now) const;
  /// Whether the process is another one that has not failed recently.
  bool isUsable(const Member& member, TimePoint now) const;

  std::string mSelf;
  std::string mOwnDomain;
  std::vector<std::vector<Member>> mLevels;
  std::size_t mOwnLevel = 0;
  /// Time before which a source that has failed is not asked, by name.
  std::map<std::string, TimePoint> mAvoidUntil;
};

} // namespace lentilrack::core
