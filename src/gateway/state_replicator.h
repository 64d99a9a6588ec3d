#pragma once

#include "core/reader_choice.h"
#include "gateway/peer_client.h"
#include "gateway/wait_list.h"

#include <string>

namespace lentilrack::gateway {

/// Keeps the mirrors (local copies of the keys of the store) current. To limit
/// the load on the store, only a few processes (the readers) read the store;
/// the others (the followers) fetch the changes from a reader. A process that
/// finds no working reader reads the store itself, and a process that the store
/// rejects fetches the changes from a reader.
class StateReplicator
{
public:
  StateReplicator(Context& context, ClusterView& cluster, PeerClient& peers);

  /// Starts to read the store or to follow a reader.
  void start();
  /// Returns the changes of the mirrors that the requesting process does not
  /// have yet. Waits a short time for a change if there is none. The status is
  /// 503 if this process does not read the store itself or if the store has not
  /// confirmed its mirrors recently.
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
    /// Sequence number of the last change received from the followed reader.
    /// The next request asks for the changes after it.
    std::uint64_t followedSequence = 0;
  };

  net::Awaitable<void> followReaders();
  /// Requests the changes from the reader and applies them. Returns false if
  /// the reader does not respond or its mirrors were not confirmed recently.
  net::Awaitable<bool> fetchFromReader(std::string reader);
  /// Applies the changes in the response of a reader. Returns false if the
  /// response is malformed or the mirrors of the reader were not confirmed
  /// recently.
  bool applyReaderResponse(const std::string& reader, const std::string& body);
  /// Keep a mirror current, by watching its prefix or by listing it at
  /// intervals, while this process reads the store itself.
  net::Awaitable<void> watchStore(Replica& replica);
  net::Awaitable<void> pollStore(Replica& replica);
  /// Records that the mirror was current `age` ago.
  void markConfirmed(Replica& replica, core::Millis age);
  void recordStoreReachability(bool isReachable);
  /// Returns how long ago the least recently confirmed mirror was confirmed. A
  /// watch of the cluster keys may last longer than the others. The difference
  /// is subtracted from the age of the mirror of these keys, so that an idle
  /// watch does not make it look outdated.
  core::Millis mirrorAge() const;

  Context& mContext;
  ClusterView& mCluster;
  PeerClient& mPeers;
  core::ReaderChoice mReaderChoice;
  /// Keys that the operator writes.
  Replica mOperatorKeys;
  /// Entries of the backend servers.
  Replica mServers;
  /// Keys that the processes themselves write.
  Replica mClusterKeys;
  /// Requests of followers that wait for a change; woken whenever a mirror is
  /// confirmed.
  WaitList mWaitingFollowers;
  /// The reader that was followed last, and its incarnation, an id that changes
  /// when the reader restarts. Sequence numbers are valid only within one
  /// incarnation.
  std::string mFollowedReader;
  std::string mFollowedIncarnation;
  bool mReadsStoreDirectly = true;
  bool mIsStoreReachable = true;
};

} // namespace lentilrack::gateway
