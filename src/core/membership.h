#pragma once

#include "core/member.h"

#include <string>
#include <vector>

namespace lentilrack::core {

/// How long members stay suspect or dead.
struct MembershipTimeouts
{
  /// Time within which a suspected member must refute the suspicion before it
  /// is declared dead.
  Millis suspicionTimeout{ 2000 };
  /// How long a dead member is kept in the list, so that an old report does not
  /// add the member again as alive.
  Millis deadRetention{ 60'000 };
};

/// Group membership as seen by this process (SWIM protocol), merged from the
/// heartbeats of the other members and from reports that members pass on. A
/// failed probe makes a member suspect; the suspect refutes it with a newer
/// report about itself. The view may be outdated, so no guarantee may depend on
/// it.
class Membership
{
public:
  Membership(Member self, MembershipTimeouts timeouts);

  const Member& self() const { return mSelf; }
  Member& self() { return mSelf; }

  /// Applies a heartbeat that was received from the member itself.
  void applyHeartbeat(const Member& member, TimePoint now);
  /// Applies a report about a member that another process passed on. Returns
  /// true if it changed what is known of the member.
  bool applyReport(const Member& member, TimePoint now);
  /// Records that neither a direct nor an indirect probe reached the member. An
  /// alive member becomes suspect, and a leaving one dead.
  void recordFailedProbe(const std::string& name, TimePoint now);
  /// Declares members dead whose suspicion has timed out, and removes members
  /// that have been dead for the retention time.
  void expireStates(TimePoint now);

  /// Returns the alive and suspect members of the role, sorted by name.
  /// Includes this process if it has the role and is not leaving.
  std::vector<Member> liveMembers(MemberRole role) const;
  /// Returns the members of liveMembers() and the leaving ones, which still
  /// answer.
  std::vector<Member> reachableMembers(MemberRole role) const;
  /// Returns a member, this process included, or null if it is not known.
  const Member* find(const std::string& name) const;
  /// Returns a member, this process included, or null if no member with this
  /// name and incarnation is known.
  const Member* find(const ProcessId& id) const;
  /// Returns all known members except this process, including dead ones.
  std::vector<Member> others() const;
  /// Returns up to `maxMembers` members with updates to pass on in a heartbeat,
  /// latest update first. An update is a new member, state, incarnation or
  /// table revision. Each update is returned a number of times that grows with
  /// the logarithm of the number of members, which spreads it to all members
  /// with high probability. After that it is left out, which keeps heartbeats
  /// small.
  std::vector<Member> takeUpdates(std::size_t maxMembers);
  /// Returns when the latest heartbeat was received from any member whose name
  /// `isCounted` accepts, or nothing if there is no such member.
  template<typename Predicate>
  std::optional<TimePoint> lastHeardAmong(Predicate isCounted) const
  {
    std::optional<TimePoint> last;
    for (const auto& [name, entry] : mOthers) {
      if (isCounted(name) && (!last || entry.member.lastHeard > *last)) {
        last = entry.member.lastHeard;
      }
    }
    return last;
  }

private:
  struct Entry
  {
    Member member;
    /// Sequence number of the last update, for takeUpdates().
    std::uint64_t updateNumber = 0;
    /// How often takeUpdates() has returned the last update.
    std::size_t timesSent = 0;
    /// When the member entered its state.
    TimePoint stateSince;
  };

  bool merge(const Member& member, TimePoint now, bool isDirect);
  void setState(Entry& entry, MemberState state, TimePoint now);
  void recordUpdate(Entry& entry);
  std::vector<Member> membersOf(MemberRole role, bool withLeaving) const;

  Member mSelf;
  MembershipTimeouts mTimeouts;
  std::map<std::string, Entry> mOthers;
  std::uint64_t mLastUpdateNumber = 0;
};

} // namespace lentilrack::core
