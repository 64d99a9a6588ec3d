#pragma once

#include "core/duties/leader_term.h"
#include "gateway/cluster_view.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace lentilrack::gateway {

/// Elects one process as the leader, which has the duties of one process at a
/// time: weight orders, usage reports and orders for servers. A process is the
/// leader while a key in the coordination store names it. The key is bound to
/// the duty lease of the process; the revision of the key is the fencing token.
class Leadership
{
public:
  Leadership(Context& context, ClusterView& cluster);

  /// Starts the election loop.
  void start();

  /// Returns true while this process holds the leader key.
  bool isHeld() const { return fencingToken() != 0; }
  /// Returns the fencing token; 0 if this process does not hold the leader key.
  /// It changes within a term when the store records that the term is settled.
  std::int64_t fencingToken() const { return mTerm.fencingToken(); }
  /// Returns the instance and the fencing token that a call to the provider
  /// must name now.
  DutyHolder dutyHolder() const;

  /// Returns true while this process is the leader, has renewed its lease
  /// recently and is not shutting down. Whether a server may get an order is
  /// decided by weightOrderDelay().
  bool maySendWeightOrders() const;
  /// Returns true while this process is the leader, has renewed its lease
  /// recently, and the calls of the leader before it are long enough ago. A
  /// process that shuts down goes on until its end, because its successor can
  /// only begin after its lease has expired.
  bool mayCallProvider() const;
  /// Return the check to be made right before the first byte of a call (see
  /// net::HttpCall::beforeFirstByte). It fails if the fencing token is no
  /// longer the present one.
  std::function<bool()> weightOrderCheck() const;
  std::function<bool()> providerCallCheck() const;

  /// Returns the delay of orders to each server after a takeover.
  core::HandoverDelay& weightOrderDelay() { return mTerm.weightOrderDelay(); }

private:
  net::Awaitable<void> holdElections();
  net::Awaitable<void> claim();
  /// Returns the holder to write to the leader key.
  Holder makeHolder(bool isSettled) const;
  /// Begins to lead with the leader key that the store holds for this process.
  void beginTerm(const Holder& leader);
  /// Writes the holder to the leader key if the key still has this revision (0:
  /// does not exist). Returns nothing if there is no lease to bind the key to.
  net::Awaitable<std::optional<StoreCommit>> storeHolder(
    Holder holder,
    std::int64_t presentRevision);
  void logCommit(std::string_view event, const StoreCommit& commit) const;
  /// Records in the store that the delay after the takeover is over, so that a
  /// restarted process of this instance need not wait again.
  net::Awaitable<void> recordSettled(const Holder& leader);
  /// Returns true while the leader key names the term of this process and its
  /// lease was renewed recently.
  bool isTermCurrent() const;

  Context& mContext;
  ClusterView& mCluster;
  core::LeaderTerm mTerm;
  /// When the store may next be told that the term is settled.
  core::TimePoint mSettleAfter{};
  /// When this process first saw that there is no leader, or that the leader is
  /// an earlier process of its own instance. Not set (the default value) while
  /// another process leads or while this process cannot claim the leadership.
  core::TimePoint mNoLeaderSince{};
};

} // namespace lentilrack::gateway
