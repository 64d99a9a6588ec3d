#pragma once

#include "core/handover_delay.h"

#include <cstdint>

namespace lentilrack::core {

/// The term of the process that holds the leader key: its fencing token, and
/// from when on it may send what only the leader sends. A new leader waits,
/// because the former one may not have noticed yet that it lost its lease.
class LeaderTerm
{
public:
  /// A leader sends only within this time after the last renewal of its lease.
  /// The time is short because a new leader has to wait until it has passed. It
  /// is longer than 0.9 s because the lease is renewed every 0.6 s, and a
  /// renewal takes up to 0.3 s on a slow store.
  static constexpr Millis kSendWindow{ 1'200 };

  /// Allowance for calls that are in transit when a term begins.
  static constexpr Millis kTransitTime{ 300 };

  /// `handoverTime` is the minimum time between the orders of two leaders to
  /// one server, and the time within which leaders must not act in the order A,
  /// B, A at the provider.
  explicit LeaderTerm(Millis handoverTime);

  /// Begins a term, or continues the present one with a new token. The term is
  /// settled if the calls of the leaders before it are known to be long enough
  /// ago.
  void begin(std::int64_t fencingToken, bool isSettled, TimePoint now);
  void end() { mFencingToken = 0; }

  /// Returns the fencing token; 0 if there is no term.
  std::int64_t fencingToken() const { return mFencingToken; }
  /// Returns the delay of weight orders, which is decided for each server.
  HandoverDelay& weightOrderDelay() { return mWeightOrderDelay; }
  const HandoverDelay& weightOrderDelay() const { return mWeightOrderDelay; }
  /// Returns true if calls to the provider no longer have to wait for the
  /// former leader.
  bool mayCallProvider(TimePoint now) const
  {
    return mFencingToken != 0 && now >= mProviderCallsAfter &&
           mProviderDelay.isHandoverOver(now);
  }

private:
  std::int64_t mFencingToken = 0;
  HandoverDelay mWeightOrderDelay;
  /// The former leader A calls the provider up to `kSendWindow` after the claim
  /// of its successor B, even if the store revokes its lease. If A claims again
  /// while B is in the last send window of its own term, A waits as well. With
  /// a delay d, the calls A, B, A thus span at least 2 (d - kSendWindow), less
  /// the time in transit. That is `handoverTime` if d is half of it plus the
  /// send window and the allowance for calls in transit.
  HandoverDelay mProviderDelay;
  /// A process that continues the settled term of an earlier process of its
  /// instance waits only until the calls of that process have arrived.
  TimePoint mProviderCallsAfter{};
};

} // namespace lentilrack::core
