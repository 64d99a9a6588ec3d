#include "standins/weight_store_standin.h"

#include "backends/weight_store_client.h"
#include "core/decimal.h"

#include <fmt/format.h>

#include <algorithm>

namespace lentilrack::standins {

namespace {

constexpr std::int64_t kMaxWaitMs = 600'000;
constexpr std::int64_t kMaxVersion = 1'000'000'000;

std::int64_t
parseNumber(const std::string& text)
{
  return core::parseDecimal<std::int64_t>(text).value_or(-1);
}

} // namespace

struct WeightStoreStandin::Waiter
{
  Waiter(net::asio::io_context& io, core::Millis time)
    : timer(io, time)
  {
  }

  net::asio::steady_timer timer;
};

WeightStoreStandin::WeightStoreStandin(net::asio::io_context& io,
                                       Options options)
  : mOptions(std::move(options))
  , mServer(io, "weights", mOptions.networkDelay)
  , mReadTokens(static_cast<double>(mOptions.readsPerSecond))
  , mLastRefill(core::Clock::now())
{
  mServer.route("GET", "/versions/:model", [this](net::HttpExchange& exchange) {
    return versions(exchange);
  });
  mServer.route(
    "GET",
    "/weights/:model/:version/:chunk",
    [this](net::HttpExchange& exchange) { return chunk(exchange); });
  mServer.route(
    "POST", "/weights/announce", [this](net::HttpExchange& exchange) {
      return handleAnnounce(exchange);
    });
  mServer.onLedger([this] { return ledger(); });
}

void
WeightStoreStandin::announce(const std::string& model, std::int64_t version)
{
  auto& current = mOptions.models[model];
  current = std::max(current, version);
  for (const auto& waiter : mWaiters) {
    waiter->timer.cancel();
  }
}

net::Awaitable<void>
WeightStoreStandin::versions(net::HttpExchange& exchange)
{
  const auto model = percentDecoded(exchange.pathParameter("model"));
  const auto after = queryInteger(exchange.request(), "after").value_or(0);
  const auto wait = core::Millis(std::min(
    queryInteger(exchange.request(), "timeout_ms").value_or(0), kMaxWaitMs));
  const auto end = core::Clock::now() + wait;
  bool isDisconnected = false;
  while (newestVersion(model) <= after && !isDisconnected &&
         core::Clock::now() < end) {
    const auto waiter = std::make_shared<Waiter>(mServer.io(), wait);
    waiter->timer.expires_at(end);
    exchange.onClientDisconnect([waiter] { waiter->timer.cancel(); });
    const auto position = mWaiters.insert(mWaiters.end(), waiter);
    boost::system::error_code ignored;
    co_await waiter->timer.async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, ignored));
    mWaiters.erase(position);
    isDisconnected = exchange.isClientDisconnected();
  }
  if (newestVersion(model) <= after) {
    net::HttpResponse noContent;
    noContent.status = 204;
    co_await mServer.reply(exchange, std::move(noContent));
    co_return;
  }
  wire::Json body = { { "version", newestVersion(model) },
                      { "chunks", mOptions.chunks },
                      { "bytes", mOptions.chunks * mOptions.chunkBytes } };
  co_await mServer.replyJson(exchange, 200, std::move(body));
}

net::Awaitable<void>
WeightStoreStandin::chunk(net::HttpExchange& exchange)
{
  Read read;
  read.model = percentDecoded(exchange.pathParameter("model"));
  read.version = parseNumber(exchange.pathParameter("version"));
  read.chunk = parseNumber(exchange.pathParameter("chunk"));
  const bool isKnown = read.version >= 1 &&
                       read.version <= newestVersion(read.model) &&
                       read.chunk >= 0 && read.chunk < mOptions.chunks;
  if (!isKnown) {
    wire::Json body = { { "error", "not_found" } };
    co_await mServer.replyJson(exchange, 404, std::move(body));
    co_return;
  }
  net::HttpResponse response;
  if (!consumeReadToken(core::Clock::now())) {
    ++mRateLimitedReads;
    response.status = 429;
    response.headers.emplace_back("Retry-After", "1");
    response.body = R"({"error":"rate_limited"})";
    co_await mServer.reply(exchange, std::move(response));
    co_return;
  }
  response.contentType = "application/octet-stream";
  response.body = makeChunkData(read);
  response.headers.emplace_back("X-Checksum",
                                backends::chunkChecksum(response.body));
  mReads.push_back(std::move(read));
  if (mServer.consumeReplyLoss()) {
    exchange.abort();
    co_return;
  }
  co_await mServer.reply(exchange, std::move(response));
}

net::Awaitable<void>
WeightStoreStandin::handleAnnounce(net::HttpExchange& exchange)
{
  using Announcement = std::pair<std::string, std::int64_t>;
  const auto body =
    decodeBody(exchange.request().body, [](wire::ObjectReader& reader) {
      return Announcement(reader.required<std::string>("model"),
                          reader.integer("version", 1, kMaxVersion));
    });
  if (!body) {
    co_await mServer.replyBadRequest(exchange, body.error());
    co_return;
  }
  announce(body.value().first, body.value().second);
  co_await mServer.replyJson(exchange, 200, wire::Json::object());
}

std::int64_t
WeightStoreStandin::newestVersion(const std::string& model) const
{
  const auto found = mOptions.models.find(model);
  return found == mOptions.models.end() ? 0 : found->second;
}

bool
WeightStoreStandin::consumeReadToken(core::TimePoint now)
{
  const auto rate = static_cast<double>(mOptions.readsPerSecond);
  const std::chrono::duration<double> elapsed = now - mLastRefill;
  mLastRefill = now;
  mReadTokens = std::min(rate, mReadTokens + elapsed.count() * rate);
  if (mReadTokens < 1) {
    return false;
  }
  mReadTokens -= 1;
  return true;
}

std::string
WeightStoreStandin::makeChunkData(const Read& read) const
{
  const auto name =
    fmt::format("{}/{}/{};", read.model, read.version, read.chunk);
  const auto size = static_cast<std::size_t>(mOptions.chunkBytes);
  std::string data;
  data.reserve(size + name.size());
  while (data.size() < size) {
    data += name;
  }
  data.resize(size);
  return data;
}

wire::Json
WeightStoreStandin::ledger() const
{
  auto reads = wire::Json::array();
  for (const auto& read : mReads) {
    reads.push_back({ { "model", read.model },
                      { "version", read.version },
                      { "chunk", read.chunk } });
  }
  return { { "reads", std::move(reads) }, { "limited", mRateLimitedReads } };
}

} // namespace lentilrack::standins
