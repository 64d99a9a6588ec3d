#include "core/membership.h"

#include <algorithm>
#include <bit>
#include <functional>

namespace lentilrack::core {

namespace {

/// An update is passed on this many times for each doubling of the number of
/// members.
constexpr std::size_t kUpdateRepeatFactor = 3;

bool
isNewer(const Member& report, const Member& known)
{
  if (report.id.incarnation != known.id.incarnation) {
    // Incarnations are random numbers without an order, and a restarted process
    // counts its reports from 1 again. A new incarnation is therefore accepted
    // from the process itself only.
    return false;
  }
  if (report.reportNumber != known.reportNumber) {
    return report.reportNumber > known.reportNumber;
  }
  // Of two reports with the same number, the one with the worse state is the
  // later one.
  return report.state > known.state;
}

} // namespace

Membership::Membership(Member self, MembershipTimeouts timeouts)
  : mSelf(std::move(self))
  , mTimeouts(timeouts)
{
}

void
Membership::applyHeartbeat(const Member& member, TimePoint now)
{
  merge(member, now, true);
}

bool
Membership::applyReport(const Member& member, TimePoint now)
{
  if (member.id == mSelf.id) {
    const bool isSuspected =
      member.state == MemberState::Suspect || member.state == MemberState::Dead;
    if (isSuspected && member.reportNumber >= mSelf.reportNumber) {
      // Refutes the suspicion: the next heartbeat gets a higher report number,
      // so it replaces the report that suspects this process.
      mSelf.reportNumber = member.reportNumber + 1;
    }
    return false;
  }
  return merge(member, now, false);
}

bool
Membership::merge(const Member& member, TimePoint now, bool isDirect)
{
  if (member.id.name == mSelf.id.name) {
    return false;
  }
  const auto found = mOthers.find(member.id.name);
  if (found == mOthers.end()) {
    if (!isDirect && member.state == MemberState::Dead) {
      return false;
    }
    auto& entry = mOthers[member.id.name];
    entry.member = member;
    entry.stateSince = now;
    entry.member.lastHeard = isDirect ? now : TimePoint{};
    recordUpdate(entry);
    return true;
  }
  auto& entry = found->second;
  const bool isRestart = member.id.incarnation != entry.member.id.incarnation;
  const bool wasDead = entry.member.state == MemberState::Dead;
  const bool isAccepted =
    isRestart
      ? isDirect || (wasDead && member.state != MemberState::Dead)
      : isNewer(member, entry.member) ||
          (isDirect && member.reportNumber >= entry.member.reportNumber);
  if (!isAccepted) {
    return false;
  }
  const auto lastHeard = isDirect ? now : entry.member.lastHeard;
  const bool hasNewState = entry.member.state != member.state || isRestart;
  const bool isUpdate =
    hasNewState || entry.member.tableRevision != member.tableRevision;
  entry.member = member;
  entry.member.lastHeard = lastHeard;
  if (hasNewState) {
    entry.stateSince = now;
  }
  if (isUpdate) {
    recordUpdate(entry);
  }
  return true;
}

void
Membership::recordFailedProbe(const std::string& name, TimePoint now)
{
  const auto found = mOthers.find(name);
  if (found != mOthers.end() &&
      found->second.member.state == MemberState::Alive) {
    setState(found->second, MemberState::Suspect, now);
  } else if (found != mOthers.end() &&
             found->second.member.state == MemberState::Leaving) {
    // A leaving member that no longer answers has exited.
    setState(found->second, MemberState::Dead, now);
  }
}

void
Membership::expireStates(TimePoint now)
{
  for (auto& [name, entry] : mOthers) {
    if (entry.member.state == MemberState::Suspect &&
        now - entry.stateSince >= mTimeouts.suspicionTimeout) {
      setState(entry, MemberState::Dead, now);
    }
  }
  std::erase_if(mOthers, [&](const auto& item) {
    return item.second.member.state == MemberState::Dead &&
           now - item.second.stateSince >= mTimeouts.deadRetention;
  });
}

void
Membership::setState(Entry& entry, MemberState state, TimePoint now)
{
  entry.member.state = state;
  entry.stateSince = now;
  recordUpdate(entry);
}

void
Membership::recordUpdate(Entry& entry)
{
  entry.updateNumber = ++mLastUpdateNumber;
  entry.timesSent = 0;
}

std::vector<Member>
Membership::membersOf(MemberRole role, bool withLeaving) const
{
  const auto isIncluded = [&](const Member& member) {
    return member.role == role && member.state != MemberState::Dead &&
           (withLeaving || member.state != MemberState::Leaving);
  };
  std::vector<Member> members;
  if (isIncluded(mSelf)) {
    members.push_back(mSelf);
  }
  for (const auto& [name, entry] : mOthers) {
    if (isIncluded(entry.member)) {
      members.push_back(entry.member);
    }
  }
  std::ranges::sort(members, {}, [](const Member& m) { return m.id.name; });
  return members;
}

std::vector<Member>
Membership::liveMembers(MemberRole role) const
{
  return membersOf(role, false);
}

std::vector<Member>
Membership::reachableMembers(MemberRole role) const
{
  return membersOf(role, true);
}

const Member*
Membership::find(const std::string& name) const
{
  if (name == mSelf.id.name) {
    return &mSelf;
  }
  const auto found = mOthers.find(name);
  return found == mOthers.end() ? nullptr : &found->second.member;
}

const Member*
Membership::find(const ProcessId& id) const
{
  const auto* member = find(id.name);
  return member != nullptr && member->id == id ? member : nullptr;
}

std::vector<Member>
Membership::others() const
{
  std::vector<Member> members;
  for (const auto& [name, entry] : mOthers) {
    members.push_back(entry.member);
  }
  return members;
}

std::vector<Member>
Membership::takeUpdates(std::size_t maxMembers)
{
  const std::size_t limit =
    kUpdateRepeatFactor * std::bit_width(mOthers.size());
  std::vector<Entry*> entries;
  for (auto& [name, entry] : mOthers) {
    if (entry.timesSent < limit) {
      entries.push_back(&entry);
    }
  }
  std::ranges::sort(entries, std::greater<>(), &Entry::updateNumber);
  entries.resize(std::min(entries.size(), maxMembers));
  std::vector<Member> members;
  for (auto* entry : entries) {
    ++entry->timesSent;
    members.push_back(entry->member);
  }
  return members;
}

} // namespace lentilrack::core
