#pragma once

#include "entry/dispatch_client.h"
#include "entry/sample_scorer.h"
#include "entry/scorer_rates.h"
#include "net/http_router.h"
#include "node/node.h"

#include <functional>
#include <memory>
#include <vector>

namespace lentilrack::entry {

/// Functions that the trainer API uses; replaced in tests.
struct TrainerHooks
{
  /// Chooses a dispatcher and runs one attempt there.
  std::function<net::Awaitable<DispatchResult>(DispatchCall)> run;
  /// Returns the platform's list of backend servers, which names the models and
  /// the scorers.
  std::function<std::vector<core::BackendServer>()> servers;
};

/// HTTP interface for trainers, who open steps, pull and acknowledge samples,
/// and close steps.
class TrainerApi
{
public:
  TrainerApi(node::Node& node, DispatchClient& dispatch);
  TrainerApi(node::Node& node, TrainerHooks hooks);
  ~TrainerApi();

  void addRoutes(net::HttpRouter& router);

  /// Refuses new steps from now on. Open steps continue.
  void beginDrain();
  /// Returns the number of open steps. While draining, counts only steps that
  /// have rollouts in flight, or unacknowledged samples and a trainer that has
  /// sent a message in the last 30 s.
  std::int64_t activeSteps() const;

  ScorerRates& scorerRates();

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace lentilrack::entry
