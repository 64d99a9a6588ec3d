#pragma once

#include "core/endpoint.h"
#include "core/result.h"
#include "core/work.h"
#include "net/http_client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::backends {

struct GenerateRequest
{
  std::string attempt;
  std::string model;
  std::string prompt;
  std::string prefix;
  std::int64_t maxTokens = 0;
  /// Tokens that the receiver already has.
  std::int64_t offset = 0;
  std::int64_t priority = 5;
  std::int64_t fencing = 0;
  /// The only weight version that may run it.
  std::optional<std::int64_t> version;
};

struct GenerateCall
{
  GenerateRequest request;
  core::Millis timeout{ 30000 };
  /// Asked right before the first byte; false gives NotRun "deadline".
  std::function<bool()> beforeFirstByte;
  std::function<void(core::Chunk)> onChunk;
  std::shared_ptr<net::CancelSignal> cancel;
};

/// An engine's load, as it was `age` ago.
struct LoadReport
{
  std::int64_t running = 0;
  std::int64_t slots = 0;
  std::int64_t queued = 0;
  /// Tokens per second.
  double tokenRate = 0;
  /// Weight version by model.
  std::map<std::string, std::int64_t> weightVersions;
  bool leaving = false;
  core::Millis age{ 0 };
};

struct CacheEvent
{
  std::int64_t sequence = 0;
  std::string prefix;
  bool added = true;
};

/// Cache events after a sequence number; a jump in the numbers is a gap.
struct CacheEvents
{
  std::vector<CacheEvent> events;
  std::int64_t nextSequence = 0;
};

/// Client of model engines. One call uses one connection of its own, so that
/// "no byte was written" can be told from "no answer came".
class EngineClient
{
public:
  explicit EngineClient(net::HttpClient& http);

  /// Done: the whole answer came, with its segments. NotRun: no byte was
  /// written ("connection_refused", "deadline", "cancelled") or the engine
  /// refused ("stale_fencing", "refused"). Unknown: anything else
  /// ("interrupted", "timeout", "bad_answer", "cancelled"). An answer by
  /// another version than the one asked for is a bad answer. Tokens whose
  /// version the engine did not name are in no segment.
  net::Awaitable<core::Outcome> generate(core::Endpoint engine,
                                         GenerateCall call);
  net::Awaitable<std::error_code> cancel(core::Endpoint engine,
                                         std::string attempt);
  net::Awaitable<std::error_code> load(core::Endpoint engine,
                                       std::string model,
                                       std::int64_t version,
                                       core::Endpoint source,
                                       core::Millis timeout);
  net::Awaitable<core::Result<LoadReport>> loadReport(core::Endpoint engine);
  net::Awaitable<core::Result<CacheEvents>> cacheEvents(core::Endpoint engine,
                                                        std::int64_t after);

private:
  net::HttpClient& mHttp;
};

} // namespace lentilrack::backends
