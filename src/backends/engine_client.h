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

/// A request to an engine to generate an answer to a prompt.
struct GenerateRequest
{
  /// Identifier of the attempt, by which it can be cancelled.
  std::string attempt;
  std::string model;
  std::string prompt;
  std::string prefix;
  std::int64_t maxTokens = 0;
  /// Number of tokens that the receiver already has; generation resumes there.
  std::int64_t offset = 0;
  /// 0 is the most urgent.
  std::int64_t priority = 5;
  /// Fencing number of the sender for the engine.
  std::int64_t fencing = 0;
  /// The only weight version that may run the request; without a value, any.
  std::optional<std::int64_t> version;
};

/// A GenerateRequest with the callbacks and the time limit of its call.
struct GenerateCall
{
  GenerateRequest request;
  core::Millis timeout{ 30000 };
  /// Called directly before the first byte is written. If it returns false, the
  /// request is not sent and the outcome is NotRun with reason "deadline".
  std::function<bool()> beforeFirstByte;
  /// Called for each chunk as it arrives.
  std::function<void(core::Chunk)> onChunk;
  /// Cancels the call; may be null.
  std::shared_ptr<net::CancelSignal> cancel;
};

/// The load of an engine, as it was `age` ago.
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

/// The engine added a prompt prefix to its cache, or evicted it.
struct CacheEvent
{
  std::int64_t sequence = 0;
  std::string prefix;
  bool added = true;
};

/// Cache events after a sequence number. A jump in the numbers means that
/// events are missing.
struct CacheEvents
{
  std::vector<CacheEvent> events;
  /// Sequence number after which the next poll should ask for events.
  std::int64_t nextSequence = 0;
};

/// Client of model engines. Each generate call opens a connection of its own,
/// so that a request of which no byte was written can be told from one whose
/// response was lost.
class EngineClient
{
public:
  explicit EngineClient(net::HttpClient& http);

  /// Sends a request and returns its outcome. The verdict is
  /// - Done if the complete answer was received; the outcome has its segments,
  /// - NotRun if no byte was written (reasons "connection_refused", "deadline",
  ///   "cancelled") or the engine refused the request ("stale_fencing",
  ///   "refused"),
  /// - Unknown otherwise ("interrupted", "timeout", "bad_answer", "cancelled").
  /// An answer by another version than the requested one is a "bad_answer".
  /// Tokens whose version the engine did not report belong to no segment.
  net::Awaitable<core::Outcome> generate(core::Endpoint engine,
                                         GenerateCall call);
  /// Tells the engine to stop an attempt. Does nothing if it does not run it.
  net::Awaitable<std::error_code> cancel(core::Endpoint engine,
                                         std::string attempt);
  /// Tells the engine to load weights from a weight store or cache, and waits
  /// for the confirmation. Refused if the engine reports that the load failed.
  net::Awaitable<std::error_code> load(core::Endpoint engine,
                                       std::string model,
                                       std::int64_t version,
                                       core::Endpoint source,
                                       core::Millis timeout);
  /// Returns the engine's current load report.
  net::Awaitable<core::Result<LoadReport>> loadReport(core::Endpoint engine);
  /// Returns the cache events with sequence numbers above `after`.
  net::Awaitable<core::Result<CacheEvents>> cacheEvents(core::Endpoint engine,
                                                        std::int64_t after);

private:
  net::HttpClient& mHttp;
};

} // namespace lentilrack::backends
