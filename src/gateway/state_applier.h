#pragma once

#include "gateway/context.h"

#include <set>

namespace lentilrack::gateway {

/// Decodes the mirrored keys of the operator and of the backend servers, and
/// updates the desired state, the announced versions and the server registry of
/// the context. An older version never replaces the desired state in force.
class StateApplier
{
public:
  /// Subscribes to the changes of the context's mirrors.
  explicit StateApplier(Context& context);

  /// Returns the requests of the operator to empty storage machines: the
  /// revision of each request, by the instance name of the machine.
  const std::map<std::string, std::int64_t>& retirements() const
  {
    return mRetirements;
  }

private:
  void applyOperatorItem(const core::MirroredItem& item);
  void applyDesiredState(const core::MirroredItem& item);
  void applyServer(const core::MirroredItem& item);
  /// Returns true if the item describes its server as the known entry does,
  /// apart from the counter of its writes.
  bool isUnchangedServer(const core::MirroredItem& item) const;
  /// Passes the complete list of servers to the registry, so that the registry
  /// never lags behind the mirror.
  void applyServers();

  Context& mContext;
  std::map<std::string, std::int64_t> mRetirements;
  std::map<std::string, core::ServerEntry> mServers;
  /// Keys of the entries that could not be decoded, so that each is logged
  /// once.
  std::set<std::string> mMalformedServers;
};

} // namespace lentilrack::gateway
