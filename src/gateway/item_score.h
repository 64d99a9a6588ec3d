#pragma once

#include "core/rollout_batch.h"
#include "gateway/forwarder.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lentilrack::gateway {

/// A call that scores the text of an item (a reward call).
struct ScoreRequest
{
  /// Ids of the batch and the item, for the log.
  std::string batch;
  std::string item;
  core::RewardCall reward;
  std::shared_ptr<net::CancelSignal> cancel;
  /// Counts a failure that the server has reported. Returns the number of
  /// failures of this reward call so far.
  std::function<int()> countFailure;
};

/// How the scoring of an item ended.
enum class ScoreOutcome
{
  Scored,
  /// Servers have reported a failure as often as the route of the reward call
  /// allows.
  Failed,
  Cancelled,
};

/// Result of scoring an item.
struct ItemScore
{
  ScoreOutcome scoreOutcome = ScoreOutcome::Cancelled;
  /// Stamp of the server that scored the item, which serves as the score; empty
  /// unless the item was scored.
  std::string score;
};

/// Repeats the reward call until it yields a score, has failed too often, or is
/// cancelled.
net::Awaitable<ItemScore>
scoreItem(Context& context, Forwarder& forwarder, ScoreRequest request);

} // namespace lentilrack::gateway
