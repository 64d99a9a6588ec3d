#pragma once

#include "core/identity.h"
#include "core/member.h"
#include "core/work.h"
#include "wire/object_reader.h"

#include <string>
#include <vector>

/// Typed messages between the processes of lentilrack. Each has a type name,
/// encode() to JSON (sent as CBOR) and a strict decode().
namespace lentilrack::wire {

/// Entry to dispatcher: run this attempt. Answered by Chunk events and one
/// Outcome.
struct DispatchRequest
{
  static constexpr const char* kType = "dispatch";

  core::AttemptId attempt;
  /// The dispatcher run that may start it; every other one refuses.
  core::ProcessId dispatcher;
  core::Work work;
  /// Time left until the deadline when the message was sent.
  core::Millis remaining{ 0 };
};

/// Answer to a DispatchRequest.
struct DispatchReply
{
  core::Outcome outcome;
  /// Load of the work's target at that moment, so that entries need not wait
  /// for the next heartbeat.
  std::optional<core::TargetLoad> load;
};

/// Entry to dispatcher: never start this request if it has not started.
struct BarRequest
{
  static constexpr const char* kType = "bar";

  std::string request;
  /// The dispatcher run that is asked; every other one refuses.
  core::ProcessId dispatcher;
};

enum class BarState
{
  Barred,
  Started,
  Finished,
};

struct BarReply
{
  BarState state = BarState::Started;
  /// Set if Finished.
  std::optional<core::Outcome> outcome;
  /// The whole answer if it is Done and still kept, from the first token on.
  std::vector<core::Chunk> answer;
};

/// Entry to entry: a caller's request that reached another instance than its
/// home. Answered by Chunk events and one Outcome.
struct RelayRequest
{
  static constexpr const char* kType = "relay";

  std::string request;
  /// The home run which the request identifier names; another one refuses.
  core::ProcessId home;
  core::Work work;
  core::Millis remaining{ 0 };
};

/// Heartbeat. The reply is a Ping of the receiver.
struct Ping
{
  static constexpr const char* kType = "ping";

  core::Member sender;
  /// Updates on other members, newest first, bounded in number.
  std::vector<core::Member> updates;
};

/// Asks a third member to ping `target` on behalf of the sender.
struct PingRequest
{
  static constexpr const char* kType = "ping_request";

  core::Endpoint target;
};

/// Asks for the receiver's table document.
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

/// decode<T>(json): strict, the error names the field.
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

/// "done", "not_run", "unknown".
std::string
verdictName(core::Verdict verdict);

} // namespace lentilrack::wire
