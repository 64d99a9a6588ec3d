#include "core/address_selector.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <tuple>

namespace lentilrack::core {

namespace {

/// Number of equally likely results of a random draw.
constexpr std::uint64_t kDrawResolution = 1ULL << 32U;

/// Returns the index of an item drawn at random in proportion to its weight.
/// All weights must be positive.
std::size_t
drawByWeight(const std::vector<AddressShare>& shares, const RandomBelow& random)
{
  const auto total = std::accumulate(
    shares.begin(), shares.end(), 0.0, [](double sum, const auto& share) {
      return sum + share.weight;
    });
  auto remaining = total * static_cast<double>(random(kDrawResolution)) /
                   static_cast<double>(kDrawResolution);
  for (std::size_t i = 0; i < shares.size(); ++i) {
    remaining -= shares[i].weight;
    if (remaining < 0) {
      return i;
    }
  }
  return shares.size() - 1;
}

bool
isOneDomain(const std::vector<AddressShare>& shares)
{
  return std::all_of(shares.begin(), shares.end(), [&](const auto& share) {
    return share.failureDomain == shares.front().failureDomain;
  });
}

std::size_t
countNewTargets(const Member& member, const std::set<std::string>& covered)
{
  return static_cast<std::size_t>(
    std::count_if(member.load.begin(), member.load.end(), [&](const auto& of) {
      return of.second.servers > 0 && !covered.contains(of.first);
    }));
}

bool
ownsServersFor(const Member& member, std::string_view target)
{
  const auto found = member.load.find(std::string(target));
  return found != member.load.end() && found->second.servers > 0;
}

} // namespace

AddressSelector::AddressSelector(AddressSelectorOptions options)
  : mOptions(options)
{
}

void
AddressSelector::update(const std::vector<Member>& entries, TimePoint now)
{
  std::map<ProcessId, Instance> instances;
  for (const auto& member : entries) {
    if (member.state != MemberState::Alive || !member.http) {
      continue;
    }
    Instance current{ member, std::nullopt };
    const auto before = mInstances.find(member.id);
    if (before != mInstances.end()) {
      current.slowStartBegin = before->second.slowStartBegin;
    } else if (!mIsFirstUpdate) {
      current.slowStartBegin = now;
    }
    instances.emplace(member.id, std::move(current));
  }
  // The instances of the first update get no slow start. An update without
  // alive instances does not count as the first one.
  mIsFirstUpdate = mIsFirstUpdate && instances.empty();
  mInstances = std::move(instances);
}

double
AddressSelector::weightOf(const Instance& instance,
                          double meanInFlight,
                          std::string_view callerDomain,
                          TimePoint now) const
{
  const auto load = static_cast<double>(instance.member.inFlight);
  auto weight = (1 + meanInFlight) / (1 + load);
  if (instance.slowStartBegin) {
    const auto age =
      std::chrono::duration<double>(now - *instance.slowStartBegin);
    const auto elapsedFraction =
      age / std::chrono::duration<double>(mOptions.slowStart);
    weight *= std::clamp(elapsedFraction, mOptions.initialShare, 1.0);
  }
  if (!callerDomain.empty() && instance.member.failureDomain != callerDomain) {
    weight *= mOptions.remoteShare;
  }
  return weight;
}

std::vector<AddressShare>
AddressSelector::choose(std::string_view callerDomain,
                        const RandomBelow& random,
                        TimePoint now) const
{
  const auto total = std::accumulate(
    mInstances.begin(),
    mInstances.end(),
    0.0,
    [](double sum, const auto& each) {
      return sum + static_cast<double>(each.second.member.inFlight);
    });
  const auto mean =
    mInstances.empty() ? 0 : total / static_cast<double>(mInstances.size());
  std::vector<AddressShare> candidates;
  for (const auto& [id, instance] : mInstances) {
    candidates.push_back({ id,
                           *instance.member.http,
                           instance.member.link,
                           instance.member.failureDomain,
                           weightOf(instance, mean, callerDomain, now) });
  }
  std::vector<AddressShare> chosen;
  while (!candidates.empty() && chosen.size() < mOptions.maxAddresses) {
    // The last place is reserved for a second failure domain.
    if (chosen.size() + 1 == mOptions.maxAddresses && !chosen.empty() &&
        isOneDomain(chosen)) {
      const auto& domain = chosen.front().failureDomain;
      auto others = candidates;
      std::erase_if(others, [&](const auto& share) {
        return share.failureDomain == domain;
      });
      candidates = others.empty() ? candidates : others;
    }
    const auto index = drawByWeight(candidates, random);
    chosen.push_back(candidates[index]);
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(index));
  }
  const auto sum = std::accumulate(chosen.begin(),
                                   chosen.end(),
                                   0.0,
                                   [](double partialSum, const auto& share) {
                                     return partialSum + share.weight;
                                   });
  for (auto& share : chosen) {
    share.weight /= sum;
  }
  return chosen;
}

std::vector<ProcessId>
chooseDispatchSet(const std::vector<Member>& dispatchers,
                  std::string_view target,
                  std::string_view failureDomain,
                  std::size_t maxSize)
{
  std::vector<const Member*> candidateMembers;
  for (const auto& member : dispatchers) {
    if (member.state == MemberState::Alive) {
      candidateMembers.push_back(&member);
    }
  }
  std::set<std::string> covered;
  std::vector<ProcessId> chosen;
  while (!candidateMembers.empty() && chosen.size() < maxSize) {
    // The first half of the set is reserved for the requested target.
    const bool wantsTarget =
      !target.empty() && chosen.size() < (maxSize + 1) / 2;
    const auto best = std::max_element(
      candidateMembers.begin(),
      candidateMembers.end(),
      [&](const Member* a, const Member* b) {
        const auto rank = [&](const Member* member) {
          return std::tuple(wantsTarget && ownsServersFor(*member, target),
                            countNewTargets(*member, covered),
                            member->failureDomain == failureDomain);
        };
        return rank(a) < rank(b);
      });
    for (const auto& [name, load] : (*best)->load) {
      if (load.servers > 0) {
        covered.insert(name);
      }
    }
    chosen.push_back((*best)->id);
    candidateMembers.erase(best);
  }
  return chosen;
}

} // namespace lentilrack::core
