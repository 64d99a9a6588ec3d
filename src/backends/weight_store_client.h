#pragma once

#include "core/endpoint.h"
#include "core/result.h"
#include "net/http_client.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lentilrack::backends {

struct WeightVersion
{
  std::int64_t version = 0;
  std::int64_t chunks = 0;
  std::int64_t bytes = 0;
};

/// Client of the weight store and of the weight caches that speak the same.
class WeightStoreClient
{
public:
  explicit WeightStoreClient(net::HttpClient& http);

  /// The newest version above `after`; nothing if none comes within `wait`.
  net::Awaitable<core::Result<std::optional<WeightVersion>>>
  waitForNewerVersion(core::Endpoint store,
                      std::string model,
                      std::int64_t after,
                      core::Millis wait);
  /// One chunk whose checksum matched. Errors: RateLimited, BadResponse,
  /// Unavailable, NotFound.
  net::Awaitable<core::Result<std::string>> readChunk(core::Endpoint store,
                                                      std::string model,
                                                      std::int64_t version,
                                                      std::int64_t number);

private:
  net::HttpClient& mHttp;
};

/// xxh64 as 16 hex digits, as sent in X-Checksum.
std::string
chunkChecksum(std::string_view data);

} // namespace lentilrack::backends
