#include "backends/engine_client.h"

#include "backends/call_outcome.h"
#include "backends/engine_answer_parser.h"
#include "backends/http_json.h"
#include "net/error.h"

#include <limits>

namespace lentilrack::backends {

namespace {

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
constexpr core::Millis kControlTimeout{ 2000 };
constexpr std::size_t kMaxRefusalBytes = 64UL * 1024;

wire::Json
requestBody(const GenerateRequest& request)
{
  wire::Json body = {
    { "attempt", request.attempt },   { "model", request.model },
    { "prompt", request.prompt },     { "max_tokens", request.maxTokens },
    { "priority", request.priority }, { "offset", request.offset },
    { "fencing", request.fencing }
  };
  if (request.version) {
    body["version"] = *request.version;
  }
  if (!request.prefix.empty()) {
    body["prefix"] = request.prefix;
  }
  return body;
}

/// State that the callbacks of one generate call share.
struct GenerateState
{
  explicit GenerateState(const GenerateCall& call)
    : parser(call.request, call.onChunk)
    , abortSignal(std::make_shared<net::CancelSignal>())
  {
  }

  EngineAnswerParser parser;
  int status = 0;
  bool isMalformed = false;
  std::string errorBody;
  /// Aborts the HTTP exchange when the caller cancels the call or the response
  /// is malformed.
  std::shared_ptr<net::CancelSignal> abortSignal;

  void feed(std::string_view data)
  {
    if (status == 200) {
      isMalformed = isMalformed || !parser.feed(data);
    } else {
      errorBody.append(data);
      isMalformed = errorBody.size() > kMaxRefusalBytes;
    }
    if (isMalformed) {
      abortSignal->cancel();
    }
  }
};

/// Returns the outcome of a response with an error status. Only the two
/// refusals that the protocol defines prove that the engine did not start the
/// request.
core::Outcome
refusalOutcome(const GenerateState& state, const net::HttpResult& result)
{
  const auto code =
    decodeResponse(state.errorBody, [](wire::ObjectReader& reader) {
      return reader.required<std::string>("error");
    });
  const auto reason = code ? code.value() : std::string();
  const bool isKnownRefusal =
    (state.status == 409 && reason == "stale_fencing") ||
    (state.status == 503 && reason == "refused");
  if (!isKnownRefusal) {
    return makeOutcome(core::Verdict::Unknown, "bad_answer");
  }
  auto outcome = makeOutcome(core::Verdict::NotRun, reason);
  outcome.retryAfter = retryAfter(result.response);
  return outcome;
}

core::Outcome
generateOutcome(GenerateState& state, const net::HttpResult& result)
{
  if (state.isMalformed) {
    return makeOutcome(core::Verdict::Unknown, "bad_answer");
  }
  if (result.error) {
    return failedOutcome(result);
  }
  if (state.status != 200) {
    return refusalOutcome(state, result);
  }
  if (!state.parser.finish()) {
    return makeOutcome(core::Verdict::Unknown, "bad_answer");
  }
  core::Outcome outcome;
  outcome.verdict = core::Verdict::Done;
  return outcome;
}

LoadReport
readReport(wire::ObjectReader& reader)
{
  LoadReport report;
  report.running = reader.integer("running", 0, kMaxInteger);
  report.slots = reader.integer("slots", 0, kMaxInteger);
  report.queued = reader.integer("queued", 0, kMaxInteger);
  report.tokenRate = reader.required<double>("token_rate");
  report.weightVersions =
    reader.required<std::map<std::string, std::int64_t>>("models");
  report.leaving = reader.required<bool>("leaving");
  report.age = core::Millis(reader.integer("age_ms", 0, kMaxInteger));
  return report;
}

CacheEvents
readEvents(wire::ObjectReader& reader)
{
  CacheEvents events;
  for (const auto& item : reader.required<std::vector<wire::Json>>("events")) {
    wire::ObjectReader event(item, "events");
    const auto operation = event.required<std::string>("op");
    if (operation != "add" && operation != "evict") {
      event.fail("op", "must be add or evict");
    }
    events.events.push_back({ event.integer("seq", 0, kMaxInteger),
                              event.required<std::string>("prefix"),
                              operation == "add" });
  }
  events.nextSequence = reader.integer("next", 0, kMaxInteger);
  return events;
}

} // namespace

EngineClient::EngineClient(net::HttpClient& http, RateHook onRate)
  : mHttp(http)
  , mOnRate(std::move(onRate))
{
}

net::Awaitable<net::HttpResult>
EngineClient::send(net::HttpCall call)
{
  reportStatedRate(call, mOnRate);
  co_return co_await mHttp.call(std::move(call));
}

net::Awaitable<core::Outcome>
EngineClient::generate(core::Endpoint engine, GenerateCall call)
{
  GenerateState state(call);
  auto exchange = jsonCall(
    std::move(engine), "/v1/generate", requestBody(call.request), call.timeout);
  exchange.useNewConnection = true;
  exchange.beforeFirstByte = call.beforeFirstByte;
  exchange.cancel = state.abortSignal;
  exchange.onStatus = [&](int status) { state.status = status; };
  exchange.onData = [&](std::string_view data) { state.feed(data); };
  int hook = 0;
  if (call.cancel) {
    hook = call.cancel->addCallback(
      [abortSignal = state.abortSignal] { abortSignal->cancel(); });
  }
  const auto result = co_await send(std::move(exchange));
  if (call.cancel) {
    call.cancel->removeCallback(hook);
  }
  auto outcome = generateOutcome(state, result);
  outcome.totalTokens = state.parser.totalTokens();
  outcome.segments = state.parser.segments();
  co_return outcome;
}

net::Awaitable<std::error_code>
EngineClient::cancel(core::Endpoint engine, std::string attempt)
{
  const wire::Json body = { { "attempt", std::move(attempt) } };
  auto call = jsonCall(std::move(engine), "/v1/cancel", body, kControlTimeout);
  const auto result = co_await send(std::move(call));
  co_return responseError(result);
}

net::Awaitable<std::error_code>
EngineClient::load(core::Endpoint engine,
                   std::string model,
                   std::int64_t version,
                   core::Endpoint source,
                   core::Millis timeout)
{
  const wire::Json body = { { "model", std::move(model) },
                            { "version", version },
                            { "source", source.text() } };
  auto call = jsonCall(std::move(engine), "/v1/load", body, timeout);
  const auto result = co_await send(std::move(call));
  // The engine's protocol uses status 500 for weights that could not be loaded.
  const bool hasFailed = !result.error && result.response.status == 500;
  co_return hasFailed ? make_error_code(BackendError::Refused)
                      : responseError(result);
}

net::Awaitable<core::Result<LoadReport>>
EngineClient::loadReport(core::Endpoint engine)
{
  auto call = callWithoutBody(
    std::move(engine), "GET", "/v1/load_report", kControlTimeout);
  const auto result = co_await send(std::move(call));
  if (const auto error = responseError(result)) {
    co_return error;
  }
  co_return decodeResponse(result.response.body, readReport);
}

net::Awaitable<core::Result<CacheEvents>>
EngineClient::cacheEvents(core::Endpoint engine, std::int64_t after)
{
  auto call = callWithoutBody(std::move(engine),
                              "GET",
                              "/v1/cache_events?after=" + std::to_string(after),
                              kControlTimeout);
  const auto result = co_await send(std::move(call));
  if (const auto error = responseError(result)) {
    co_return error;
  }
  co_return decodeResponse(result.response.body, readEvents);
}

} // namespace lentilrack::backends
