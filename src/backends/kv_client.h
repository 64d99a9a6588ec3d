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
  /// Lease that the key is bound to; the key is deleted when it expires.
  std::optional<std::string> lease;
};

struct KvClientOptions
{
  std::vector<core::Endpoint> endpoints;
  /// Time limit for the response of one endpoint, and for how long a call may
  /// wait before it is sent.
  core::Millis timeout{ 1000 };
  /// Rate limit of this client, in calls per second. A watch counts as one
  /// call. A call over the limit waits, and fails with RateLimited after the
  /// timeout.
  double callsPerSecond = 20;
  /// Backoff after the first call without a response. It doubles with each
  /// further failure up to maxBackoff, with jitter.
  core::Millis initialBackoff{ 100 };
  core::Millis maxBackoff{ 5000 };
  /// Seed of the jitter; 0 for a random seed.
  std::uint64_t seed = 0;
};

/// Client of the platform's key-value service. Tries the next endpoint when one
/// does not respond, and backs off with jitter while none does, so that clients
/// do not send a burst of calls when the service returns.
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
  /// Returns nothing if there is none within `wait`.
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
