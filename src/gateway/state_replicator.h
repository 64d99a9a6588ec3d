#pragma once

#include "core/reader_choice.h"
#include "gateway/peer_client.h"
#include "gateway/wait_list.h"

#include <string>

namespace lentilrack::gateway {

/// Keeps the local mirrors of the store's keys current. To limit the load on
/// the store, only a few processes (the readers) read it; the others fetch the
/// changes from a reader. A process that finds no working reader reads the
/// store itself, and one that the store rejects fetches from a reader.
class StateReplicator
{
public:
  StateReplicator(Context& context, ClusterView& cluster, PeerClient& peers);

  /// Starts to read the store or to follow a reader.
  void start();
  /// Returns the changes that the requesting process does not have yet. Waits a
  /// short time for a change if there is none. The status is 503 if this
  /// process does not read the store itself or its copies are too old.
  net::Awaitable<net::HttpResponse> serveFollower(net::HttpRequest request);

private:
  /// The mirror of one prefix of the store, and when it was last confirmed to
  /// be current.
  struct Replica
  {
    core::KeyMirror& mirror;
    std::string prefix;
    /// Maximum duration of one watch call.
    core::Millis watchTimeout;
    core::TimePoint confirmedAt{};
    /// Last sequence number received from the followed reader.
    std::uint64_t followedSequence = 0;
  };

  net::Awaitable<void> followReaders();
  net::Awaitable<bool> fetchFromReader(std::string reader);
  bool applyReaderResponse(const std::string& reader, const std::string& body);
  net::Awaitable<void> watchStore(Replica& replica);
  net::Awaitable<void> pollStore(Replica& replica);
  void markConfirmed(Replica& replica, core::Millis age);
  void recordStoreReachability(bool isReachable);
  /// Returns the time since the confirmation of the mirror that was confirmed
  /// least recently.
  core::Millis copyAge() const;

  Context& mContext;
  ClusterView& mCluster;
  PeerClient& mPeers;
  core::ReaderChoice mReaderChoice;
  Replica mOperator;
  Replica mServers;
  Replica mClusterKeys;
  WaitList mChanged;
  /// The reader that was followed last, and its incarnation.
  std::string mFollowedReader;
  std::string mFollowedIncarnation;
  bool mReadsStoreDirectly = true;
  bool mIsStoreReachable = true;
};

} // namespace lentilrack::gateway
