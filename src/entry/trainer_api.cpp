#include "entry/trainer_api.h"

#include "entry/trainer_state.h"

#include <algorithm>

namespace lentilrack::entry {

using core::Clock;
using core::Millis;
using net::Awaitable;
using net::HttpExchange;
using wire::Json;

namespace {

constexpr std::size_t kMaxOpenSteps = 256;
constexpr std::size_t kMaxClosedOpenings = 4096;
/// While draining, a step with unacknowledged samples counts as active for this
/// long after the trainer's last message.
constexpr Millis kDrainPullTimeout{ 30'000 };

net::HttpResponse
errorResponse(const ApiError& error)
{
  Json body{ { "error", error.code },
             { "message", error.message },
             { "verdict", error.isNotRun ? Json("not_run") : Json() },
             { "reason", error.code } };
  if (!error.addresses.is_null()) {
    body["addresses"] = error.addresses;
  }
  net::HttpResponse response;
  response.status = error.status;
  response.body = body.dump();
  return response;
}

net::HttpResponse
jsonResponse(const Json& body)
{
  net::HttpResponse response;
  response.body = body.dump();
  return response;
}

ApiError
toApiError(const core::StepError& error)
{
  return { httpStatus(error.errorCode),
           errorCodeName(error.errorCode),
           error.message,
           false,
           {} };
}

ApiError
unknownStep()
{
  return { 404,
           "unknown_step",
           "this instance has no such step; open it again with a higher "
           "opening number and the list of samples already received",
           false,
           {} };
}

} // namespace

std::optional<ApiError>
TrainerApi::State::authenticate(const HttpExchange& exchange,
                                std::string* trainer) const
{
  const auto token = exchange.request().bearerToken();
  const auto* principal =
    token.empty() ? nullptr : node.table().table().authenticate(token);
  if (principal == nullptr) {
    return ApiError{
      401, "unauthorized", "a valid bearer token is required", false, {}
    };
  }
  if (principal->role != core::PrincipalRole::Trainer) {
    return ApiError{
      403, "not_a_trainer", "only trainers may use steps", false, {}
    };
  }
  *trainer = principal->name;
  return std::nullopt;
}

std::optional<ApiError>
TrainerApi::State::checkNewStep(const core::StepSpec& spec) const
{
  if (isDraining) {
    return ApiError{
      503,
      "draining",
      "this instance is shutting down; open the step at another one",
      true,
      otherAddresses()
    };
  }
  if (node.isIsolated()) {
    return ApiError{ 503,
                     "cut_off",
                     "this instance cannot tell whether its table is current",
                     true,
                     otherAddresses() };
  }
  if (steps.size() >= kMaxOpenSteps) {
    return ApiError{
      429,
      "too_many_steps",
      "too many steps are open at this instance; close finished ones",
      true,
      otherAddresses()
    };
  }
  if (node.table().table().findRow(spec.trainer, spec.kind) == nullptr) {
    return ApiError{ 403,
                     "no_row",
                     "the table has no row for " + spec.trainer +
                       " and kind \"" + spec.kind + "\"",
                     true,
                     {} };
  }
  if (!isKnownModel(spec.model)) {
    return ApiError{ 404,
                     "unknown_model",
                     "no engine runs the model \"" + spec.model + "\"",
                     true,
                     {} };
  }
  return std::nullopt;
}

net::HttpResponse
TrainerApi::State::open(const HttpExchange& exchange)
{
  std::string trainer;
  if (const auto error = authenticate(exchange, &trainer)) {
    return errorResponse(*error);
  }
  auto decoded = decodeOpenStep(exchange.request().body);
  if (!decoded) {
    return errorResponse(
      { 400, "bad_input", decoded.error().text(), true, {} });
  }
  auto request = std::move(decoded.value());
  request.spec.trainer = trainer;
  const auto found = steps.find({ trainer, request.spec.name });
  if (found == steps.end()) {
    return openNew(std::move(request));
  }
  const auto result = found->second->reopen(
    request.spec, request.opening, request.received, request.version);
  if (!result) {
    return errorResponse(toApiError(result.error()));
  }
  return jsonResponse(
    { { "step", request.spec.name }, { "opening", request.opening } });
}

net::HttpResponse
TrainerApi::State::openNew(OpenStepRequest request)
{
  const StepKey key{ request.spec.trainer, request.spec.name };
  const auto closed = closedOpenings.find(key);
  if (closed != closedOpenings.end() && request.opening <= closed->second) {
    return errorResponse(
      { 409,
        "step_closed",
        "the step was closed at opening " + std::to_string(closed->second),
        true,
        {} });
  }
  if (const auto error = checkNewStep(request.spec)) {
    return errorResponse(*error);
  }
  auto step = core::Step::open(request.spec, request.opening, request.received);
  if (!step) {
    auto error = toApiError(step.error());
    error.isNotRun = true;
    return errorResponse(error);
  }
  step.value().observeVersion(request.version);
  const auto runner =
    std::make_shared<StepRunner>(services, std::move(step.value()));
  steps[key] = runner;
  runner->startLoop();
  watchVersions(request.spec.model);
  node.metrics().increment("steps_opened_total");
  log.info("Opened step {} of trainer {} with {} groups of {}.",
           key.second,
           key.first,
           request.spec.prompts.size(),
           request.spec.groupSize);
  return jsonResponse(
    { { "step", key.second }, { "opening", request.opening } });
}

std::shared_ptr<StepRunner>
TrainerApi::State::findStep(const HttpExchange& exchange,
                            const std::string& trainer) const
{
  const auto found = steps.find({ trainer, exchange.pathParameter("step") });
  return found == steps.end() ? nullptr : found->second;
}

net::HttpResponse
TrainerApi::State::acknowledge(const HttpExchange& exchange)
{
  std::string trainer;
  if (const auto error = authenticate(exchange, &trainer)) {
    return errorResponse(*error);
  }
  const auto request = decodeAck(exchange.request().body);
  if (!request) {
    return errorResponse(
      { 400, "bad_input", request.error().text(), false, {} });
  }
  const auto runner = findStep(exchange, trainer);
  if (!runner) {
    return errorResponse(unknownStep());
  }
  const auto& ack = request.value();
  const auto result = runner->acknowledge(ack.opening, ack.received);
  if (!result) {
    return errorResponse(toApiError(result.error()));
  }
  return jsonResponse({ { "opening", ack.opening } });
}

net::HttpResponse
TrainerApi::State::close(const HttpExchange& exchange)
{
  std::string trainer;
  if (const auto error = authenticate(exchange, &trainer)) {
    return errorResponse(*error);
  }
  const auto runner = findStep(exchange, trainer);
  if (!runner) {
    return errorResponse(unknownStep());
  }
  const auto& step = runner->step();
  const StepKey key{ trainer, step.spec().name };
  recordClosedStep(key, step.opening());
  const Json body{ { "step", key.second }, { "opening", step.opening() } };
  runner->close();
  steps.erase(key);
  log.info("Closed step {} of trainer {}.", key.second, key.first);
  return jsonResponse(body);
}

void
TrainerApi::State::recordClosedStep(const StepKey& key, std::int64_t opening)
{
  if (closedOpenings.size() >= kMaxClosedOpenings) {
    closedOpenings.erase(closedOpenings.begin());
  }
  closedOpenings[key] = opening;
}

Awaitable<void>
TrainerApi::State::handleOpen(HttpExchange& exchange)
{
  auto response = open(exchange);
  co_await exchange.respond(std::move(response));
}

Awaitable<void>
TrainerApi::State::handleAck(HttpExchange& exchange)
{
  auto response = acknowledge(exchange);
  co_await exchange.respond(std::move(response));
}

Awaitable<void>
TrainerApi::State::handleClose(HttpExchange& exchange)
{
  auto response = close(exchange);
  co_await exchange.respond(std::move(response));
}

Awaitable<void>
TrainerApi::State::handlePull(HttpExchange& exchange)
{
  const auto self = shared_from_this();
  std::string trainer;
  net::HttpResponse response;
  const auto denied = authenticate(exchange, &trainer);
  auto request = decodePull(exchange.request().body);
  const auto runner = denied ? nullptr : findStep(exchange, trainer);
  if (denied) {
    response = errorResponse(*denied);
  } else if (!request) {
    const ApiError error{ 400, "bad_input", request.error().text(), false, {} };
    response = errorResponse(error);
  } else if (!runner) {
    response = errorResponse(unknownStep());
  } else {
    auto& pull = request.value();
    const auto result = co_await runner->pull(
      pull.opening, std::move(pull.received), pull.version, pull.wait);
    if (result.isSuperseded) {
      const ApiError error{ 409,
                            "superseded",
                            "a later pull or the end of the step replaced "
                            "this pull",
                            false,
                            {} };
      response = errorResponse(error);
    } else if (result.error) {
      response = errorResponse(toApiError(*result.error));
    } else {
      response = jsonResponse(encodePullResponse(
        pull.opening, result.pulledSamples, result.droppedStale));
    }
  }
  co_await exchange.respond(std::move(response));
}

TrainerApi::TrainerApi(node::Node& node, DispatchClient& dispatch)
  : TrainerApi(node,
               { [&dispatch](DispatchCall call) {
                  return dispatch.run(std::move(call));
                },
                 [&node] { return node.backendServers(); } })
{
}

TrainerApi::TrainerApi(node::Node& node, TrainerHooks hooks)
  : mState(std::make_shared<State>(node, std::move(hooks)))
{
  node.addDumpSection("steps", [state = mState] { return state->dump(); });
  net::spawn(node.io(), mState->closeAbandonedStepsLoop(), mState);
}

TrainerApi::~TrainerApi() = default;

ScorerRates&
TrainerApi::scorerRates()
{
  return *mState->scorerRates;
}

void
TrainerApi::addRoutes(net::HttpRouter& router)
{
  const auto state = mState;
  router.add("POST", "/v1/steps", [state](HttpExchange& exchange) {
    return state->handleOpen(exchange);
  });
  router.add("POST", "/v1/steps/:step/pull", [state](HttpExchange& exchange) {
    return state->handlePull(exchange);
  });
  router.add("POST", "/v1/steps/:step/ack", [state](HttpExchange& exchange) {
    return state->handleAck(exchange);
  });
  router.add("DELETE", "/v1/steps/:step", [state](HttpExchange& exchange) {
    return state->handleClose(exchange);
  });
}

void
TrainerApi::beginDrain()
{
  mState->isDraining = true;
}

std::int64_t
TrainerApi::activeSteps() const
{
  const auto now = Clock::now();
  return std::ranges::count_if(mState->steps, [&](const auto& entry) {
    const auto& runner = *entry.second;
    const bool isFetching = runner.step().unacknowledged() > 0 &&
                            now - runner.lastMessageAt() < kDrainPullTimeout;
    return !mState->isDraining || runner.step().inFlight() > 0 || isFetching;
  });
}

} // namespace lentilrack::entry
