#pragma once

#include "core/server_registry.h"

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
/// model of its service, so that each new version costs one load a server, and
/// only a few servers load at a time, since more of them slow each other down
/// and the others have to go on working.
class WeightWave
{
public:
  struct Limits
  {
    /// Loads at once, as a part of the servers of a service.
    double shareAtOnce = 0.2;
    std::size_t fewest = 2;
    /// A load that is not seen to end counts as failed after this time.
    Millis longestLoad{ 6'000 };
    /// Pause before the next order to a server that refused one.
    Millis retryPause{ 400 };
  };

  WeightWave()
    : WeightWave(Limits{})
  {
  }
  explicit WeightWave(Limits limits)
    : mLimits(limits)
  {
  }

  /// The newest version of each model that was named. A target never goes
  /// back.
  void setTarget(const std::string& model, std::int64_t version);
  /// Orders that may be given now. Each must be followed by begun() or
  /// refused().
  std::vector<LoadOrder> plan(
    const std::vector<const RegisteredServer*>& servers,
    const std::map<std::string, std::vector<std::string>>& modelsOfService,
    TimePoint now);
  void begun(const LoadOrder& order, TimePoint now);
  void refused(const LoadOrder& order, TimePoint now);
  void finished(const std::string& serverId);
  /// Loads that run, with the time of their order.
  struct Load
  {
    LoadOrder order;
    TimePoint since;
  };
  std::vector<Load> loads() const;

private:
  void assign(const std::vector<const RegisteredServer*>& servers,
              const std::vector<std::string>& models);

  Limits mLimits;
  std::map<std::string, std::int64_t> mTargets;
  /// Model of each server, by id.
  std::map<std::string, std::string> mAssigned;
  std::map<std::string, Load> mLoads;
  std::map<std::string, TimePoint> mRetryAt;
};

} // namespace lentilrack::core
