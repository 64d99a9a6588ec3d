#pragma once

#include "gateway/context.h"

namespace lentilrack::gateway {

/// Turns the operator's and the servers' keys into the desired state, the
/// named versions and the list of servers. What was in force in this process
/// never goes back.
class StateApplier
{
public:
  /// Takes part in the changes of the mirrors of the context.
  explicit StateApplier(Context& context);

  /// Storage machines that the operator wants emptied, with the revision of
  /// the request.
  const std::map<std::string, std::int64_t>& retirements() const
  {
    return mRetirements;
  }

private:
  void applyOperatorItem(const core::MirroredItem& item);
  void applyDesiredState(const core::MirroredItem& item);
  void applyServer(const core::MirroredItem& item);
  /// Whether the item says the same of its server but for a counter of writes.
  bool isUnchangedServer(const core::MirroredItem& item) const;
  /// Gives the registry the whole list at once, so that it is never behind the
  /// mirror.
  void applyServers();

  Context& mContext;
  std::map<std::string, std::int64_t> mRetirements;
  std::map<std::string, core::ServerEntry> mServers;
};

} // namespace lentilrack::gateway
