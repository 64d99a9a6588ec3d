#pragma once

#include "backends/weight_store_client.h"
#include "entry/step_codec.h"
#include "entry/step_runner.h"
#include "entry/trainer_api.h"

#include <map>
#include <set>

namespace lentilrack::entry {

/// Name of the trainer and name of the step.
using StepKey = std::pair<std::string, std::string>;

/// An error response to a trainer.
struct ApiError
{
  int status = 400;
  std::string code;
  std::string message;
  /// True if no part of the request ran or will run.
  bool isNotRun = false;
  wire::Json addresses;
};

/// The open steps of one process and the objects that they use.
struct TrainerApi::State : std::enable_shared_from_this<TrainerApi::State>
{
  State(node::Node& owner, TrainerHooks stepHooks);

  std::optional<ApiError> authenticate(const net::HttpExchange& exchange,
                                       std::string* trainer) const;
  std::optional<ApiError> checkNewStep(const core::StepSpec& spec) const;
  std::shared_ptr<StepRunner> findStep(const net::HttpExchange& exchange,
                                       const std::string& trainer) const;
  net::HttpResponse open(const net::HttpExchange& exchange);
  net::HttpResponse openNew(OpenStepRequest request);
  net::HttpResponse acknowledge(const net::HttpExchange& exchange);
  net::HttpResponse close(const net::HttpExchange& exchange);
  net::Awaitable<void> handleOpen(net::HttpExchange& exchange);
  net::Awaitable<void> handlePull(net::HttpExchange& exchange);
  net::Awaitable<void> handleAck(net::HttpExchange& exchange);
  net::Awaitable<void> handleClose(net::HttpExchange& exchange);

  ModelCapacity modelCapacity(const std::string& model) const;
  std::vector<core::Endpoint> scorerEndpoints() const;
  wire::Json otherAddresses() const;
  bool isKnownModel(const std::string& model) const;
  bool hasOpenSteps(const std::string& model) const;
  void watchVersions(const std::string& model);
  net::Awaitable<void> versionWatchLoop(std::string model);
  net::Awaitable<void> closeAbandonedStepsLoop();
  void recordClosedStep(const StepKey& key, std::int64_t opening);
  wire::Json dump() const;

  node::Node& node;
  TrainerHooks hooks;
  net::Logger log;
  backends::WeightStoreClient weightStore;
  std::shared_ptr<core::VersionTracker> versions;
  std::shared_ptr<ScorerRates> scorerRates;
  std::shared_ptr<StepServices> services;
  std::map<StepKey, std::shared_ptr<StepRunner>> steps;
  /// The opening number at which a trainer closed each step. A delayed message
  /// with this number or a lower one must not open the step again.
  std::map<StepKey, std::int64_t> closedOpenings;
  /// Models whose newest weight version is polled from the weight store.
  std::set<std::string> watchedModels;
  bool isDraining = false;
};

} // namespace lentilrack::entry
