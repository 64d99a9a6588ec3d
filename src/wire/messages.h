#pragma once

#include "core/identity.h"
#include "core/member.h"
#include "core/work.h"
#include "wire/object_reader.h"

#include <string>
#include <vector>

/// Typed messages between the processes of lentilrack. Each message has a type
/// name, an encode() to JSON (sent as CBOR) and a decode() that rejects unknown
/// fields.
namespace lentilrack::wire {

/// Sent by an entry to a dispatcher to run an attempt. The dispatcher sends
/// Chunk events and then a DispatchReply.
struct DispatchRequest
{
  static constexpr const char* kType = "dispatch";

  core::AttemptId attempt;
  /// The dispatcher that may start the attempt. Its incarnation identifies one
  /// run of the process. Every other process or run rejects the request.
  core::ProcessId dispatcher;
  core::Work work;
  /// Time left until the deadline when the message was sent.
  core::Millis remaining{ 0 };
};

/// Reply to a DispatchRequest.
struct DispatchReply
{
  core::Outcome outcome;
  /// Current load of the target. Included so that entries need not wait for the
  /// next heartbeat.
  std::optional<core::TargetLoad> load;
};

/// Sent by an entry to a dispatcher to bar a request: if the dispatcher has not
/// started it yet, it must never start it.
struct BarRequest
{
  static constexpr const char* kType = "bar";

  std::string request;
  /// The dispatcher incarnation that is asked. Every other one rejects the
  /// request.
  core::ProcessId dispatcher;
};

/// State of a request at the dispatcher that was asked to bar it.
enum class BarState
{
  Barred,
  Started,
  Finished,
};

/// Reply to a BarRequest.
struct BarReply
{
  BarState state = BarState::Started;
  /// Set if the state is Finished.
  std::optional<core::Outcome> outcome;
  /// The complete answer from the first token on, if the outcome is Done and
  /// the dispatcher still stores the answer.
  std::vector<core::Chunk> answer;
};

/// Forwards a caller's request from the entry that received it to the home
/// entry, which is named in the request identifier. The home sends Chunk events
/// and then one Outcome.
struct RelayRequest
{
  static constexpr const char* kType = "relay";

  std::string request;
  /// The home entry and its incarnation, which identifies one run of the
  /// process. Any other process or run rejects the request.
  core::ProcessId home;
  core::Work work;
  core::Millis remaining{ 0 };
};

/// Heartbeat. The receiver replies with its own Ping.
struct Ping
{
  static constexpr const char* kType = "ping";

  core::Member sender;
  /// Updates about other members, newest first. Their number is limited.
  std::vector<core::Member> updates;
};

/// Asks the receiver to ping `target` on behalf of the sender.
struct PingRequest
{
  static constexpr const char* kType = "ping_request";

  core::Endpoint target;
};

/// Requests the receiver's table.
struct TableFetch
{
  static constexpr const char* kType = "table_fetch";
};

Json
encode(const core::Chunk&);
Json
encode(const core::Outcome&);
Json
encode(const core::Segment&);
Json
encode(const core::Work&);
Json
encode(const core::Member&);
Json
encode(const DispatchRequest&);
Json
encode(const DispatchReply&);
Json
encode(const BarRequest&);
Json
encode(const BarReply&);
Json
encode(const RelayRequest&);
Json
encode(const Ping&);
Json
encode(const PingRequest&);

/// Decodes a message. Unknown fields and wrong types give an error that names
/// the field.
template<typename T>
Decoded<T>
decode(const Json& json);

template<>
Decoded<core::Chunk>
decode(const Json& json);
template<>
Decoded<core::Outcome>
decode(const Json& json);
template<>
Decoded<core::Segment>
decode(const Json& json);
template<>
Decoded<core::Work>
decode(const Json& json);
template<>
Decoded<core::Member>
decode(const Json& json);
template<>
Decoded<DispatchRequest>
decode(const Json& json);
template<>
Decoded<DispatchReply>
decode(const Json& json);
template<>
Decoded<BarRequest>
decode(const Json& json);
template<>
Decoded<BarReply>
decode(const Json& json);
template<>
Decoded<RelayRequest>
decode(const Json& json);
template<>
Decoded<Ping>
decode(const Json& json);
template<>
Decoded<PingRequest>
decode(const Json& json);

/// Returns "done", "not_run" or "unknown".
std::string
verdictName(core::Verdict verdict);

} // namespace lentilrack::wire
