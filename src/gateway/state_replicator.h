#pragma once

#include "core/replication_timing.h"
#include "core/replication_tree.h"
#include "gateway/peer_client.h"
#include "gateway/wait_list.h"

#include <string>

namespace lentilrack::gateway {

/// Keeps the mirrors (local copies of the keys of the store) current. To limit
/// the load on the store, only a few processes (the readers) read the store;
/// the others fetch the changes from a process above them in the replication
/// tree. Of the readers only the first one reads the store; the others follow
/// it and stand by to read the store as soon as it does not confirm their
/// mirrors in time. A process that has just started first asks the seeds,
/// and then lists the members and asks one of them. A process that finds no
/// working source, or whose state is too old, reads the store itself, and a
/// reader that the store rejects fetches the changes from another process.
class StateReplicator
{
public:
  StateReplicator(Context& context, ClusterView& cluster, PeerClient& peers);

  /// Starts to read the store or to follow another process.
  void start();
  /// Returns the changes of the mirrors that the requesting process does not
  /// have yet. Waits a short time for a change if there is none. The status is
  /// 503 if the store has not confirmed the mirrors recently, directly or
  /// through the source of this process.
  net::Awaitable<net::HttpResponse> serveFollower(net::HttpRequest request);

private:
  /// The mirror of all keys with one prefix, and how current the mirror is.
  struct Replica
  {
    core::KeyMirror& mirror;
    std::string prefix;
    /// Maximum duration of one watch call.
    core::Millis watchTimeout;
    /// When the store last confirmed, directly or through a reader, that the
    /// mirror is current.
    core::TimePoint confirmedAt{};
    /// Sequence number of the last change received from the followed process.
    /// The next request asks for the changes after it.
    std::uint64_t followedSequence = 0;
  };

  /// Whether all mirrors have been read at least once.
  bool isComplete() const;
  /// Whether this process may still wait for the state of a seed instead of
  /// reading the store. False for the seeds themselves.
  bool mayAskSeeds() const;
  /// Tells the replication tree which processes are present, if that has
  /// changed.
  void updateTree();
  net::Awaitable<void> followSource();
  /// Reads the mirrors for the first time, or a part of them.
  net::Awaitable<void> completeMirrors();
  /// Fetches the changes from the process once. Records the failure if that is
  /// not possible.
  net::Awaitable<bool> follow(std::string source);
  net::Awaitable<void> fetchFromSeed();
  /// Requests the changes from the process and applies them. Returns false if
  /// it does not respond or its mirrors were not confirmed recently.
  net::Awaitable<bool> fetchFrom(core::Endpoint source);
  /// Applies the changes in a response that arrived `elapsed` after its
  /// request. Returns false if the response is malformed or the mirrors of the
  /// source were not confirmed recently.
  bool applySourceResponse(const std::string& source,
                           const std::string& body,
                           core::Millis elapsed);
  /// Whether this process reads the keys of the mirror from the store now.
  bool mayRead(const Replica& replica) const;
  /// Keep a mirror current, by watching its prefix or by listing it at
  /// intervals, while this process reads the store itself.
  net::Awaitable<void> watchStore(Replica& replica);
  net::Awaitable<void> pollStore(Replica& replica);
  /// Records that the mirror was current `age` ago.
  void markConfirmed(Replica& replica, core::Millis age);
  void recordStoreReachability(bool isReachable);
  /// Returns when the least recently confirmed mirror was confirmed. A watch of
  /// the cluster keys may last longer than the others. The difference is added
  /// to the time of the mirror of these keys, so that an idle watch does not
  /// make it look outdated.
  core::TimePoint confirmedAt() const;
  /// Returns the time since confirmedAt().
  core::Millis mirrorAge() const;

  Context& mContext;
  ClusterView& mCluster;
  PeerClient& mPeers;
  core::ReplicationTiming mTiming;
  core::ReplicationTree mTree;
  /// Version of the peers with which the tree was built.
  std::uint64_t mTreeVersion = 0;
  /// Keys that the operator writes.
  Replica mOperatorKeys;
  /// Entries of the backend servers.
  Replica mServers;
  /// Keys that the processes themselves write.
  Replica mClusterKeys;
  /// Requests of followers that wait for a change; woken whenever a mirror is
  /// confirmed.
  WaitList mWaitingFollowers;
  core::TimePoint mStartedAt{};
  /// Index of the seed to ask next, counted without wrapping around.
  std::size_t mNextSeed = 0;
  /// The process that was followed last, and its incarnation, an id that
  /// changes when the process restarts. Sequence numbers are valid only within
  /// one incarnation.
  std::optional<core::Endpoint> mFollowedEndpoint;
  std::string mFollowedIncarnation;
  bool mReadsStoreDirectly = false;
  /// Whether this process is a reader that follows another reader.
  bool mStandsBy = false;
  /// Whether a process without complete mirrors may list the members.
  bool mReadsMembers = false;
  /// Number of processes that could not supply the first state.
  int mFailedFirstSources = 0;
  bool mIsStoreReachable = true;
};

} // namespace lentilrack::gateway
