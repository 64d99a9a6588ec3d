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

struct KvEntry
{
  std::string key;
  wire::Json value;
  std::int64_t revision = 0;
};

struct KvPut
{
  std::string key;
  wire::Json value;
  /// Revision that the key must have; 0 if it must not exist; absent for an
  /// unconditional write.
  std::optional<std::int64_t> expectedRevision;
  std::optional<std::string> lease;
};

struct KvClientOptions
{
  std::vector<core::Endpoint> endpoints;
  /// Limit for one endpoint's answer, and for the time a call may wait before
  /// it is sent.
  core::Millis timeout{ 1000 };
  /// Calls a second of this process; a waiting watch counts as one. A call
  /// over the budget waits, and fails with RateLimited after the timeout.
  double callsPerSecond = 20;
  /// Pause after the first call without an answer; it doubles up to the
  /// longest pause, with jitter.
  core::Millis initialBackoff{ 100 };
  core::Millis maxBackoff{ 5000 };
  /// Seed of the jitter; 0 draws one.
  std::uint64_t seed = 0;
};

/// Client of the platform's key-value service. Tries the next endpoint when
/// one does not answer and backs off with jitter while none does, so that the
/// return of the service causes no burst.
class KvClient
{
public:
  KvClient(net::asio::io_context& io, KvClientOptions options);
  ~KvClient();

  /// Errors: NotFound, Unavailable, BadResponse, RateLimited.
  net::Awaitable<core::Result<KvEntry>> read(std::string key);
  net::Awaitable<core::Result<std::vector<KvEntry>>> list(std::string prefix);
  /// The new revision. Errors: Conflict; OutcomeUnknown if the request was
  /// sent and no proper answer came; Unavailable or RateLimited if it was
  /// certainly not sent; Refused.
  net::Awaitable<core::Result<std::int64_t>> put(KvPut put);
  net::Awaitable<std::error_code> remove(std::string key);
  /// Waits until the key has a revision above `after`; nothing after `wait`.
  net::Awaitable<core::Result<std::optional<KvEntry>>> watch(std::string key,
                                                             std::int64_t after,
                                                             core::Millis wait);

  /// The lease identifier.
  net::Awaitable<core::Result<std::string>> grantLease(core::Millis timeToLive);
  /// NotFound if the lease has lapsed.
  net::Awaitable<std::error_code> renewLease(std::string lease);

  /// Whether the last call got an answer.
  bool isAvailable() const;
  /// Calls made so far.
  std::uint64_t callCount() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace lentilrack::backends
