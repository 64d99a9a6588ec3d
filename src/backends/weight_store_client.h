#pragma once

#include "core/endpoint.h"
#include "core/result.h"
#include "net/http_client.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lentilrack::backends {

/// A version of a model's weights, with the number of its chunks and its size.
struct WeightVersion
{
  std::int64_t version = 0;
  std::int64_t chunks = 0;
  std::int64_t bytes = 0;
};

/// Client of the weight store and of the weight caches, which serve the same
/// protocol.
class WeightStoreClient
{
public:
  explicit WeightStoreClient(net::HttpClient& http);

  /// Waits for a version above `after` and returns the newest version. Returns
  /// nothing if there is no version above `after` within `wait`.
  net::Awaitable<core::Result<std::optional<WeightVersion>>>
  waitForNewerVersion(core::Endpoint store,
                      std::string model,
                      std::int64_t after,
                      core::Millis wait);
  /// Reads one chunk and verifies its checksum. Errors: RateLimited,
  /// BadResponse (also for a wrong checksum), Unavailable, NotFound.
  net::Awaitable<core::Result<std::string>> readChunk(core::Endpoint store,
                                                      std::string model,
                                                      std::int64_t version,
                                                      std::int64_t number);

private:
  net::HttpClient& mHttp;
};

/// Returns the xxh64 hash as 16 hexadecimal digits, as in the X-Checksum
/// header.
std::string
chunkChecksum(std::string_view data);

} // namespace lentilrack::backends
