#pragma once

#include "core/rollout_batch.h"
#include "gateway/forwarder.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lentilrack::gateway {

/// A reward call with the item it belongs to.
struct ScoreRequest
{
  std::string batch;
  std::string item;
  core::RewardCall reward;
  std::shared_ptr<net::CancelSignal> cancel;
  /// Counts a failure reported by the server. Returns the number of failures so
  /// far.
  std::function<int()> countFailure;
};

/// How the scoring of an item ended.
enum class ScoreEnd
{
  Scored,
  /// The call failed as often as its route allows.
  Failed,
  Cancelled,
};

/// Result of scoring an item.
struct ItemScore
{
  ScoreEnd end = ScoreEnd::Cancelled;
  /// Stamp of the server that scored the item.
  std::string score;
};

/// Repeats the reward call until it yields a score, has failed too often, or is
/// cancelled.
net::Awaitable<ItemScore>
scoreItem(Context& context, Forwarder& forwarder, ScoreRequest request);

} // namespace lentilrack::gateway
