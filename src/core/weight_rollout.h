#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::core {

/// An engine owned by this dispatcher, as an input for weight updates.
struct RolloutServer
{
  std::string id;
  /// Models that the engine can run.
  std::vector<std::string> models;
  /// Last reported weight version by model; models without a report are absent.
  std::map<std::string, std::int64_t> versions;
  std::int64_t running = 0;
  std::int64_t slots = 1;
};

/// An instruction for a server to load a weight version.
struct WeightSwap
{
  std::string server;
  std::string model;
  std::int64_t version = 0;
};

/// State of the servers of one model, from which the policy computes the size
/// of a wave, that is, how many of these servers may load at the same time.
struct WaveStatus
{
  /// Owned servers that run the model.
  std::int64_t servers = 0;
  /// How many of these are loading weights now.
  std::int64_t loading = 0;
  std::int64_t slots = 0;
  std::int64_t running = 0;
};

struct WeightRolloutPolicy
{
  /// Returns how many servers of one model may load at the same time.
  std::function<std::int64_t(const WaveStatus&)> waveSize;
  /// Returns the wait after `failures` consecutive failed loads; `random` is in
  /// [0, 1).
  std::function<Millis(std::int64_t failures, double random)> backoff;
};

/// Returns the number of servers times the idle fraction of their slots, but at
/// least an eighth of the servers.
std::int64_t
idleShareWaveSize(const WaveStatus& status);
/// Returns the number of servers, so that all may load at the same time. Used
/// by the baseline policy.
std::int64_t
fullWaveSize(const WaveStatus& status);

/// Returns an exponential backoff from 200 ms to 30 s, of which half is random.
Millis
loadBackoff(std::int64_t failures, double random);

WeightRolloutPolicy
defaultWeightRolloutPolicy();
WeightRolloutPolicy
baselineWeightRolloutPolicy();

/// Decides when each owned engine loads the newest announced weight version, so
/// that the engines are updated in waves. A target version is never lowered. A
/// server whose load has failed keeps its old version and is retried after a
/// backoff of its own.
class WeightRollout
{
public:
  explicit WeightRollout(WeightRolloutPolicy policy);
  WeightRollout()
    : WeightRollout(defaultWeightRolloutPolicy())
  {
  }

  /// Announces a version of a model. Returns true if it became the model's new
  /// target.
  bool announce(const std::string& model, std::int64_t version);
  /// Returns the version to load for a model; nothing before the first
  /// announcement.
  std::optional<std::int64_t> target(const std::string& model) const;

  /// Replaces the set of owned servers. A reported version below the last
  /// loaded one is ignored for some time after that load, since reports arrive
  /// late. After that time it means that the engine was restarted.
  void setServers(const std::vector<RolloutServer>& servers, TimePoint now);

  /// Returns the loads to be started now. They count as in progress until
  /// finished() is called for them.
  std::vector<WeightSwap> next(TimePoint now);
  /// Records the end of a load. `random` in [0, 1) is used for the backoff.
  void finished(const WeightSwap& swap,
                bool succeeded,
                TimePoint now,
                double random);

  /// Returns the version of a model at a server; nothing if it is unknown.
  std::optional<std::int64_t> version(const std::string& server,
                                      const std::string& model) const;
  /// Returns the earliest time at which a failed load may be retried; nothing
  /// if no retry is pending.
  std::optional<TimePoint> nextRetry() const;
  /// Returns the number of servers that are loading.
  std::int64_t countLoading() const;
  /// Returns the number of (server, model) pairs below the target version.
  std::int64_t countBehind() const;

private:
  struct ModelState
  {
    /// Weight version at the server; unset if unknown.
    std::optional<std::int64_t> version;
    /// Number of consecutive failed loads.
    std::int64_t failures = 0;
    /// No load is started before this time, because the last one failed.
    TimePoint notBefore;
    /// When a load of `version` was completed.
    std::optional<TimePoint> confirmedAt;
  };

  struct ServerState
  {
    std::map<std::string, ModelState> models;
    std::int64_t running = 0;
    std::int64_t slots = 1;
    /// Model whose weights are being loaded; empty if there is no load.
    std::string loading;
    /// Whether the server is still owned. A server that is lost during a load
    /// is kept until the load ends.
    bool owned = true;
  };

  static void applyReport(ModelState& state,
                          std::optional<std::int64_t> reported,
                          TimePoint now);
  bool isBehind(const std::string& model, const ModelState& state) const;
  WaveStatus waveStatus(const std::string& model) const;
  std::vector<std::string> candidates(const std::string& model,
                                      TimePoint now) const;

  WeightRolloutPolicy mPolicy;
  /// The version to load for each model.
  std::map<std::string, std::int64_t> mTargets;
  /// Servers by id.
  std::map<std::string, ServerState> mServers;
};

} // namespace lentilrack::core
