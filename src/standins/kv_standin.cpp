#include "standins/kv_standin.h"

namespace lentilrack::standins {

namespace {

constexpr std::int64_t kMaxWatchMs = 600'000;
constexpr std::int64_t kMaxLeaseMs = 3'600'000;

struct PutRequest
{
  wire::Json value;
  std::optional<std::int64_t> expect;
  std::string lease;
};

PutRequest
readPutRequest(wire::ObjectReader& reader)
{
  PutRequest body;
  const auto* value = reader.findField("value");
  if (value == nullptr) {
    reader.fail("value", "is missing");
  }
  body.value = *value;
  body.expect = reader.findValue<std::int64_t>("expect");
  body.lease = reader.optional<std::string>("lease", "");
  return body;
}

wire::Json
entryJson(const KvTable::Entry* entry)
{
  if (entry == nullptr) {
    return { { "value", nullptr }, { "revision", 0 } };
  }
  return { { "value", entry->value }, { "revision", entry->revision } };
}

wire::Json
errorBody(const char* code)
{
  return { { "error", code } };
}

std::string
keyOf(const net::HttpExchange& exchange)
{
  return percentDecoded(exchange.pathParameter("*"));
}

} // namespace

struct KvStandin::Watch
{
  Watch(net::asio::io_context& io, net::HttpExchange& watchExchange)
    : timer(io)
    , exchange(watchExchange)
  {
  }

  std::string key;
  net::asio::steady_timer timer;
  net::HttpExchange& exchange;
};

KvStandin::KvStandin(net::asio::io_context& io, Options options)
  : mServer(io, "kv", options.networkDelay)
  , mLatency(options.latency)
{
  using Method = net::Awaitable<void> (KvStandin::*)(net::HttpExchange&);
  const auto route =
    [this](const char* method, const char* pattern, Method handler) {
      mServer.route(
        method, pattern, [this, handler](net::HttpExchange& exchange) {
          return (this->*handler)(exchange);
        });
    };
  route("GET", "/kv", &KvStandin::list);
  route("GET", "/kv/*", &KvStandin::read);
  route("PUT", "/kv/*", &KvStandin::put);
  route("DELETE", "/kv/*", &KvStandin::remove);
  route("GET", "/watch/*", &KvStandin::watch);
  route("POST", "/lease", &KvStandin::grant);
  route("POST", "/lease/:id/renew", &KvStandin::renew);
  mServer.onControl(
    [this](wire::ObjectReader& reader) { return readControl(reader); });
  mServer.onLedger([this] { return ledger(); });
}

net::Awaitable<void>
KvStandin::beginCall(const char* callType)
{
  ++mCallCounts[callType];
  co_await pauseFor(mLatency);
  mTable.expireLeases(core::Clock::now());
}

net::Awaitable<void>
KvStandin::read(net::HttpExchange& exchange)
{
  co_await beginCall("reads");
  const auto* entry = mTable.find(keyOf(exchange));
  auto body = entry == nullptr ? errorBody("not_found") : entryJson(entry);
  co_await mServer.replyJson(
    exchange, entry == nullptr ? 404 : 200, std::move(body));
}

net::Awaitable<void>
KvStandin::list(net::HttpExchange& exchange)
{
  co_await beginCall("lists");
  auto entries = wire::Json::array();
  for (const auto& [key, entry] :
       mTable.list(exchange.request().query("prefix"))) {
    auto item = entryJson(&entry);
    item["key"] = key;
    entries.push_back(std::move(item));
  }
  wire::Json body = { { "entries", std::move(entries) },
                      { "revision", mTable.revision() } };
  co_await mServer.replyJson(exchange, 200, std::move(body));
}

net::Awaitable<void>
KvStandin::put(net::HttpExchange& exchange)
{
  co_await beginCall("writes");
  auto body = decodeBody(exchange.request().body, readPutRequest);
  if (!body) {
    co_await mServer.replyBadRequest(exchange, body.error());
    co_return;
  }
  auto& write = body.value();
  const bool isLeaseUnknown =
    !write.lease.empty() && !mTable.hasLease(write.lease);
  if (isLeaseUnknown) {
    co_await mServer.replyJson(exchange, 404, errorBody("unknown_lease"));
    co_return;
  }
  const auto key = keyOf(exchange);
  const auto revision = mTable.put(
    key, std::move(write.value), write.expect, std::move(write.lease));
  if (!revision) {
    auto current = entryJson(mTable.find(key));
    co_await mServer.replyUnlessLost(exchange, 409, std::move(current));
    co_return;
  }
  notifyWatches(key);
  wire::Json answer = { { "revision", *revision } };
  co_await mServer.replyUnlessLost(exchange, 200, std::move(answer));
}

net::Awaitable<void>
KvStandin::remove(net::HttpExchange& exchange)
{
  co_await beginCall("writes");
  const bool isRemoved = mTable.remove(keyOf(exchange));
  auto body = isRemoved ? wire::Json::object() : errorBody("not_found");
  co_await mServer.replyUnlessLost(
    exchange, isRemoved ? 200 : 404, std::move(body));
}

net::Awaitable<void>
KvStandin::watch(net::HttpExchange& exchange)
{
  co_await beginCall("watches");
  const auto after = queryInteger(exchange.request(), "after").value_or(0);
  const auto wait =
    queryInteger(exchange.request(), "timeout_ms").value_or(kMaxWatchMs);
  const auto watch = std::make_shared<Watch>(mServer.io(), exchange);
  watch->key = keyOf(exchange);
  exchange.onClientDisconnect([watch] { watch->timer.cancel(); });
  if (findNewerThan(watch->key, after) == nullptr && wait > 0) {
    watch->timer.expires_after(core::Millis(std::min(wait, kMaxWatchMs)));
    const auto position = mWatches.insert(mWatches.end(), watch);
    boost::system::error_code ignored;
    co_await watch->timer.async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, ignored));
    mWatches.erase(position);
  }
  const auto* entry = findNewerThan(watch->key, after);
  if (entry != nullptr) {
    co_await mServer.replyJson(exchange, 200, entryJson(entry));
    co_return;
  }
  net::HttpResponse noContent;
  noContent.status = 204;
  co_await mServer.reply(exchange, std::move(noContent));
}

net::Awaitable<void>
KvStandin::grant(net::HttpExchange& exchange)
{
  co_await beginCall("leases");
  const auto timeToLive =
    decodeBody(exchange.request().body, [](wire::ObjectReader& reader) {
      return reader.integer("ttl_ms", 1, kMaxLeaseMs);
    });
  if (!timeToLive) {
    co_await mServer.replyBadRequest(exchange, timeToLive.error());
    co_return;
  }
  wire::Json body = { { "lease",
                        mTable.grant(core::Millis(timeToLive.value()),
                                     core::Clock::now()) } };
  co_await mServer.replyUnlessLost(exchange, 200, std::move(body));
}

net::Awaitable<void>
KvStandin::renew(net::HttpExchange& exchange)
{
  co_await beginCall("renewals");
  const bool isRenewed =
    mTable.renew(exchange.pathParameter("id"), core::Clock::now());
  auto body = isRenewed ? wire::Json::object() : errorBody("unknown_lease");
  co_await mServer.replyUnlessLost(
    exchange, isRenewed ? 200 : 404, std::move(body));
}

const KvTable::Entry*
KvStandin::findNewerThan(const std::string& key, std::int64_t after)
{
  const auto* entry = mTable.find(key);
  return entry != nullptr && entry->revision > after ? entry : nullptr;
}

void
KvStandin::notifyWatches(const std::string& key)
{
  for (const auto& watch : mWatches) {
    if (watch->key == key) {
      watch->timer.cancel();
    }
  }
}

void
KvStandin::abortWatches()
{
  const auto watches = mWatches;
  for (const auto& watch : watches) {
    watch->exchange.abort();
  }
}

StandinServer::Action
KvStandin::readControl(wire::ObjectReader& reader)
{
  const bool abortsWatches = reader.optional("cut_watches", false);
  const bool expiresLeases = reader.optional("lapse_leases", false);
  return [this, abortsWatches, expiresLeases] {
    if (abortsWatches) {
      abortWatches();
    }
    if (expiresLeases) {
      mTable.expireLeases(core::TimePoint::max());
    }
  };
}

wire::Json
KvStandin::ledger() const
{
  wire::Json ledger = { { "calls", mServer.requests() },
                        { "waiting_watches", mWatches.size() },
                        { "revision", mTable.revision() } };
  for (const char* callType :
       { "reads", "lists", "writes", "watches", "leases", "renewals" }) {
    const auto found = mCallCounts.find(callType);
    ledger[callType] = found == mCallCounts.end() ? 0 : found->second;
  }
  return ledger;
}

} // namespace lentilrack::standins
