#pragma once

#include "backends/weight_store_client.h"
#include "net/http_client.h"
#include "standins/engine_run.h"
#include "standins/lagged_value.h"
#include "standins/prefix_cache.h"
#include "standins/standin_server.h"

#include <deque>
#include <map>
#include <memory>

namespace lentilrack::standins {

/// Stand-in of a model engine.
class EngineStandin
{
public:
  struct Options
  {
    std::string id;
    std::string model;
    /// Weight version at the start.
    std::int64_t version = 1;
    std::int64_t slots = 8;
    /// Tokens per second of one request.
    double tokenRate = 200;
    bool checksFencing = false;
    core::Millis loadTime{ 200 };
    core::Millis reportLag{ 1000 };
    Microseconds prefillPerCharacter{ 10 };
    std::int64_t cachePrefixes = 16;
    Microseconds delay{ 0 };
  };

  /// `http` fetches weights.
  EngineStandin(net::asio::io_context& io,
                net::HttpClient& http,
                Options options);

  StandinServer& server() { return mServer; }
  const Options& options() const { return mOptions; }
  const std::deque<EngineRun>& runs() const { return mRuns; }
  /// The state of its slots as it is now.
  const EngineSlots& slots() const { return mSlots; }

private:
  struct Stream;

  net::Awaitable<void> generate(net::HttpExchange& exchange);
  net::Awaitable<void> cancel(net::HttpExchange& exchange);
  net::Awaitable<void> load(net::HttpExchange& exchange);
  net::Awaitable<void> loadReport(net::HttpExchange& exchange);
  net::Awaitable<void> cacheEvents(net::HttpExchange& exchange);

  /// The code with which the request is refused; empty if it may run.
  std::string checkRequest(const GenerateRequest& body);
  bool hasVersion(const GenerateRequest& body) const;
  net::Awaitable<void> refuse(net::HttpExchange& exchange, std::string code);
  net::Awaitable<void> run(net::HttpExchange& exchange,
                           const GenerateRequest& body,
                           std::shared_ptr<RunControl> control);
  net::Awaitable<void> prefill(const GenerateRequest& body,
                               std::shared_ptr<RunControl> control);
  /// Produces all tokens; false if the stream was broken off.
  net::Awaitable<bool> produceTokens(Stream& stream);
  /// Produces the tokens that are due; false if the stream must end.
  net::Awaitable<bool> produceDueTokens(Stream& stream);
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
  std::map<std::string, std::int64_t> mModels;
  std::multimap<std::string, std::shared_ptr<RunControl>> mControls;
  /// A deque keeps references valid while it grows.
  std::deque<EngineRun> mRuns;
  std::int64_t mHighestFencing = 0;
  std::int64_t mFailLoads = 0;
  /// 0: streams are not cut.
  std::int64_t mCutAfterTokens = 0;
  /// 0: streams are not held.
  std::int64_t mHoldAfterTokens = 0;
  bool mRefusesRequests = false;
  LaggedValue<wire::Json> mReport;
};

} // namespace lentilrack::standins
