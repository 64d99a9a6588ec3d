#pragma once

#include "gateway/cluster_view.h"

#include <map>
#include <string>

namespace lentilrack::gateway {

/// Publishes the request rates that servers state in the coordination store, so
/// that instances learn of a rate before their first request to the server.
/// Each rate is written by the allocator of its permits only, so the number of
/// writes does not depend on the number of instances.
class RatePublisher
{
public:
  RatePublisher(Context& context, ClusterView& cluster);

  void start();

private:
  net::Awaitable<void> publishRepeatedly();
  /// Applies the published rates of servers that were unknown when the rates
  /// were received.
  void applyToNewServers();
  /// Returns the writes and deletes that bring the published rates in line with
  /// what this process knows, for the servers whose allocator it is.
  StoreTransaction prepareChanges(core::TimePoint now);

  Context& mContext;
  ClusterView& mCluster;
  /// When the key of a server may be changed again, by server id.
  std::map<std::string, core::TimePoint> mNextChangeAt;
};

} // namespace lentilrack::gateway
