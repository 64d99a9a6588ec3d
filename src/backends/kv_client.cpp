#include "backends/kv_client.h"

#include "backends/error.h"
#include "backends/http_json.h"
#include "backends/kv_transport.h"

#include <limits>

namespace lentilrack::backends {

namespace {

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

std::error_code
statusError(int status)
{
  net::HttpResult result;
  result.response.status = status;
  return responseError(result);
}

wire::Json
valueOf(wire::ObjectReader& reader)
{
  const auto* value = reader.findField("value");
  if (value == nullptr) {
    reader.fail("value", "is missing");
  }
  return *value;
}

core::Result<KvEntry>
readEntry(std::string key, const net::HttpResponse& response)
{
  if (const auto error = statusError(response.status)) {
    return error;
  }
  return decodeResponse(response.body, [&](wire::ObjectReader& reader) {
    return KvEntry{ std::move(key),
                    valueOf(reader),
                    reader.integer("revision", 1, kMaxInteger) };
  });
}

std::vector<KvEntry>
readEntries(wire::ObjectReader& reader)
{
  std::vector<KvEntry> entries;
  for (const auto& item : reader.required<std::vector<wire::Json>>("entries")) {
    wire::ObjectReader entry(item, "entries");
    entries.push_back({ entry.required<std::string>("key"),
                        valueOf(entry),
                        entry.integer("revision", 1, kMaxInteger) });
  }
  return entries;
}

/// Converts the error of a write. A malformed response becomes OutcomeUnknown,
/// because the write may have taken effect. Any other error is returned
/// unchanged.
std::error_code
writeError(std::error_code error)
{
  return error == BackendError::BadResponse ? BackendError::OutcomeUnknown
                                            : error;
}

} // namespace

struct KvClient::State
{
  State(net::asio::io_context& io, KvClientOptions options)
    : transport(io, std::move(options))
  {
  }

  KvTransport transport;
};

KvClient::KvClient(net::asio::io_context& io, KvClientOptions options)
  : mState(std::make_shared<State>(io, std::move(options)))
{
}

KvClient::~KvClient()
{
  mState->transport.close();
}

net::Awaitable<core::Result<KvEntry>>
KvClient::read(std::string key)
{
  const auto state = mState;
  KvRequest request;
  request.method = "GET";
  request.target = "/kv/" + percentEncoded(key);
  const auto answer = co_await state->transport.call(std::move(request));
  if (!answer) {
    co_return answer.error();
  }
  co_return readEntry(std::move(key), answer.value());
}

net::Awaitable<core::Result<std::vector<KvEntry>>>
KvClient::list(std::string prefix)
{
  const auto state = mState;
  KvRequest request;
  request.method = "GET";
  request.target = "/kv?prefix=" + percentEncoded(prefix);
  const auto answer = co_await state->transport.call(std::move(request));
  if (!answer) {
    co_return answer.error();
  }
  if (const auto error = statusError(answer.value().status)) {
    co_return error;
  }
  co_return decodeResponse(answer.value().body, readEntries);
}

net::Awaitable<core::Result<std::int64_t>>
KvClient::put(KvPut put)
{
  const auto state = mState;
  wire::Json body = { { "value", std::move(put.value) } };
  if (put.expectedRevision) {
    body["expect"] = *put.expectedRevision;
  }
  if (put.lease) {
    body["lease"] = *put.lease;
  }
  KvRequest request;
  request.method = "PUT";
  request.target = "/kv/" + percentEncoded(put.key);
  request.body =
    body.dump(-1, ' ', false, wire::Json::error_handler_t::replace);
  request.repeatable = false;
  const auto answer = co_await state->transport.call(std::move(request));
  if (!answer) {
    co_return answer.error();
  }
  if (const auto error = statusError(answer.value().status)) {
    co_return error;
  }
  const auto revision =
    decodeResponse(answer.value().body, [](wire::ObjectReader& reader) {
      return reader.integer("revision", 1, kMaxInteger);
    });
  if (!revision) {
    co_return writeError(revision.error());
  }
  co_return revision.value();
}

net::Awaitable<std::error_code>
KvClient::remove(std::string key)
{
  const auto state = mState;
  KvRequest request;
  request.method = "DELETE";
  request.target = "/kv/" + percentEncoded(key);
  request.repeatable = false;
  const auto answer = co_await state->transport.call(std::move(request));
  if (!answer) {
    co_return answer.error();
  }
  co_return statusError(answer.value().status);
}

net::Awaitable<core::Result<std::optional<KvEntry>>>
KvClient::watch(std::string key, std::int64_t after, core::Millis wait)
{
  using Entry = std::optional<KvEntry>;
  const auto state = mState;
  KvRequest request;
  request.method = "GET";
  request.target = "/watch/" + percentEncoded(key) +
                   "?after=" + std::to_string(after) + "&timeout_ms=";
  request.wait = wait;
  const auto answer = co_await state->transport.call(std::move(request));
  if (!answer) {
    co_return answer.error();
  }
  if (answer.value().status == 204) {
    co_return Entry();
  }
  auto entry = readEntry(std::move(key), answer.value());
  if (!entry) {
    co_return entry.error();
  }
  // An old revision is an error: a caller that got it would watch again at
  // once, in a busy loop.
  if (entry.value().revision <= after) {
    co_return make_error_code(BackendError::BadResponse);
  }
  co_return Entry(std::move(entry).value());
}

net::Awaitable<core::Result<std::string>>
KvClient::grantLease(core::Millis timeToLive)
{
  const auto state = mState;
  const wire::Json body = { { "ttl_ms", timeToLive.count() } };
  KvRequest request;
  request.method = "POST";
  request.target = "/lease";
  request.body = body.dump();
  request.repeatable = false;
  const auto answer = co_await state->transport.call(std::move(request));
  if (!answer) {
    co_return answer.error();
  }
  if (const auto error = statusError(answer.value().status)) {
    co_return error;
  }
  const auto lease =
    decodeResponse(answer.value().body, [](wire::ObjectReader& reader) {
      return reader.required<std::string>("lease");
    });
  if (!lease) {
    co_return writeError(lease.error());
  }
  co_return lease.value();
}

net::Awaitable<std::error_code>
KvClient::renewLease(std::string lease)
{
  const auto state = mState;
  KvRequest request;
  request.method = "POST";
  request.target = "/lease/" + percentEncoded(lease) + "/renew";
  const auto answer = co_await state->transport.call(std::move(request));
  if (!answer) {
    co_return answer.error();
  }
  co_return statusError(answer.value().status);
}

bool
KvClient::isAvailable() const
{
  return mState->transport.isAvailable();
}

std::uint64_t
KvClient::callCount() const
{
  return mState->transport.callCount();
}

} // namespace lentilrack::backends
