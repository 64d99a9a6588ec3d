#pragma once

#include "gateway/context.h"

#include <functional>

namespace lentilrack::gateway {

/// Keeps the desired state, the named versions and the list of servers in step
/// with the store. What was in force in this process never goes back.
class StateSync
{
public:
  explicit StateSync(Context& context);

  void start();
  /// Called after a change of the desired state or of a named version.
  void onChange(std::function<void()> hook) { mOnChange = std::move(hook); }
  /// Storage machines that the operator wants emptied, with the revision of
  /// the request.
  const std::map<std::string, std::int64_t>& retirements() const
  {
    return mRetirements;
  }

  /// The operator's keys and the servers' entries as last seen, for peers that
  /// the store turns away.
  std::vector<StoreItem> operatorItems() const;
  const StoreListing& serverListing() const { return mServerListing; }
  core::TimePoint serversReadAt() const { return mServersReadAt; }
  bool isOperatorStateKnown() const { return mIsKnown; }

  /// Takes what a peer has seen, as far as it is newer.
  void takeOperatorItem(const StoreItem& item);
  void takeServers(const StoreListing& listing);

private:
  net::Awaitable<void> followOperator();
  net::Awaitable<void> followServers();
  void takeDesiredState(const StoreItem& item);
  void decodeServers(const StoreListing& listing);
  void noteStore(bool isReachable);

  Context& mContext;
  std::function<void()> mOnChange;
  std::map<std::string, StoreItem> mOperatorItems;
  std::map<std::string, std::int64_t> mRetirements;
  StoreListing mServerListing;
  core::TimePoint mServersReadAt{};
  /// Entries that were reported as malformed, by key and revision.
  std::map<std::string, std::int64_t> mMalformed;
  std::int64_t mOperatorRevision = 0;
  bool mIsKnown = false;
  bool mIsStoreReachable = true;
};

} // namespace lentilrack::gateway
