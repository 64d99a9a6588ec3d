#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::core {

enum class WorkType
{
  /// A caller's request to a model engine, answered as a stream of tokens.
  Order,
  /// A request to a plain service, answered by one body.
  Call,
  /// One sample of a trainer's step.
  Rollout,
};

/// Body and address of a call to a plain service.
struct CallContent
{
  std::string method = "POST";
  /// Path behind the service's prefix, with query.
  std::string path;
  std::string body;
  std::string contentType = "application/json";
};

/// What is to be run on a backend server.
struct Work
{
  WorkType type = WorkType::Order;
  /// Name of the caller or trainer; with `kind` it selects the table row.
  std::string principal;
  std::string kind;
  /// Model name, or service name for a call.
  std::string target;
  bool idempotent = false;

  std::string prompt;
  std::int64_t maxTokens = 0;
  /// Tokens that the receiver already has; generation resumes behind them.
  std::int64_t offset = 0;
  /// Identifies the shared start of the prompt for cache affinity; may be
  /// empty.
  std::string prefix;
  /// The only weight version on which the work may run, if it is bound to one.
  std::optional<std::int64_t> version;

  CallContent call;
};

/// Tokens [from, to) of an answer were produced by weight version `version`.
struct Segment
{
  std::int64_t version = 0;
  std::int64_t from = 0;
  std::int64_t to = 0;

  auto operator<=>(const Segment&) const = default;
};

/// A piece of an answer, as it arrives.
struct Chunk
{
  std::string text;
  std::int64_t tokens = 0;
  /// Weight version that produced the tokens; absent if the engine did not
  /// name it, and for calls.
  std::optional<std::int64_t> version;
};

enum class Verdict
{
  /// The whole answer was received.
  Done,
  /// Proved not to have run, now and later, under this identifier.
  NotRun,
  /// Neither could be proved.
  Unknown,
};

/// How an attempt or a request ended.
struct Outcome
{
  Verdict verdict = Verdict::Unknown;
  /// Machine-readable reason, empty for Done: "deadline", "overload",
  /// "connection_refused", "dispatcher_lost" and so on.
  std::string reason;
  std::int64_t totalTokens = 0;
  std::vector<Segment> segments;
  /// Suggested wait before another try; zero if there is none.
  Millis retryAfter{ 0 };
  /// Status and type of a call's answer; the body comes as chunks.
  int httpStatus = 0;
  std::string contentType;
};

} // namespace lentilrack::core
