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

/// Decides which servers load which weights next, and when. Each server serves
/// one model of its service, so that a new version costs one load per server.
/// Models get servers in proportion to the demand for them. Only a few servers
/// load at a time, because concurrent loads slow each other down and the other
/// servers must keep working.
class WeightLoadPlanner
{
public:
  struct Limits
  {
    /// Maximum number of concurrent loads, as a fraction of the servers of a
    /// service.
    double maxLoadingShare = 0.2;
    /// Concurrent loads that are allowed even if the shares allow fewer.
    std::size_t minConcurrentLoads = 2;
    /// Maximum number of concurrent loads, as a fraction of the servers of a
    /// model. The model's work goes on at the others.
    double maxLoadingShareOfModel = 0.5;
    /// A load whose end was not observed counts as failed after this time.
    Millis loadTimeout{ 6'000 };
    /// Shortest delay between the end of a load and the server's report of it.
    /// It is subtracted from the observed load times.
    Millis reportDelay{ 100 };
    /// Wait before the next order to a server that refused one.
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

  /// Sets the version to load for a model. Versions lower than the present
  /// target are ignored.
  void setTarget(const std::string& model, std::int64_t version);
  /// Sets the demand for each model, in expected tokens per second.
  void setDemand(std::map<std::string, double> demand)
  {
    mDemandByModel = std::move(demand);
  }
  /// Returns how many of the servers are assigned to each model.
  std::map<std::string, std::size_t> serversByModel(
    const std::vector<const RegisteredServer*>& servers) const;
  /// Returns the orders that may be given now. The caller must report each
  /// order that it gives by calling loadStarted(), and each that it cannot give
  /// by calling loadRefused(). An order that is not reported is returned again
  /// by the next call.
  std::vector<LoadOrder> plan(
    const std::vector<const RegisteredServer*>& servers,
    const std::map<std::string, std::vector<std::string>>& modelsByService,
    TimePoint now);
  /// Records that the order was given, so that the server counts as loading.
  void loadStarted(const LoadOrder& order, TimePoint now);
  /// Records that the server did not accept the order, or that the order could
  /// not be given. The server gets no order for Limits::retryDelay.
  void loadRefused(const LoadOrder& order, TimePoint now);
  /// Records that the server has reported the new weights, which ends the load.
  void loadConfirmed(const std::string& serverId, TimePoint now);
  /// Removes the server's load in progress, without counting its duration.
  void loadDropped(const std::string& serverId)
  {
    mLoadByServer.erase(serverId);
  }
  /// Estimates the duration of a load from the shortest of the recent ones.
  /// Returns nothing before the first confirmed load.
  std::optional<Millis> expectedLoadTime() const;
  /// A load in progress.
  struct Load
  {
    LoadOrder order;
    TimePoint orderedAt;
  };
  /// Returns the loads in progress.
  std::vector<Load> loads() const;

private:
  using Counts = std::map<std::string, std::size_t>;

  /// Assigns a model of the service to every server.
  void assign(const std::vector<const RegisteredServer*>& servers,
              const std::vector<std::string>& models);
  /// Moves servers between models until each has its wanted number. Does
  /// nothing unless some model is far below that number. `counts` holds the
  /// present numbers of servers by model.
  void rebalance(const std::vector<const RegisteredServer*>& servers,
                 const Counts& wanted,
                 Counts counts);
  /// Returns how many servers of each model may start to load now, given the
  /// servers of one service.
  Counts allowedLoadsByModel(
    const std::vector<const RegisteredServer*>& servers) const;
  /// Whether a load of the server is in progress and not yet expected to have
  /// ended.
  bool isLoading(const std::string& serverId, TimePoint now) const;
  /// Returns the model that the server has served so far, judging by the
  /// versions it has loaded; empty if these versions do not determine the
  /// model.
  std::string currentModel(const RegisteredServer& server,
                           const std::vector<std::string>& models) const;
  /// Returns by how many versions the server is behind the model's target; 0 if
  /// the model has no target.
  std::int64_t versionsBehind(const RegisteredServer& server,
                              const std::string& model) const;

  Limits mLimits;
  /// The version to load for each model.
  std::map<std::string, std::int64_t> mTargetByModel;
  /// Expected tokens per second of each model.
  std::map<std::string, double> mDemandByModel;
  /// The model assigned to each server, by server id.
  std::map<std::string, std::string> mModelByServer;
  /// Loads in progress, by server id.
  std::map<std::string, Load> mLoadByServer;
  /// Times from order to confirmation of the most recent loads.
  std::deque<Millis> mRecentLoads;
  /// Earliest time of the next order after a refusal, by server id.
  std::map<std::string, TimePoint> mRetryTimeByServer;
};

} // namespace lentilrack::core
