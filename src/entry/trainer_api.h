#pragma once

#include "entry/dispatch_client.h"
#include "entry/sample_scorer.h"
#include "net/http_router.h"
#include "node/node.h"

#include <functional>
#include <memory>
#include <vector>

namespace lentilrack::entry {

/// What the trainer API uses of its surroundings.
struct TrainerHooks
{
  /// Runs one attempt at some dispatcher.
  std::function<net::Awaitable<DispatchResult>(DispatchCall)> run;
  /// The platform's list of backend servers, for models and scorers.
  std::function<std::vector<core::BackendServer>()> servers;
};

/// The HTTP interface for trainers: opens steps, hands over samples, takes
/// acknowledgements and closes steps.
class TrainerApi
{
public:
  TrainerApi(node::Node& node, DispatchClient& dispatch);
  TrainerApi(node::Node& node, TrainerHooks hooks);
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
