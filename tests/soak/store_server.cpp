#include "store_server.h"

#include "core/decimal.h"
#include "platform/json_fields.h"

namespace lentilrack::soak {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kRenewalPath = "/api/kv-keep/";

net::HttpResponse
jsonResponse(int status, const Json& body)
{
  net::HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

Json
encodeItem(const gateway::StoreItem& item)
{
  return { { "key", item.key },
           { "value", platform::encodeBase64(item.value) },
           { "revision", item.revision } };
}

std::int64_t
numberIn(const net::HttpRequest& request, const char* name)
{
  return core::parseDecimal<std::int64_t>(request.query(name)).value_or(0);
}

} // namespace

StoreServer::StoreServer(net::asio::io_context& io)
  : mTable(std::make_shared<gateway::FakeStoreTable>())
  , mStore(mTable)
  , mServer(io, net::HttpLimits{}, [this](net::HttpExchange& exchange) {
    return handle(exchange);
  })
{
  mEndpoint = mServer.listen({ "127.0.0.1", 0 }).value();
}

net::Awaitable<void>
StoreServer::handle(net::HttpExchange& exchange)
{
  if (delay > core::Millis(0)) {
    co_await net::sleepFor(delay);
  }
  if (isDown) {
    co_await exchange.respond(jsonResponse(503, Json::object()));
    co_return;
  }
  const auto request = exchange.request();
  auto response = co_await execute(request);
  const bool isLost =
    request.path() == "/api/kv-txn" && losesResponse && losesResponse();
  if (isLost) {
    exchange.abort();
    co_return;
  }
  co_await exchange.respond(std::move(response));
}

net::Awaitable<net::HttpResponse>
StoreServer::execute(const net::HttpRequest& request)
{
  const auto path = request.path();
  if (path == "/api/kv-key") {
    const auto item = co_await mStore.read(request.query("key"));
    auto json = item.value() ? encodeItem(*item.value()) : Json::object();
    json["current_rev"] = mTable->revision;
    co_return jsonResponse(item.value() ? 200 : 404, json);
  }
  if (path == "/api/kv-range") {
    const auto listing = co_await mStore.list(request.query("path_prefix"));
    Json json = { { "items", Json::array() },
                  { "truncated", false },
                  { "current_rev", listing.value().revision } };
    for (const auto& item : listing.value().items) {
      if (item.key > request.query("after")) {
        json["items"].push_back(encodeItem(item));
      }
    }
    co_return jsonResponse(200, json);
  }
  if (path == "/api/kv-watch") {
    co_return co_await watch(request);
  }
  if (path == "/api/kv-lease") {
    const auto ttl = Json::parse(request.body).at("ttl_ms").get<std::int64_t>();
    const auto lease = co_await mStore.grantLease(core::Millis(ttl));
    co_return jsonResponse(200,
                           { { "lease", lease.value() }, { "ttl_ms", ttl } });
  }
  if (path.starts_with(kRenewalPath)) {
    const auto lease =
      core::parseDecimal<std::int64_t>(path.substr(kRenewalPath.size()));
    const auto error = co_await mStore.renewLease(lease.value_or(0));
    co_return jsonResponse(error ? 404 : 200, Json::object());
  }
  if (path == "/api/kv-txn") {
    co_return co_await commit(Json::parse(request.body));
  }
  co_return jsonResponse(404, Json::object());
}

net::Awaitable<net::HttpResponse>
StoreServer::watch(const net::HttpRequest& request)
{
  const auto changes =
    co_await mStore.watch(request.query("path_prefix"),
                          numberIn(request, "after"),
                          core::Millis(numberIn(request, "wait_ms")));
  if (isDown) {
    co_return jsonResponse(503, Json::object());
  }
  if (!changes) {
    co_return jsonResponse(410, Json::object());
  }
  Json json = { { "events", Json::array() },
                { "current_rev", changes.value().revision } };
  for (const auto& change : changes.value().changes) {
    json["events"].push_back(
      change.value ? encodeItem({ change.key, *change.value, change.revision })
                   : Json{ { "key", change.key },
                           { "revision", change.revision },
                           { "removed", true } });
  }
  co_return jsonResponse(200, json);
}

net::Awaitable<net::HttpResponse>
StoreServer::commit(const Json& body)
{
  gateway::StoreTransaction transaction;
  for (const auto& row : body.value("expect", Json::array())) {
    transaction.preconditions.push_back(
      { row.at("key"), row.at("revision").get<std::int64_t>() });
  }
  for (const auto& row : body.value("writes", Json::array())) {
    transaction.writes.push_back({ row.at("key"),
                                   platform::decodeBase64(row.at("value")),
                                   row.value("lease", std::int64_t{ 0 }) });
  }
  for (const auto& key : body.value("deletes", Json::array())) {
    transaction.deletes.push_back(key);
  }
  const auto commit = co_await mStore.commit(std::move(transaction));
  if (!commit.error) {
    co_return jsonResponse(200, { { "revision", commit.revision } });
  }
  if (commit.error == gateway::StoreError::LeaseNotFound) {
    co_return jsonResponse(404, Json::object());
  }
  Json json = { { "items", Json::array() } };
  for (const auto& item : commit.current) {
    json["items"].push_back(encodeItem(item));
  }
  co_return jsonResponse(412, json);
}

} // namespace lentilrack::soak
