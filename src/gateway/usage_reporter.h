#pragma once

#include "core/duties/usage_counter.h"
#include "core/duties/usage_ledger.h"
#include "core/duties/wall_clock.h"
#include "gateway/leadership.h"
#include "gateway/peer_client.h"
#include "gateway/usage_messages.h"

#include <map>
#include <string>
#include <vector>

namespace lentilrack::gateway {

/// Counts the requests of each organisation that run at backend servers, and
/// sends the counts to the leader and to a second process. The leader reports
/// the totals of each window to the provider. Does nothing unless the provider
/// wants usage reports.
class UsageReporter
{
public:
  UsageReporter(Context& context,
                ClusterView& cluster,
                PeerClient& peers,
                Leadership& leadership);

  /// Starts to count, and to send counts and reports.
  void start();
  /// Takes the counts that another process sends.
  net::HttpResponse applyCounts(const net::HttpRequest& request);

private:
  /// What a process that gets counts from this one is known to have.
  struct Recipient
  {
    /// Incarnation of the process; empty if not known.
    std::string incarnation;
    /// Value of UsageCounter::sequence() up to which it has the counts of this
    /// process.
    std::uint64_t received = 0;
    core::TimePoint sentAt{};
    bool isCallPending = false;
    /// True if the last call has failed.
    bool isUnreachable = false;
    /// False for a former recipient whose call is still pending.
    bool isWanted = true;
  };

  /// Returns the Unix time.
  core::Millis now() const;
  /// Counts a request that began to run at the given time.
  void recordRun(const std::string& organisation, core::TimePoint beganAt);

  net::Awaitable<void> sendCounts();
  /// Updates `mRecipients` if the leader or the present processes have changed.
  void updateRecipients();
  /// Returns true if the last call to the leader has failed.
  bool isLeaderUnreachable() const;
  /// Returns the leader, and the process that will become the leader after it.
  std::vector<std::string> recipients() const;
  /// Returns the counts of this process that the recipient may not have yet,
  /// and all others that this process has collected if `withCollected`.
  std::vector<UsageUpdate> updatesFor(const Recipient& recipient,
                                      bool withCollected) const;
  net::Awaitable<void> sendCountsTo(std::string instance, bool withCollected);

  net::Awaitable<void> reportWindows();
  /// Makes the next call to the store or the provider, if one is due.
  net::Awaitable<void> reportNext();
  /// Returns the shortest time between two calls to the provider.
  core::Millis minCallInterval() const;
  net::Awaitable<void> readStored();
  net::Awaitable<void> store(core::StoredUsage record);
  net::Awaitable<void> send(std::int64_t window, core::UsageCounts counts);

  Context& mContext;
  ClusterView& mCluster;
  PeerClient& mPeers;
  Leadership& mLeadership;
  core::UsageWindows mWindows;
  core::WallClock mClock;
  core::UsageCounter mCounter;
  core::UsageLedger mLedger;
  /// Identifies the counts of this process.
  std::string mSource;
  /// Unix time at which the process started.
  core::Millis mStartedAt;
  /// Processes that have been sent counts, by instance.
  std::map<std::string, Recipient> mRecipients;
  /// Version of the peers, and instance and incarnation of the leader, for
  /// which `mRecipients` was determined.
  std::uint64_t mRecipientsVersion = 0;
  std::string mRecipientsLeader;
  /// Incarnation of the leader that was sent the counts that this process has
  /// collected from others.
  std::string mInformedLeader;
  /// Fencing token with which the duty was begun; 0 without the duty.
  std::int64_t mDutyToken = 0;
  /// When this process began to hold the duty.
  core::TimePoint mDutySince{};
  /// Revision of the record of the reports; 0 if there is none.
  std::int64_t mStoredRevision = 0;
  /// When the provider may be called next.
  core::TimePoint mCallAfter{};
  /// When the store is next called after a failure.
  core::TimePoint mStoreRetryAt{};
};

} // namespace lentilrack::gateway
