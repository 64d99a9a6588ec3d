#pragma once

#include "core/dispatcher_choice.h"
#include "core/member.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lentilrack::core {

/// How long callers may keep an answer with addresses.
constexpr Millis kAddressTimeToLive{ 30'000 };

struct AddressSelectorOptions
{
  /// A new instance's share grows over this time.
  Millis slowStart{ 30'000 };
  /// Share of an instance at the beginning of its slow start.
  double initialShare = 0.1;
  /// Share of an instance in another failure domain than the caller.
  double remoteShare = 0.25;
  /// Addresses in one answer.
  std::size_t maxAddresses = 4;
};

/// One instance that callers may use, and its share of the requests.
struct AddressShare
{
  ProcessId id;
  Endpoint endpoint;
  /// Link address, for tickets.
  Endpoint link;
  std::string failureDomain;
  /// Relative; the shares of an answer add up to 1.
  double weight = 0;
};

/// Decides which instances callers are sent to.
class AddressSelector
{
public:
  explicit AddressSelector(AddressSelectorOptions options = {});

  /// Takes the present entry members. Instances that this process finds on its
  /// first call count as old, so that a restart of this process does not
  /// reshape the shares of all others.
  void update(const std::vector<Member>& entries, TimePoint now);

  /// Some instances with their shares: more for less loaded ones, less for new
  /// ones, and at least two failure domains if there are two. Leaving, suspect
  /// and dead instances are left out. `callerDomain` may be empty.
  std::vector<AddressShare> choose(std::string_view callerDomain,
                                   const RandomBelow& random,
                                   TimePoint now) const;

private:
  struct Known
  {
    Member member;
    /// Nothing for an instance whose slow start is over or was never seen.
    std::optional<TimePoint> since;
  };

  double weightOf(const Known& known,
                  double meanInFlight,
                  std::string_view callerDomain,
                  TimePoint now) const;

  AddressSelectorOptions mOptions;
  std::map<ProcessId, Known> mKnown;
  bool mIsFirst = true;
};

/// Picks the dispatch set of a ticket: dispatchers that together own servers
/// for as many targets as possible, those for `target` (may be empty) first,
/// then the failure domain's own.
std::vector<ProcessId>
chooseDispatchSet(const std::vector<Member>& dispatchers,
                  std::string_view target,
                  std::string_view failureDomain,
                  std::size_t most);

} // namespace lentilrack::core
