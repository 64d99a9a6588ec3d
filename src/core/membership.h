#pragma once

#include "core/member.h"

#include <string>
#include <vector>

namespace lentilrack::core {

/// Times after which a suspected or dead member changes its state.
struct MembershipTimeouts
{
  /// How long a suspected member has to show that it is alive.
  Millis suspicionTimeout{ 2000 };
  /// How long a dead or departed member is remembered, so that an old report
  /// does not bring it back.
  Millis deadRetention{ 60'000 };
};

/// What this process knows of the other processes, merged from their own
/// heartbeats and from reports of others (SWIM: failed probes raise a
/// suspicion, which the suspect refutes by a newer report of its own).
/// Decides nothing that must always hold: it is a view, and views lag.
class Membership
{
public:
  Membership(Member self, MembershipTimeouts times);

  const Member& self() const { return mSelf; }
  Member& self() { return mSelf; }

  /// Takes a heartbeat that the member itself sent.
  void applyHeartbeat(const Member& member, TimePoint now);
  /// Takes what another process says of a member. Returns true if it was news.
  bool applyReport(const Member& member, TimePoint now);
  /// Neither a direct nor an indirect probe reached the member.
  void recordFailedProbe(const std::string& name, TimePoint now);
  /// Turns old suspicions into deaths and forgets old dead members.
  void expireStates(TimePoint now);

  /// Alive and suspect members of the role, itself included if it fits and is
  /// not leaving; sorted by name.
  std::vector<Member> liveMembers(MemberRole role) const;
  /// liveMembers() plus leaving members, which still answer.
  std::vector<Member> reachableMembers(MemberRole role) const;
  const Member* find(const std::string& name) const;
  const Member* find(const ProcessId& id) const;
  /// Every known member but itself, dead ones included.
  std::vector<Member> others() const;
  /// Members with news to be passed on in a heartbeat, latest news first. Each
  /// piece of news (a new member, another state, run or table revision) is
  /// given out a number of times that grows with the logarithm of the number
  /// of members, which spreads it to all with high probability; afterwards
  /// heartbeats stay small.
  std::vector<Member> takeUpdates(std::size_t most);
  /// When a member whose name `counts` accepts was last heard itself.
  template<typename Predicate>
  std::optional<TimePoint> lastHeardAmong(Predicate counts) const
  {
    std::optional<TimePoint> last;
    for (const auto& [name, entry] : mOthers) {
      if (counts(name) && (!last || entry.member.lastHeard > *last)) {
        last = entry.member.lastHeard;
      }
    }
    return last;
  }

private:
  struct Entry
  {
    Member member;
    /// Number of the last news, for takeUpdates().
    std::uint64_t changed = 0;
    /// How often the last news was given out.
    std::size_t sent = 0;
    /// Since when the state is Suspect, Dead or Leaving.
    TimePoint since;
  };

  bool merge(const Member& member, TimePoint now, bool isDirect);
  void setState(Entry& entry, MemberState state, TimePoint now);
  void noteNews(Entry& entry);
  std::vector<Member> select(MemberRole role, bool withLeaving) const;

  Member mSelf;
  MembershipTimeouts mTimes;
  std::map<std::string, Entry> mOthers;
  std::uint64_t mChanges = 0;
};

} // namespace lentilrack::core
