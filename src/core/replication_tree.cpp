#include "core/replication_tree.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <ranges>

namespace lentilrack::core {

namespace {

std::uint64_t
hashOf(const std::string& text)
{
  return XXH3_64bits(text.data(), text.size());
}

} // namespace

void
ReplicationTree::setMembers(std::vector<Member> members)
{
  // The order by hash is the same in every process, and few processes change
  // their level when a process joins or leaves.
  std::ranges::sort(members, {}, [](const Member& member) {
    return std::pair(hashOf(member.name), member.name);
  });
  mLevels.clear();
  mOwnDomain.clear();
  auto width = members.size() > kLargeFleet ? kMaxReaders : kMinReaders;
  auto rest = std::ranges::subrange(members.begin(), members.end());
  while (!rest.empty()) {
    const auto taken =
      static_cast<std::ptrdiff_t>(std::min(width, std::size_t(rest.size())));
    mLevels.emplace_back(rest.begin(), rest.begin() + taken);
    rest.advance(taken);
    width *= kFanOut;
  }
  // A process that is not listed yet takes part in the lowest level.
  mOwnLevel = std::max<std::size_t>(1, mLevels.size()) - 1;
  for (std::size_t i = 0; i < mLevels.size(); ++i) {
    const auto own = std::ranges::find(mLevels[i], mSelf, &Member::name);
    if (own != mLevels[i].end()) {
      mOwnLevel = i;
      mOwnDomain = own->failureDomain;
    }
  }
}

std::vector<std::string>
ReplicationTree::level(std::size_t index) const
{
  std::vector<std::string> names;
  if (index < mLevels.size()) {
    std::ranges::transform(
      mLevels[index], std::back_inserter(names), &Member::name);
  }
  return names;
}

bool
ReplicationTree::isUsable(const Member& member, TimePoint now) const
{
  const auto avoided = mAvoidUntil.find(member.name);
  return member.name != mSelf &&
         (avoided == mAvoidUntil.end() || now >= avoided->second);
}

std::optional<std::string>
ReplicationTree::chooseFrom(const std::vector<Member>& candidates,
                            TimePoint now) const
{
  auto usable = candidates | std::views::filter([&](const Member& member) {
                  return isUsable(member, now);
                });
  const auto chosen =
    std::ranges::max_element(usable, {}, [&](const Member& member) {
      return std::pair(member.failureDomain == mOwnDomain,
                       hashOf(mSelf + "|" + member.name));
    });
  return chosen == usable.end() ? std::nullopt : std::optional(chosen->name);
}

std::optional<std::string>
ReplicationTree::source(TimePoint now) const
{
  for (auto above = mOwnLevel; above > 0; --above) {
    if (auto chosen = chooseFrom(mLevels[above - 1], now)) {
      return chosen;
    }
  }
  return std::nullopt;
}

std::optional<std::string>
ReplicationTree::leadingReader(TimePoint now) const
{
  if (mOwnLevel > 0 || mLevels.empty()) {
    return std::nullopt;
  }
  const auto& readers = mLevels.front();
  const auto self = std::ranges::find(readers, mSelf, &Member::name);
  const auto leading =
    std::find_if(readers.begin(), self, [&](const Member& member) {
      return isUsable(member, now);
    });
  return leading == self ? std::nullopt : std::optional(leading->name);
}

std::optional<std::string>
ReplicationTree::sourceForCutReader(TimePoint now) const
{
  for (const auto& candidates : mLevels | std::views::take(2)) {
    if (auto chosen = chooseFrom(candidates, now)) {
      return chosen;
    }
  }
  return std::nullopt;
}

} // namespace lentilrack::core
