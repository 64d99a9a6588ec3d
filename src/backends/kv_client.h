#pragma once

#include "core/endpoint.h"
#include "core/result.h"
#include "net/http_client.h"
#include "wire/object_reader.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentilrack::backends {

/// A key with its value and the revision of its last change.
struct KvEntry
{
  std::string key;
  wire::Json value;
  std::int64_t revision = 0;
};

/// A write of one key.
struct KvPut
{
  std::string key;
  wire::Json value;
  /// Revision that the key must have, or 0 if it must not exist. Without a
  /// value the write is unconditional.
  std::optional<std::int64_t> expectedRevision;
  /// Lease that the key is bound to; the key is deleted when the lease expires.
  std::optional<std::string> lease;
};

struct KvClientOptions
{
  std::vector<core::Endpoint> endpoints;
  /// Longest wait for the response of one endpoint. Also the longest time that
  /// a call may wait for the rate limit and the backoff before it is sent.
  core::Millis timeout{ 1000 };
  /// Rate limit of this client, in calls per second. A watch counts as one
  /// call. A call over the limit waits, and fails with RateLimited if it would
  /// have to wait longer than `timeout`.
  double callsPerSecond = 20;
  /// Delay after the first call without a response. The delay doubles with each
  /// further failure up to maxBackoff, and is shortened by random jitter.
  core::Millis initialBackoff{ 100 };
  core::Millis maxBackoff{ 5000 };
  /// Seed of the jitter; 0 for a random seed.
  std::uint64_t seed = 0;
  /// Limits what the responses hold, together with others of the process; see
  /// net::HttpClient.
  std::shared_ptr<net::ReadMemory> readMemory = nullptr;
};

/// Client of the platform's key-value service. Tries the next endpoint when an
/// endpoint does not respond. While no endpoint responds, backs off with
/// jitter, so that the clients do not all send their calls at once when the
/// service is available again.
class KvClient
{
public:
  KvClient(net::asio::io_context& io, KvClientOptions options);
  ~KvClient();

  /// Returns the entry of a key. Errors: NotFound, Unavailable, BadResponse,
  /// RateLimited.
  net::Awaitable<core::Result<KvEntry>> read(std::string key);
  /// Returns all entries whose keys start with the prefix.
  net::Awaitable<core::Result<std::vector<KvEntry>>> list(std::string prefix);
  /// Writes a key and returns its new revision. Errors: Conflict;
  /// OutcomeUnknown if the request was sent and no valid response came;
  /// Unavailable or RateLimited if it was not sent; NotFound if the lease has
  /// expired; Refused.
  net::Awaitable<core::Result<std::int64_t>> put(KvPut put);
  /// Deletes a key. Errors as for put(), except Conflict.
  net::Awaitable<std::error_code> remove(std::string key);
  /// Waits until the key has a revision above `after` and returns its entry.
  /// Returns nothing if the key has no such revision within `wait`.
  net::Awaitable<core::Result<std::optional<KvEntry>>> watch(std::string key,
                                                             std::int64_t after,
                                                             core::Millis wait);

  /// Creates a lease and returns its identifier.
  net::Awaitable<core::Result<std::string>> grantLease(core::Millis timeToLive);
  /// Renews a lease. Fails with NotFound if it has expired.
  net::Awaitable<std::error_code> renewLease(std::string lease);

  /// True if the last call got a response.
  bool isAvailable() const;
  /// Number of requests sent so far, including retries.
  std::uint64_t callCount() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace lentilrack::backends
