#include "core/address_selector.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <tuple>

namespace lentilrack::core {

namespace {

/// Resolution of a random draw over weights.
constexpr std::uint64_t kDraw = 1ULL << 32U;

/// Index of an item drawn in proportion to its weight; the weights are
/// positive.
std::size_t
drawByWeight(const std::vector<AddressShare>& shares, const RandomBelow& random)
{
  const auto total = std::accumulate(
    shares.begin(), shares.end(), 0.0, [](double sum, const auto& share) {
      return sum + share.weight;
    });
  auto point =
    total * static_cast<double>(random(kDraw)) / static_cast<double>(kDraw);
  for (std::size_t i = 0; i < shares.size(); ++i) {
    point -= shares[i].weight;
    if (point < 0) {
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
newTargets(const Member& member, const std::set<std::string>& covered)
{
  return static_cast<std::size_t>(
    std::count_if(member.load.begin(), member.load.end(), [&](const auto& of) {
      return of.second.servers > 0 && !covered.contains(of.first);
    }));
}

bool
serves(const Member& member, std::string_view target)
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
  std::map<ProcessId, Known> known;
  for (const auto& member : entries) {
    if (member.state != MemberState::Alive || !member.http) {
      continue;
    }
    Known current{ member, std::nullopt };
    const auto before = mKnown.find(member.id);
    if (before != mKnown.end()) {
      current.since = before->second.since;
    } else if (!mIsFirst) {
      current.since = now;
    }
    known.emplace(member.id, std::move(current));
  }
  // Without any instance there is nothing yet that could count as old.
  mIsFirst = mIsFirst && known.empty();
  mKnown = std::move(known);
}

double
AddressSelector::weightOf(const Known& known,
                      double meanInFlight,
                      std::string_view callerDomain,
                      TimePoint now) const
{
  const auto load = static_cast<double>(known.member.inFlight);
  auto weight = (1 + meanInFlight) / (1 + load);
  if (known.since) {
    const auto age = std::chrono::duration<double>(now - *known.since);
    const auto part = age / std::chrono::duration<double>(mOptions.slowStart);
    weight *= std::clamp(part, mOptions.initialShare, 1.0);
  }
  if (!callerDomain.empty() && known.member.failureDomain != callerDomain) {
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
    mKnown.begin(), mKnown.end(), 0.0, [](double sum, const auto& each) {
      return sum + static_cast<double>(each.second.member.inFlight);
    });
  const auto mean =
    mKnown.empty() ? 0 : total / static_cast<double>(mKnown.size());
  std::vector<AddressShare> candidates;
  for (const auto& [id, known] : mKnown) {
    candidates.push_back({ id,
                           *known.member.http,
                           known.member.link,
                           known.member.failureDomain,
                           weightOf(known, mean, callerDomain, now) });
  }
  std::vector<AddressShare> chosen;
  while (!candidates.empty() && chosen.size() < mOptions.maxAddresses) {
    // The last place is kept for a second failure domain.
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
  const auto sum = std::accumulate(
    chosen.begin(), chosen.end(), 0.0, [](double part, const auto& share) {
      return part + share.weight;
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
                  std::size_t most)
{
  std::vector<const Member*> left;
  for (const auto& member : dispatchers) {
    if (member.state == MemberState::Alive) {
      left.push_back(&member);
    }
  }
  std::set<std::string> covered;
  std::vector<ProcessId> chosen;
  while (!left.empty() && chosen.size() < most) {
    // Half of the places go to the wanted target before the others count.
    const bool wantsTarget = !target.empty() && chosen.size() < (most + 1) / 2;
    const auto best = std::max_element(
      left.begin(), left.end(), [&](const Member* a, const Member* b) {
        const auto rank = [&](const Member* member) {
          return std::tuple(wantsTarget && serves(*member, target),
                            newTargets(*member, covered),
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
    left.erase(best);
  }
  return chosen;
}

} // namespace lentilrack::core
