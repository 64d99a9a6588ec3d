#pragma once

#include "core/rollout_batch.h"
#include "gateway/forwarder.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lentilrack::gateway {

/// The call that scores one item, and what it belongs to.
struct ScoreRequest
{
  std::string batch;
  std::string item;
  core::RewardCall reward;
  std::shared_ptr<net::CancelSignal> cancel;
  /// Counts an answered failure; returns how many there were so far.
  std::function<int()> countFailure;
};

enum class ScoreEnd
{
  Scored,
  /// The call failed as often as its route allows.
  Failed,
  Cancelled,
};

struct ItemScore
{
  ScoreEnd end = ScoreEnd::Cancelled;
  /// The mark of the server that scored the item.
  std::string score;
};

/// Calls until there is a score, a final failure, or no more interest in it.
net::Awaitable<ItemScore>
scoreItem(Context& context, Forwarder& forwarder, ScoreRequest request);

} // namespace lentilrack::gateway
