#pragma once

#include "core/reader_choice.h"
#include "gateway/peer_client.h"
#include "gateway/wait_list.h"

#include <string>

namespace lentilrack::gateway {

/// Feeds the mirrors: a few processes read the store, the others learn from
/// them over the links between processes. A process that knows no reader that
/// works reads the store itself; one that the store turns away is fed by the
/// others.
class StateReplicator
{
public:
  StateReplicator(Context& context, ClusterView& cluster, PeerClient& peers);

  void start();
  /// Answers another process with what is new to it.
  net::Awaitable<net::HttpResponse> serveFollower(net::HttpRequest request);

private:
  /// One prefix of the store and how far its mirror is known to be current.
  struct Replica
  {
    core::KeyMirror& mirror;
    std::string prefix;
    /// Longest wait of one watch.
    core::Millis watchWait;
    core::TimePoint confirmedAt{};
    /// Place in the sequence of the process that feeds this one.
    std::uint64_t followedSequence = 0;
  };

  net::Awaitable<void> followReaders();
  net::Awaitable<bool> fetchFromReader(std::string reader);
  bool applyReaderResponse(const std::string& reader, const std::string& body);
  net::Awaitable<void> watchStore(Replica& replica);
  net::Awaitable<void> pollStore(Replica& replica);
  void markConfirmed(Replica& replica, core::Millis age);
  void recordStoreReachability(bool isReachable);
  /// Time since the last confirmation of the oldest copy.
  core::Millis age() const;

  Context& mContext;
  ClusterView& mCluster;
  PeerClient& mPeers;
  core::ReaderChoice mReaderChoice;
  Replica mOperator;
  Replica mServers;
  Replica mClusterKeys;
  WaitList mChanged;
  /// The process that was followed last, and its lifetime.
  std::string mFollowedReader;
  std::string mFollowedIncarnation;
  bool mReadsStoreDirectly = true;
  bool mIsStoreReachable = true;
};

} // namespace lentilrack::gateway
