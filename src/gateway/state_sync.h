#pragma once

#include "gateway/context.h"

namespace lentilrack::gateway {

/// Turns the operator's and the servers' keys into the desired state, the
/// named versions and the list of servers. What was in force in this process
/// never goes back.
class StateSync
{
public:
  /// Takes part in the changes of the mirrors of the context.
  explicit StateSync(Context& context);

  /// Storage machines that the operator wants emptied, with the revision of
  /// the request.
  const std::map<std::string, std::int64_t>& retirements() const
  {
    return mRetirements;
  }

private:
  void takeOperatorItem(const core::MirroredItem& item);
  void takeDesiredState(const core::MirroredItem& item);
  void takeServer(const core::MirroredItem& item);
  /// Whether the item says the same of its server but for a counter of writes.
  bool isKnownServer(const core::MirroredItem& item) const;
  /// Gives the registry the whole list at once, so that it is never behind the
  /// mirror.
  void applyServers();

  Context& mContext;
  std::map<std::string, std::int64_t> mRetirements;
  std::map<std::string, core::ServerEntry> mServers;
};

} // namespace lentilrack::gateway
