#pragma once

#include "entry/dispatch_client.h"
#include "entry/sample_scorer.h"
#include "net/http_router.h"
#include "node/node.h"

#include <functional>
#include <memory>

namespace lentilrack::entry {

/// The HTTP interface for trainers: opens steps, hands over samples, takes
/// acknowledgements and closes steps.
class TrainerApi
{
public:
  using RunRollout =
    std::function<net::Awaitable<DispatchResult>(DispatchCall)>;

  TrainerApi(node::Node& node, DispatchClient& dispatch);
  /// With another way to run rollouts.
  TrainerApi(node::Node& node, RunRollout run);
  ~TrainerApi();

  void addRoutes(net::HttpRouter& router);

  /// Refuses new steps from now on; open steps go on.
  void beginDrain();
  /// Open steps. While draining, only those that have rollouts in flight or
  /// samples that their trainer is still fetching.
  std::int64_t activeSteps() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace lentilrack::entry
