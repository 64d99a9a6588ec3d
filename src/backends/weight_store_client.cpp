#include "backends/weight_store_client.h"

#include "backends/http_json.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <limits>

namespace lentilrack::backends {

namespace {

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
/// Time limit for the response to a poll, in addition to the time for which the
/// poll may wait for a new version.
constexpr core::Millis kResponseTimeout{ 2000 };
/// Time limit for reading a chunk. Long, because chunks are large and many
/// clients share the store.
constexpr core::Millis kChunkTimeout{ 30'000 };

WeightVersion
readVersion(wire::ObjectReader& reader)
{
  return { reader.integer("version", 0, kMaxInteger),
           reader.integer("chunks", 0, kMaxInteger),
           reader.integer("bytes", 0, kMaxInteger) };
}

} // namespace

WeightStoreClient::WeightStoreClient(net::HttpClient& http)
  : mHttp(http)
{
}

net::Awaitable<core::Result<std::optional<WeightVersion>>>
WeightStoreClient::waitForNewerVersion(core::Endpoint store,
                                       std::string model,
                                       std::int64_t after,
                                       core::Millis wait)
{
  using Version = std::optional<WeightVersion>;
  auto call = callWithoutBody(std::move(store),
                              "GET",
                              fmt::format("/versions/{}?after={}&timeout_ms={}",
                                          percentEncoded(model),
                                          after,
                                          wait.count()),
                              wait + kResponseTimeout);
  const auto result = co_await mHttp.call(std::move(call));
  if (const auto error = responseError(result)) {
    co_return error;
  }
  if (result.response.status == 204) {
    co_return Version();
  }
  const auto version = decodeResponse(result.response.body, readVersion);
  if (!version) {
    co_return version.error();
  }
  // An old version is an error: a caller that got it would poll again at once,
  // in a busy loop.
  if (version.value().version <= after) {
    co_return make_error_code(BackendError::BadResponse);
  }
  co_return Version(version.value());
}

net::Awaitable<core::Result<std::string>>
WeightStoreClient::readChunk(core::Endpoint store,
                             std::string model,
                             std::int64_t version,
                             std::int64_t number)
{
  auto call = callWithoutBody(
    std::move(store),
    "GET",
    fmt::format("/weights/{}/{}/{}", percentEncoded(model), version, number),
    kChunkTimeout);
  auto result = co_await mHttp.call(std::move(call));
  if (const auto error = responseError(result)) {
    co_return error;
  }
  const auto expected = net::headerValue(result.response.headers, "X-Checksum");
  if (expected != chunkChecksum(result.response.body)) {
    co_return make_error_code(BackendError::BadResponse);
  }
  co_return std::move(result.response.body);
}

std::string
chunkChecksum(std::string_view data)
{
  return fmt::format("{:016x}", XXH64(data.data(), data.size(), 0));
}

} // namespace lentilrack::backends
