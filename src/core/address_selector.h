#pragma once

#include "core/dispatcher_choice.h"
#include "core/member.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lentilrack::core {

/// How long callers may cache a list of addresses.
constexpr Millis kAddressTimeToLive{ 30'000 };

struct AddressSelectorOptions
{
  /// Time over which the share of a new instance grows to its full size.
  Millis slowStart{ 30'000 };
  /// Share of an instance at the beginning of its slow start, relative to its
  /// full share.
  double initialShare = 0.1;
  /// Factor by which an instance's share is multiplied if the caller is in
  /// another failure domain.
  double remoteShare = 0.25;
  /// Maximum number of addresses in one list.
  std::size_t maxAddresses = 4;
};

/// An instance that callers may use, with its share of their requests.
struct AddressShare
{
  ProcessId id;
  Endpoint endpoint;
  /// Address of the link server, from which tickets are requested.
  Endpoint link;
  std::string failureDomain;
  /// Share of the requests. The shares of a list add up to 1.
  double weight = 0;
};

/// Selects the instances to which a caller sends its requests.
class AddressSelector
{
public:
  explicit AddressSelector(AddressSelectorOptions options = {});

  /// Sets the current members with the entry role. Instances of the first list
  /// that contains an alive one skip the slow start. Otherwise they would all
  /// count as new after a restart of this process, and their shares would
  /// change.
  void update(const std::vector<Member>& entries, TimePoint now);

  /// Returns a random selection of alive instances with their shares. Instances
  /// with fewer requests in flight get larger shares, and new ones smaller
  /// shares. The list covers at least two failure domains if there are two.
  /// `callerDomain` may be empty.
  std::vector<AddressShare> choose(std::string_view callerDomain,
                                   const RandomBelow& random,
                                   TimePoint now) const;

private:
  struct Instance
  {
    Member member;
    /// When the slow start began; unset for an instance that got its full share
    /// at once.
    std::optional<TimePoint> slowStartBegin;
  };

  double weightOf(const Instance& instance,
                  double meanInFlight,
                  std::string_view callerDomain,
                  TimePoint now) const;

  AddressSelectorOptions mOptions;
  std::map<ProcessId, Instance> mInstances;
  /// True until update() is first called with an alive instance.
  bool mIsFirstUpdate = true;
};

/// Chooses the dispatch set of a ticket, that is, the dispatchers that may run
/// its requests: up to `maxSize` alive dispatchers that together own servers
/// for as many targets as possible. Unless `target` is empty, dispatchers that
/// own servers for it are preferred for the first half of the set. Among equal
/// dispatchers, those of `failureDomain` are preferred.
std::vector<ProcessId>
chooseDispatchSet(const std::vector<Member>& dispatchers,
                  std::string_view target,
                  std::string_view failureDomain,
                  std::size_t maxSize);

} // namespace lentilrack::core
