#include "standins/engine_standin.h"

#include "backends/error.h"
#include "standins/answer_text.h"

#include <algorithm>
#include <cmath>

namespace lentilrack::standins {

namespace {

using core::Clock;
using Seconds = std::chrono::duration<double>;

/// Approximate interval between the chunks of a stream. Batching tokens into
/// chunks lets one process serve hundreds of streams.
constexpr Seconds kChunkInterval{ 0.02 };
/// Longest time that a stream waits for its next chunk. The wait is short
/// because a change of slow_factor takes effect only after it.
constexpr Seconds kMaxWait{ 0.1 };
/// Added to the number of due tokens before it is rounded down, because of
/// floating-point errors.
constexpr double kRoundingTolerance = 1e-6;
constexpr std::int64_t kCharactersPerToken = 4;
/// Steps of a batch are simulated ahead for about this time, since a timer for
/// each step would take too much processor time.
constexpr core::Millis kBatchInterval{ 5 };
constexpr int kChunkAttempts = 20;
constexpr core::Millis kChunkRetryDelay{ 100 };
constexpr std::int64_t kMaxFailedLoads = 1'000'000'000;
constexpr std::int64_t kMaxTokens = 10'000'000;

struct LoadRequest
{
  std::string model;
  std::int64_t version = 0;
  core::Endpoint source;
};

LoadRequest
readLoadRequest(wire::ObjectReader& reader)
{
  LoadRequest body;
  body.model = reader.required<std::string>("model");
  body.version = reader.required<std::int64_t>("version");
  const auto source =
    core::Endpoint::parse(reader.required<std::string>("source"));
  if (!source) {
    reader.fail("source", "must be ip:port");
  }
  body.source = *source;
  return body;
}

} // namespace

/// State of one answer while it is generated.
struct EngineStandin::Stream
{
  Stream(net::HttpExchange& httpExchange,
         const GenerateRequest& request,
         std::shared_ptr<RunControl> runControl,
         EngineRun& runRecord)
    : exchange(httpExchange)
    , body(request)
    , control(std::move(runControl))
    , run(runRecord)
    , text(request.prompt)
    , next(request.offset)
    , end(std::max(answerLength(request.prompt, request.maxTokens),
                   request.offset))
    , last(Clock::now())
  {
  }

  net::HttpExchange& exchange;
  const GenerateRequest& body;
  std::shared_ptr<RunControl> control;
  EngineRun& run;
  AnswerText text;
  std::int64_t next;
  std::int64_t end;
  Clock::time_point last;
  /// Number of tokens that are due but not yet sent; may have a fraction.
  double dueTokens = 0;
  /// True if the reply is to be lost: tokens are generated but not sent to the
  /// client.
  bool isSilent = false;
  /// Identifies the request in the batch, if there is one.
  EngineBatch::Id batchId = 0;
};

EngineStandin::EngineStandin(net::asio::io_context& io,
                             net::HttpClient& http,
                             Options options)
  : mOptions(std::move(options))
  , mServer(io, mOptions.id, mOptions.networkDelay)
  , mWeights(http)
  , mSlots(mOptions.slots)
  , mCache(mOptions.cachePrefixes, mOptions.reportLag)
  , mBatch(mOptions.batch)
  , mModels{ { mOptions.model, mOptions.version } }
  , mReport(mOptions.reportLag, report())
{
  using Method = net::Awaitable<void> (EngineStandin::*)(net::HttpExchange&);
  const auto route =
    [this](const char* method, const char* pattern, Method handler) {
      mServer.route(
        method, pattern, [this, handler](net::HttpExchange& exchange) {
          return (this->*handler)(exchange);
        });
    };
  route("POST", "/v1/generate", &EngineStandin::generate);
  route("POST", "/v1/cancel", &EngineStandin::cancel);
  route("POST", "/v1/load", &EngineStandin::load);
  route("GET", "/v1/load_report", &EngineStandin::loadReport);
  route("GET", "/v1/cache_events", &EngineStandin::cacheEvents);
  mServer.onControl(
    [this](wire::ObjectReader& reader) { return readControl(reader); });
  mServer.onLedger([this] { return ledger(); });
  mServer.onCrash([this] { crash(); });
}

net::Awaitable<void>
EngineStandin::generate(net::HttpExchange& exchange)
{
  const auto body = decodeBody(exchange.request().body, readGenerateRequest);
  if (!body) {
    co_await mServer.replyBadRequest(exchange, body.error());
    co_return;
  }
  const auto& request = body.value();
  auto refusal = checkRequest(request);
  if (!refusal.empty()) {
    co_await refuse(exchange, std::move(refusal));
    co_return;
  }
  const auto control = std::make_shared<RunControl>(mServer.io());
  exchange.onClientDisconnect([control] { control->stop(); });
  const auto place = mControls.emplace(request.attempt, control);
  const auto priority = usesBatches() ? 0 : request.priority;
  const bool isAdmitted = co_await mSlots.acquire(priority, control);
  updateLoadReport();
  // While it waited for a slot, the request may have been stopped, or its
  // weight version may have been replaced. It is then refused, which tells the
  // client that it did not run.
  const bool mayRun =
    isAdmitted && !control->isStopped() && hasVersion(request);
  if (mayRun) {
    co_await run(exchange, request, control);
  } else {
    co_await refuse(exchange, "refused");
  }
  mControls.erase(place);
  if (isAdmitted) {
    mSlots.release();
  }
  updateLoadReport();
}

std::string
EngineStandin::checkRequest(const GenerateRequest& body)
{
  const bool isStale = mOptions.checksFencing && body.fencing < mHighestFencing;
  if (isStale) {
    return "stale_fencing";
  }
  const bool isTooLarge = usesBatches() && !mBatch.fits(batchRequest(body));
  if (mRefusesRequests || mServer.faults().leaving || !hasVersion(body) ||
      isTooLarge) {
    return "refused";
  }
  mHighestFencing = std::max(mHighestFencing, body.fencing);
  return "";
}

bool
EngineStandin::hasVersion(const GenerateRequest& body) const
{
  const auto model = mModels.find(body.model);
  return model != mModels.end() &&
         (!body.version || *body.version == model->second);
}

net::Awaitable<void>
EngineStandin::refuse(net::HttpExchange& exchange, std::string code)
{
  const int status = code == "stale_fencing" ? 409 : 503;
  wire::Json body = { { "error", std::move(code) } };
  co_await mServer.replyJson(exchange, status, std::move(body));
}

net::Awaitable<void>
EngineStandin::run(net::HttpExchange& exchange,
                   const GenerateRequest& body,
                   std::shared_ptr<RunControl> control)
{
  auto& runRecord = mRuns.emplace_back();
  runRecord.attempt = body.attempt;
  runRecord.prompt = body.prompt;
  runRecord.offset = body.offset;
  const bool isSilent = mServer.consumeReplyLoss();
  if (!usesBatches()) {
    co_await prefill(body, control);
  }
  Stream stream(exchange, body, control, runRecord);
  stream.isSilent = isSilent;
  if (usesBatches()) {
    mCache.touch(body.prefix, Clock::now());
    stream.batchId = mBatch.submit(batchRequest(body));
    if (!mIsBatchRunning) {
      mIsBatchRunning = true;
      net::spawn(mServer.io(), runBatch());
    }
  }
  if (!isSilent) {
    co_await mServer.simulateNetworkDelay();
    co_await exchange.beginStream(
      200, "application/x-ndjson", mServer.responseHeaders());
  }
  runRecord.finished = co_await produceTokens(stream);
  mBatch.remove(stream.batchId);
  if (!runRecord.finished || isSilent) {
    exchange.abort();
    co_return;
  }
  const bool isShort = stream.end < body.maxTokens;
  const wire::Json last = { { "done", true },
                            { "total", stream.end },
                            { "finish", isShort ? "stop" : "length" } };
  co_await exchange.write(last.dump() + "\n");
  co_await exchange.endStream();
}

net::Awaitable<void>
EngineStandin::prefill(const GenerateRequest& body,
                       std::shared_ptr<RunControl> control)
{
  const bool isHit = mCache.touch(body.prefix, Clock::now());
  const bool isPromptStart = body.prompt.starts_with(body.prefix);
  const auto cached = isHit && isPromptStart ? body.prefix.size() : 0;
  const auto characters =
    static_cast<std::int64_t>(body.prompt.size() - cached) +
    body.offset * kCharactersPerToken;
  const auto time =
    characters * mOptions.prefillPerCharacter * mServer.faults().slowFactor;
  const auto prefillTime = std::chrono::duration_cast<Clock::duration>(time);
  if (prefillTime > Clock::duration(0)) {
    co_await control->wait(prefillTime);
  }
}

net::Awaitable<bool>
EngineStandin::produceTokens(Stream& stream)
{
  stream.last = Clock::now();
  while (stream.next < stream.end) {
    co_await waitForTokens(stream);
    const bool canContinue = co_await produceDueTokens(stream);
    if (!canContinue) {
      co_return false;
    }
  }
  co_return !stream.control->isStopped();
}

net::Awaitable<void>
EngineStandin::waitForTokens(const Stream& stream)
{
  auto wait = kMaxWait;
  if (!usesBatches()) {
    const auto rate = mOptions.tokenRate / mServer.faults().slowFactor;
    const auto wanted =
      std::clamp<double>(std::round(kChunkInterval.count() * rate),
                         1,
                         static_cast<double>(stream.end - stream.next));
    wait = std::clamp(
      Seconds((wanted - stream.dueTokens) / rate), Seconds(0), kMaxWait);
  }
  co_await stream.control->wait(
    std::chrono::duration_cast<Clock::duration>(wait));
}

void
EngineStandin::updateDueTokens(Stream& stream) const
{
  if (usesBatches()) {
    const auto due = mBatch.produced(stream.batchId) - stream.run.tokens;
    const bool isEvent =
      due >= mOptions.batch.tokensPerEvent || due >= stream.end - stream.next;
    stream.dueTokens = isEvent ? static_cast<double>(due) : 0;
    return;
  }
  const auto now = Clock::now();
  const Seconds elapsed = now - stream.last;
  stream.last = now;
  stream.dueTokens +=
    elapsed.count() * mOptions.tokenRate / mServer.faults().slowFactor;
}

net::Awaitable<void>
EngineStandin::runBatch()
{
  while (mBatch.hasRequests()) {
    Microseconds time{ 0 };
    while (time < kBatchInterval) {
      time += mBatch.runStep();
    }
    co_await pauseFor(std::chrono::duration_cast<Microseconds>(
      time * mServer.faults().slowFactor));
    for (const auto& [attempt, control] : mControls) {
      control->wake();
    }
  }
  mIsBatchRunning = false;
}

EngineBatch::Request
EngineStandin::batchRequest(const GenerateRequest& body) const
{
  const auto length = static_cast<std::int64_t>(body.prompt.size());
  const auto prefixLength = body.prompt.starts_with(body.prefix)
                              ? static_cast<std::int64_t>(body.prefix.size())
                              : 0;
  const auto end =
    std::max(answerLength(body.prompt, body.maxTokens), body.offset);
  return { prefixLength > 0 ? body.prefix : "",
           prefixLength / kCharactersPerToken,
           (length - prefixLength) / kCharactersPerToken + body.offset,
           end - body.offset };
}

net::Awaitable<bool>
EngineStandin::produceDueTokens(Stream& stream)
{
  // A request that names a weight version cannot continue with another one, so
  // its stream is aborted.
  if (stream.control->isStopped() || !hasVersion(stream.body)) {
    co_return false;
  }
  updateDueTokens(stream);
  const auto from = stream.next;
  auto count =
    std::min(static_cast<std::int64_t>(stream.dueTokens + kRoundingTolerance),
             stream.end - from);
  const bool mustAbort =
    mAbortAfterTokens > 0 && stream.run.tokens + count >= mAbortAfterTokens;
  if (mustAbort) {
    count = std::max<std::int64_t>(mAbortAfterTokens - stream.run.tokens, 0);
  }
  const bool mustStall =
    mStallAfterTokens > 0 && stream.run.tokens + count > mStallAfterTokens;
  if (mustStall) {
    count = std::max<std::int64_t>(mStallAfterTokens - stream.run.tokens, 0);
    // Drops the tokens that are due while the stream stalls. Otherwise the
    // engine would send them all at once when the stream continues.
    stream.dueTokens = static_cast<double>(count);
  }
  if (count == 0) {
    co_return !mustAbort;
  }
  stream.dueTokens -= static_cast<double>(count);
  stream.next += count;
  stream.run.tokens += count;
  const auto version = mModels.at(stream.body.model);
  if (stream.run.versions.empty() || stream.run.versions.back() != version) {
    stream.run.versions.push_back(version);
  }
  if (stream.isSilent) {
    co_return !mustAbort;
  }
  const wire::Json line = { { "tokens", count },
                            { "text", stream.text.text(from, from + count) },
                            { "version", version } };
  const bool isSent = co_await stream.exchange.write(line.dump() + "\n");
  co_return isSent && !mustAbort;
}

net::Awaitable<void>
EngineStandin::cancel(net::HttpExchange& exchange)
{
  const auto body =
    decodeBody(exchange.request().body, [](wire::ObjectReader& reader) {
      return reader.required<std::string>("attempt");
    });
  if (!body) {
    co_await mServer.replyBadRequest(exchange, body.error());
    co_return;
  }
  const auto [first, last] = mControls.equal_range(body.value());
  for (auto it = first; it != last; ++it) {
    it->second->stop();
  }
  co_await mServer.replyJson(exchange, 200, wire::Json::object());
}

net::Awaitable<void>
EngineStandin::load(net::HttpExchange& exchange)
{
  const auto body = decodeBody(exchange.request().body, readLoadRequest);
  if (!body) {
    co_await mServer.replyBadRequest(exchange, body.error());
    co_return;
  }
  const auto& request = body.value();
  bool isLoaded =
    co_await fetchWeights(request.model, request.version, request.source);
  const auto time = mOptions.loadTime * mServer.faults().slowFactor;
  co_await pauseFor(std::chrono::duration_cast<Microseconds>(time));
  if (mFailLoads > 0) {
    --mFailLoads;
    isLoaded = false;
  }
  if (isLoaded) {
    mModels[request.model] = request.version;
    updateLoadReport();
  }
  wire::Json answer = wire::Json::object();
  if (!isLoaded) {
    answer["error"] = "load_failed";
  }
  co_await mServer.replyUnlessLost(
    exchange, isLoaded ? 200 : 500, std::move(answer));
}

net::Awaitable<bool>
EngineStandin::fetchWeights(std::string model,
                            std::int64_t version,
                            core::Endpoint source)
{
  // The source reports the number of chunks of its newest version only. All
  // versions of a model have the same number, so it also holds for `version`.
  const auto newest = co_await mWeights.waitForNewerVersion(
    source, model, version - 1, core::Millis(0));
  const bool isKnown = newest && newest.value();
  if (!isKnown) {
    co_return false;
  }
  for (std::int64_t i = 0; i < newest.value()->chunks; ++i) {
    const bool isFetched = co_await fetchChunk(model, version, i, source);
    if (!isFetched) {
      co_return false;
    }
  }
  co_return true;
}

net::Awaitable<bool>
EngineStandin::fetchChunk(std::string model,
                          std::int64_t version,
                          std::int64_t number,
                          core::Endpoint source)
{
  for (int i = 0; i < kChunkAttempts; ++i) {
    const auto chunk =
      co_await mWeights.readChunk(source, model, version, number);
    if (chunk) {
      co_return true;
    }
    if (chunk.error() != backends::BackendError::RateLimited) {
      co_return false;
    }
    co_await net::sleepFor(kChunkRetryDelay);
  }
  co_return false;
}

net::Awaitable<void>
EngineStandin::loadReport(net::HttpExchange& exchange)
{
  auto body = mReport.at(Clock::now());
  body["age_ms"] = mReport.lag().count();
  co_await mServer.replyJson(exchange, 200, std::move(body));
}

net::Awaitable<void>
EngineStandin::cacheEvents(net::HttpExchange& exchange)
{
  const auto after = queryInteger(exchange.request(), "after").value_or(0);
  auto body = mCache.eventsAfter(after, Clock::now());
  co_await mServer.replyJson(exchange, 200, std::move(body));
}

void
EngineStandin::crash()
{
  for (const auto& [attempt, control] : mControls) {
    control->stop();
  }
  mBatch.clear();
  mCache.clear(Clock::now());
  mHighestFencing = 0;
}

void
EngineStandin::updateLoadReport()
{
  mReport.set(Clock::now(), report());
}

wire::Json
EngineStandin::report() const
{
  const auto running = mSlots.running();
  return { { "running", running },
           { "slots", mSlots.slots() },
           { "queued", mSlots.queued() },
           { "token_rate",
             static_cast<double>(running) * mOptions.tokenRate /
               mServer.faults().slowFactor },
           { "models", mModels },
           { "leaving", mServer.faults().leaving } };
}

StandinServer::Action
EngineStandin::readControl(wire::ObjectReader& reader)
{
  const auto failLoads =
    reader.integerOr("fail_loads", 0, kMaxFailedLoads, mFailLoads);
  const auto abortAfter =
    reader.integerOr("cut_after_tokens", 0, kMaxTokens, mAbortAfterTokens);
  const auto stallAfter =
    reader.integerOr("hold_after_tokens", 0, kMaxTokens, mStallAfterTokens);
  const bool checksFencing =
    reader.optional("check_fencing", mOptions.checksFencing);
  const bool refuses = reader.optional("refuse", mRefusesRequests);
  const auto skipEvents =
    reader.integerOr("drop_cache_events", 0, kMaxTokens, 0);
  const auto version = reader.findValue<std::int64_t>("version");
  return [=, this] {
    mFailLoads = failLoads;
    mAbortAfterTokens = abortAfter;
    mStallAfterTokens = stallAfter;
    mOptions.checksFencing = checksFencing;
    mRefusesRequests = refuses;
    if (skipEvents > 0) {
      mCache.skipEvents(skipEvents);
    }
    if (version) {
      mModels[mOptions.model] = *version;
    }
    updateLoadReport();
  };
}

wire::Json
EngineStandin::ledger() const
{
  auto runs = wire::Json::array();
  for (const auto& run : mRuns) {
    runs.push_back(run.json());
  }
  return { { "runs", std::move(runs) } };
}

} // namespace lentilrack::standins
