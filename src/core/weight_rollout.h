#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::core {

/// An owned engine as seen by weight updates.
struct RolloutServer
{
  std::string id;
  /// Models that it can run.
  std::vector<std::string> models;
  /// Version by model, as last reported; a model may be missing.
  std::map<std::string, std::int64_t> versions;
  std::int64_t running = 0;
  std::int64_t slots = 1;
};

/// One server is to load one version.
struct WeightSwap
{
  std::string server;
  std::string model;
  std::int64_t version = 0;
};

/// What the rule for the size of a wave sees.
struct WaveStatus
{
  /// Owned servers that run the model.
  std::int64_t servers = 0;
  /// Those that are loading now.
  std::int64_t loading = 0;
  std::int64_t slots = 0;
  std::int64_t running = 0;
};

struct WeightRolloutPolicy
{
  /// Number of servers of one model that may load at the same time.
  std::function<std::int64_t(const WaveStatus&)> waveSize;
  /// Wait after `failures` failed loads in a row; `random` is in [0, 1).
  std::function<Millis(std::int64_t failures, double random)> backoff;
};

/// The idle share of the servers, at least an eighth of them.
std::int64_t
idleShareWaveSize(const WaveStatus& view);
/// Baseline: all servers at once.
std::int64_t
fullWaveSize(const WaveStatus& view);

/// 200 ms doubling up to 30 s, half of it random.
Millis
loadBackoff(std::int64_t failures, double random);

WeightRolloutPolicy
defaultWeightRolloutPolicy();
WeightRolloutPolicy
baselineWeightRolloutPolicy();

/// Moves owned engines to the newest announced weight versions, in waves. A
/// target never goes back. A server whose load failed goes on with its old
/// version and is tried again after a wait of its own.
class WeightRollout
{
public:
  explicit WeightRollout(WeightRolloutPolicy policy);
  WeightRollout()
    : WeightRollout(defaultWeightRolloutPolicy())
  {
  }

  /// Returns true if the target of the model moved.
  bool announce(const std::string& model, std::int64_t version);
  std::optional<std::int64_t> target(const std::string& model) const;

  /// Replaces the set of owned servers. A reported version below the one that a
  /// load confirmed is believed only some time after that load, since reports
  /// lag; after that it means that the engine has restarted.
  void setServers(const std::vector<RolloutServer>& servers, TimePoint now);

  /// Loads to be started now; they count as in progress until finished().
  std::vector<WeightSwap> next(TimePoint now);
  void finished(const WeightSwap& swap,
                bool succeeded,
                TimePoint now,
                double random);

  /// Version of a model at a server; nothing if it is unknown.
  std::optional<std::int64_t> version(const std::string& server,
                                      const std::string& model) const;
  /// The earliest time at which a failed load may be tried again.
  std::optional<TimePoint> nextRetry() const;
  std::int64_t countLoading() const;
  /// (server, model) pairs that do not have the target version.
  std::int64_t countBehind() const;

private:
  struct ModelState
  {
    std::optional<std::int64_t> version;
    std::int64_t failures = 0;
    TimePoint notBefore;
    /// When a load of `version` was confirmed.
    std::optional<TimePoint> confirmed;
  };

  struct ServerState
  {
    std::map<std::string, ModelState> models;
    std::int64_t running = 0;
    std::int64_t slots = 1;
    /// The model that is being loaded; empty if none is.
    std::string loading;
    /// Still owned; a server that is lost while it loads stays until the load
    /// ends.
    bool owned = true;
  };

  static void takeReport(ModelState& state,
                         std::optional<std::int64_t> reported,
                         TimePoint now);
  bool isBehind(const std::string& model, const ModelState& state) const;
  WaveStatus waveStatus(const std::string& model) const;
  std::vector<std::string> candidates(const std::string& model,
                                      TimePoint now) const;

  WeightRolloutPolicy mPolicy;
  std::map<std::string, std::int64_t> mTargets;
  std::map<std::string, ServerState> mServers;
};

} // namespace lentilrack::core
