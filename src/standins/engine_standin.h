#pragma once

#include "backends/weight_store_client.h"
#include "net/http_client.h"
#include "standins/engine_batch.h"
#include "standins/engine_run.h"
#include "standins/lagged_value.h"
#include "standins/prefix_cache.h"
#include "standins/standin_server.h"

#include <deque>
#include <map>
#include <memory>

namespace lentilrack::standins {

/// Stand-in of a model engine: generates deterministic answers at a set rate,
/// with slots, a prefix cache, weight loading and faults that tests switch on.
/// With `Options::batch`, the rate follows from a simulation of the batches.
class EngineStandin
{
public:
  struct Options
  {
    std::string id;
    std::string model;
    /// Weight version that is loaded at the start.
    std::int64_t version = 1;
    std::int64_t slots = 8;
    /// Tokens per second that each running request generates.
    double tokenRate = 200;
    bool checksFencing = false;
    core::Millis loadTime{ 200 };
    core::Millis reportLag{ 1000 };
    Microseconds prefillPerCharacter{ 10 };
    std::int64_t cachePrefixes = 16;
    Microseconds networkDelay{ 0 };
    /// If it has memory, it replaces `tokenRate` and `prefillPerCharacter`, and
    /// requests are admitted in order of arrival whatever their priority.
    EngineBatchOptions batch;
  };

  /// Reads weights with `http`.
  EngineStandin(net::asio::io_context& io,
                net::HttpClient& http,
                Options options);

  StandinServer& server() { return mServer; }
  const Options& options() const { return mOptions; }
  const std::deque<EngineRun>& runs() const { return mRuns; }
  /// Returns the current state of the slots. The load report shows it only
  /// after its lag.
  const EngineSlots& slots() const { return mSlots; }
  const EngineBatch& batch() const { return mBatch; }

private:
  struct Stream;

  net::Awaitable<void> generate(net::HttpExchange& exchange);
  net::Awaitable<void> cancel(net::HttpExchange& exchange);
  net::Awaitable<void> load(net::HttpExchange& exchange);
  net::Awaitable<void> loadReport(net::HttpExchange& exchange);
  net::Awaitable<void> cacheEvents(net::HttpExchange& exchange);

  /// Returns the error code to refuse the request with, or an empty string if
  /// it may run. Updates the highest fencing number if it may run.
  std::string checkRequest(const GenerateRequest& body);
  bool hasVersion(const GenerateRequest& body) const;
  net::Awaitable<void> refuse(net::HttpExchange& exchange, std::string code);
  net::Awaitable<void> run(net::HttpExchange& exchange,
                           const GenerateRequest& body,
                           std::shared_ptr<RunControl> control);
  bool usesBatches() const { return mOptions.batch.memoryTokens > 0; }
  /// Returns the request as one of the batch.
  EngineBatch::Request batchRequest(const GenerateRequest& body) const;
  /// Runs the steps of the batch, in their time, while there are requests.
  net::Awaitable<void> runBatch();
  net::Awaitable<void> prefill(const GenerateRequest& body,
                               std::shared_ptr<RunControl> control);
  /// Generates all tokens. Returns false if the stream must be aborted before
  /// its end.
  net::Awaitable<bool> produceTokens(Stream& stream);
  /// Generates and sends the tokens that are due by now. Returns false if the
  /// stream must be aborted.
  net::Awaitable<bool> produceDueTokens(Stream& stream);
  /// Waits until tokens are due.
  net::Awaitable<void> waitForTokens(const Stream& stream);
  void updateDueTokens(Stream& stream) const;
  net::Awaitable<bool> fetchWeights(std::string model,
                                    std::int64_t version,
                                    core::Endpoint source);
  net::Awaitable<bool> fetchChunk(std::string model,
                                  std::int64_t version,
                                  std::int64_t number,
                                  core::Endpoint source);
  void crash();
  void updateLoadReport();
  wire::Json report() const;
  StandinServer::Action readControl(wire::ObjectReader& reader);
  wire::Json ledger() const;

  Options mOptions;
  StandinServer mServer;
  backends::WeightStoreClient mWeights;
  EngineSlots mSlots;
  PrefixCache mCache;
  EngineBatch mBatch;
  bool mIsBatchRunning = false;
  std::map<std::string, std::int64_t> mModels;
  std::multimap<std::string, std::shared_ptr<RunControl>> mControls;
  /// A deque, because streams keep references to their records while it grows.
  std::deque<EngineRun> mRuns;
  std::int64_t mHighestFencing = 0;
  /// Number of next weight loads that fail.
  std::int64_t mFailLoads = 0;
  /// Number of tokens after which a stream is aborted; 0 if streams are not
  /// aborted.
  std::int64_t mAbortAfterTokens = 0;
  /// Number of tokens after which a stream stalls without an error; 0 if
  /// streams do not stall.
  std::int64_t mStallAfterTokens = 0;
  bool mRefusesRequests = false;
  LaggedValue<wire::Json> mReport;
};

} // namespace lentilrack::standins
