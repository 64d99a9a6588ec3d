#pragma once

#include "core/endpoint.h"
#include "core/key_mirror.h"
#include "core/time.h"
#include "gateway/coordination_store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lentilrack::gateway {

/// A process of the cluster, as it describes itself in the store.
struct Peer
{
  std::string instance;
  std::string failureDomain;
  std::optional<core::Endpoint> callerEndpoint;
  std::optional<core::Endpoint> peerEndpoint;
  /// Share of a processor core that the process may use.
  double processorShare = 0;
  bool isLeaving = false;

  std::string encode() const;
  static std::optional<Peer> decode(const core::MirroredItem& item);
  /// Whether other processes may call this one and give it work.
  bool isAvailable() const { return !isLeaving && peerEndpoint; }
};

enum class BatchState
{
  Open,
  /// All items have results.
  Finished,
  /// The trainer has ended the batch.
  Ended,
};

/// Record of a batch in the store, mirrored by every process.
struct BatchRecord
{
  /// Host and path to which the batch was submitted.
  std::string host;
  std::string path;
  /// Number of items of the batch.
  std::size_t total = 0;
  /// Number of keys over which the submitted body is split.
  std::size_t bodyParts = 0;
  std::string model;
  /// Organisation that has submitted the batch; empty if there is none.
  std::string organisation;
  /// Expected number of output tokens, summed over all items.
  double estimatedTokens = 0;
  /// Unix time of the submission.
  core::Millis submittedAt{ 0 };
  BatchState state = BatchState::Open;
  std::int64_t revision = 0;

  std::string encode() const;
  static std::optional<BatchRecord> decode(const StoreItem& item);
};

/// A process that is the owner of a batch (the only process that may write its
/// results) or the leader (the only process that may send orders to servers),
/// as the store records it.
struct Holder
{
  std::string instance;
  /// Distinguishes the process from earlier ones of the same instance.
  std::string incarnation;
  std::int64_t revision = 0;
  /// Only of the leader: the address of its machine, since a new machine may
  /// have the name of a former one.
  std::string address{};
  /// Only of the leader: true once the orders of the leaders before it, on
  /// other machines, are long enough ago. A process that is restarted cannot
  /// know that otherwise.
  bool isSettled = false;
  /// Only of the owner of a batch: the lease that its key is bound to.
  std::int64_t lease = 0;

  std::string encode() const;
  static std::optional<Holder> decode(const StoreItem& item);
};

/// The request rate that a backend server states, as the allocator of its
/// permits has published it.
struct StatedRate
{
  /// Start time of the server process in Unix milliseconds.
  std::int64_t startedAt = 0;
  double perSecond = 0;
  std::int64_t revision = 0;

  std::string encode() const;
  static std::optional<StatedRate> decode(const core::MirroredItem& item);
};

/// Keys and key prefixes of this system in the coordination store.
namespace keys {
/// Prefix of all keys that every process mirrors; the others are below it.
inline constexpr std::string_view kPrefix = "lentilrack/";
inline constexpr std::string_view kInstances = "lentilrack/instances/";
inline constexpr std::string_view kBatches = "lentilrack/batches/";
inline constexpr std::string_view kOwners = "lentilrack/owners/";
inline constexpr std::string_view kLeader = "lentilrack/leader";
inline constexpr std::string_view kRates = "lentilrack/rates/";
inline constexpr std::string_view kServerOverrides =
  "lentilrack/server-overrides/";
/// Limit on hedging, which the operator writes; see core::HedgeLimit.
inline constexpr std::string_view kHedging = "lentilrack/hedging";

/// Returns the prefix of all keys that every process mirrors.
std::string
prefix();
/// Returns the key under which an instance registers itself.
std::string
instance(const std::string& name);
/// Returns the key of the record of a batch.
std::string
batch(const std::string& id);
/// Returns the key that names the owner of a batch.
std::string
owner(const std::string& id);
/// Returns the key of the request rate that a backend server states.
std::string
rate(const std::string& server);
/// Returns the prefix of the numbers of servers that an operator has set for a
/// service. The rest of each key is the failure domain, and the value is a JSON
/// object with the numbers `ordinary` and `reclaimable`.
std::string
serverOverrides(const std::string& service);
/// Returns the key that names the leader.
std::string
leader();
/// Returns the key of one part of the submitted body of a batch.
std::string
bodyPart(const std::string& id, std::size_t index);
/// Returns the key of the result chunk (a stored group of results) whose first
/// result has this position.
std::string
results(const std::string& id, std::size_t position);
/// Returns the prefix of the data stored for a batch, apart from its record and
/// its owner.
std::string
dataPrefix(const std::string& id);
/// Returns the prefix of the result chunks of a batch.
std::string
resultsPrefix(const std::string& id);
}

/// Returns the Unix time. Used for times that must stay valid across processes.
core::Millis
unixNow();

/// Returns the time since the machine booted, including time in which it was
/// suspended.
core::Millis
bootTime();

} // namespace lentilrack::gateway
