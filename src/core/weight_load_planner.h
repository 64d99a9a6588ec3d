#pragma once

#include "core/model_demand.h"
#include "core/server_registry.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::core {

/// An order to one server to load a version of a model.
struct LoadOrder
{
  ServerEntry server;
  std::string model;
  std::int64_t version = 0;
};

/// Which servers load which weights next, and when. Each server serves one
/// model of its service, so that each new version costs one load a server;
/// models get servers in proportion to the work that is asked of them. Only a
/// few servers load at a time, since more of them slow each other down and the
/// others have to go on working.
class WeightLoadPlanner
{
public:
  struct Limits
  {
    /// Loads at once, as a part of the servers of a service.
    double maxLoadingShare = 0.2;
    std::size_t minConcurrentLoads = 2;
    /// A load that is not seen to end counts as failed after this time.
    Millis loadTimeout{ 6'000 };
    /// A server tells the end of a load at least this late.
    Millis reportDelay{ 100 };
    /// Pause before the next order to a server that refused one.
    Millis retryDelay{ 400 };
  };

  WeightLoadPlanner()
    : WeightLoadPlanner(Limits{})
  {
  }
  explicit WeightLoadPlanner(Limits limits)
    : mLimits(limits)
  {
  }

  /// The newest version of each model that was named. A target never goes
  /// back.
  void setTarget(const std::string& model, std::int64_t version);
  /// Work a second that is asked of each model.
  void setDemand(std::map<std::string, double> demand)
  {
    mDemand = std::move(demand);
  }
  /// Orders that may be given now. Each must be followed by loadStarted() or
  /// loadRefused().
  std::vector<LoadOrder> plan(
    const std::vector<const RegisteredServer*>& servers,
    const std::map<std::string, std::vector<std::string>>& modelsByService,
    TimePoint now);
  void loadStarted(const LoadOrder& order, TimePoint now);
  void loadRefused(const LoadOrder& order, TimePoint now);
  /// The server was seen to have the weights.
  void loadConfirmed(const std::string& serverId, TimePoint now);
  /// The load is not waited for any more.
  void loadDropped(const std::string& serverId) { mLoads.erase(serverId); }
  /// How long a load takes, by the recent ones.
  std::optional<Millis> expectedLoadTime() const;
  /// Loads that run, with the time of their order.
  struct Load
  {
    LoadOrder order;
    TimePoint orderedAt;
  };
  std::vector<Load> loads() const;

private:
  using Counts = std::map<std::string, std::size_t>;

  void assign(const std::vector<const RegisteredServer*>& servers,
              const std::vector<std::string>& models);
  void rebalance(const std::vector<const RegisteredServer*>& servers,
                 const Counts& wanted,
                 Counts counts);
  /// The model that the server was used for so far; empty if that is open.
  std::string currentModel(const RegisteredServer& server,
                           const std::vector<std::string>& models) const;
  std::int64_t versionsBehind(const RegisteredServer& server,
                              const std::string& model) const;

  Limits mLimits;
  std::map<std::string, std::int64_t> mTargets;
  std::map<std::string, double> mDemand;
  /// Model of each server, by id.
  std::map<std::string, std::string> mAssigned;
  std::map<std::string, Load> mLoads;
  /// From the order to the confirmation.
  std::deque<Millis> mRecentLoads;
  std::map<std::string, TimePoint> mRetryAt;
};

} // namespace lentilrack::core
